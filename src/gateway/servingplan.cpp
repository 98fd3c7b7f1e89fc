#include "gateway/servingplan.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Lentillock
{

double EngineModel::prefillMs(double tokens) const
{
    const double millionPairs = tokens * tokens / 2 / 1e6;
    return tokens / prefillTokensPerMs + millionPairs * attentionMsPerMillionPairs;
}

double EngineModel::iterationMs(double requests, double contextTokens) const
{
    return stepsPerIteration * (stepMs + requests * stepMsPerRequest + contextTokens / 1000 * stepMsPerThousandContext);
}

double EngineModel::decodeMs(double tokens) const
{
    return tokens / std::max(1, stepsPerIteration) * iterationMs(slots, 0);
}

ServingPlan::ServingPlan(ServingPlanParts parts)
    : version_(parts.version)
    , limits_(parts.limits)
    , workspaces_(std::move(parts.workspaces))
{
    for (RouteEntry &route : parts.routes) {
        std::vector<RouteEntry> &routes = routesByHost_[route.host];
        routes.push_back(std::move(route));
    }
    for (auto &[host, routes] : routesByHost_) {
        std::stable_sort(
            routes.begin(), routes.end(), [](const RouteEntry &left, const RouteEntry &right) { return left.pathPrefix.size() > right.pathPrefix.size(); });
    }
    for (ServiceEntry &service : parts.services) {
        std::string name = service.name;
        services_.emplace(std::move(name), std::move(service));
    }
    for (std::size_t index = 0; index < workspaces_.size(); ++index) {
        for (const std::string &apiKey : workspaces_[index].apiKeys) {
            workspaceByApiKey_.emplace(apiKey, index);
        }
    }
}

std::uint64_t ServingPlan::version() const
{
    return version_;
}

const CallerLimits &ServingPlan::limits() const
{
    return limits_;
}

const RouteEntry *ServingPlan::route(std::string_view host, std::string_view path) const
{
    const auto routes = routesByHost_.find(host);
    if (routes == routesByHost_.end()) {
        return nullptr;
    }
    const auto found
        = std::find_if(routes->second.begin(), routes->second.end(), [path](const RouteEntry &route) { return path.starts_with(route.pathPrefix); });
    return found == routes->second.end() ? nullptr : &*found;
}

const ServiceEntry *ServingPlan::service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const WorkspaceEntry *ServingPlan::workspace(const std::string &apiKey) const
{
    const auto found = workspaceByApiKey_.find(apiKey);
    return found == workspaceByApiKey_.end() ? nullptr : &workspaces_[found->second];
}

bool ServingPlan::hasWorkspaces() const
{
    return !workspaces_.empty();
}

std::size_t ServingPlan::routeCount() const
{
    return std::accumulate(
        routesByHost_.begin(), routesByHost_.end(), std::size_t{0}, [](std::size_t sum, const auto &host) { return sum + host.second.size(); });
}

}
