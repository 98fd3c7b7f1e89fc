#include "entry/workspacedirectory.h"

#include "base/hash.h"
#include "base/pathprefix.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

WorkspaceDirectory::WorkspaceDirectory(ServingDocumentPtr document)
    : document_(std::move(document))
{
    for (const Workspace &workspace : document_->workspaces) {
        for (const std::string &hash : workspace.tokenHashes) {
            tokens_.emplace(hash, &workspace);
        }
    }
    for (const Model &model : document_->models) {
        models_.emplace(model.id.value(), &model);
    }
    for (const PriorityClass &priority : document_->priorityClasses) {
        priorities_.emplace(priority.id, priority.level);
    }
    for (const Endpoint &endpoint : document_->endpoints) {
        const auto samePrefix = [&](const Endpoint *other) { return other->pathPrefix == endpoint.pathPrefix; };
        if (endpoint.kind == EndpointKind::Service && std::none_of(services_.begin(), services_.end(), samePrefix)) {
            services_.push_back(&endpoint);
        }
    }
    std::sort(
        services_.begin(), services_.end(), [](const Endpoint *left, const Endpoint *right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
}

const Workspace *WorkspaceDirectory::findByToken(std::string_view token) const
{
    const auto found = tokens_.find(sha256Hex(token));
    return found == tokens_.end() ? nullptr : found->second;
}

const Model *WorkspaceDirectory::model(const ModelId &id) const
{
    const auto found = models_.find(id.value());
    return found == models_.end() ? nullptr : found->second;
}

std::int64_t WorkspaceDirectory::priorityLevel(const std::string &priorityClass) const
{
    const auto found = priorities_.find(priorityClass);
    return found == priorities_.end() ? 0 : found->second;
}

const Endpoint *WorkspaceDirectory::findService(std::string_view path) const
{
    const auto found = std::find_if(services_.begin(), services_.end(), [&](const Endpoint *endpoint) { return hasPathPrefix(path, endpoint->pathPrefix); });
    return found == services_.end() ? nullptr : *found;
}

}
