#pragma once

#include "config/servingdocument.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// Index of a serving document for the filter chain. Never modified after it has been built.
class WorkspaceDirectory
{
public:
    explicit WorkspaceDirectory(ServingDocumentPtr document);

    /// The workspace of a bearer token, or null.
    [[nodiscard]] const Workspace *byToken(std::string_view token) const;

    [[nodiscard]] const Model *model(const ModelId &id) const;

    /// Level of a priority class; 0 when the class is not defined.
    [[nodiscard]] std::int64_t priorityLevel(const std::string &priorityClass) const;

    /// The longest path prefix of a plain service that matches @p path, as any of its endpoints; null when there is none.
    [[nodiscard]] const Endpoint *service(std::string_view path) const;

private:
    ServingDocumentPtr document_;
    std::unordered_map<std::string, const Workspace *> tokens_;
    std::unordered_map<std::string, const Model *> models_;
    std::unordered_map<std::string, std::int64_t> priorities_;
    std::vector<const Endpoint *> services_; ///< One for each prefix, the longest first.
};

using WorkspaceDirectoryPtr = std::shared_ptr<const WorkspaceDirectory>;

}
