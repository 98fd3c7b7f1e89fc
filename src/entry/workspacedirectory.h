#pragma once

#include "config/servingdocument.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// Immutable index of a serving document for the filter chain.
class WorkspaceDirectory
{
public:
    explicit WorkspaceDirectory(ServingDocumentPtr document);

    /// The workspace of a bearer token; null if the token is unknown.
    [[nodiscard]] const Workspace *findByToken(std::string_view token) const;

    [[nodiscard]] const Model *model(const ModelId &id) const;

    /// Level of a priority class; 0 if the class is not defined.
    [[nodiscard]] std::int64_t priorityLevel(const std::string &priorityClass) const;

    /// An endpoint of the plain service with the longest path prefix that matches @p path; null if there is none.
    [[nodiscard]] const Endpoint *findService(std::string_view path) const;

private:
    ServingDocumentPtr document_;
    std::unordered_map<std::string, const Workspace *> tokens_;
    std::unordered_map<std::string, const Model *> models_;
    std::unordered_map<std::string, std::int64_t> priorities_;
    std::vector<const Endpoint *> services_; ///< One per path prefix, sorted by decreasing length of the prefix.
};

using WorkspaceDirectoryPtr = std::shared_ptr<const WorkspaceDirectory>;

}
