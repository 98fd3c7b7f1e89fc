#include "routing/fleetstate.h"

#include <utility>

namespace Lentillock
{

void FleetState::setView(ServingViewPtr view)
{
    view_ = std::move(view);
    endpoints_.clear();
    engines_.clear();
    services_.clear();
    if (view_ == nullptr || view_->document == nullptr) {
        return;
    }
    for (const Endpoint &endpoint : view_->document->endpoints) {
        endpoints_[endpoint.id] = &endpoint;
        if (endpoint.kind == EndpointKind::Engine) {
            engines_[endpoint.model].push_back(&endpoint);
        } else {
            services_[endpoint.pathPrefix].push_back(&endpoint);
        }
    }
}

const ServingViewPtr &FleetState::view() const
{
    return view_;
}

void FleetState::attemptStarted(const AttemptId &attempt, const EndpointId &endpoint, std::uint64_t promptTokens, std::uint64_t maxTokens)
{
    attempts_[attempt] = {endpoint, promptTokens, maxTokens, true};
    InFlightWork &work = inFlight_[endpoint];
    work.requests += 1;
    work.prefillTokens += promptTokens;
    work.heldTokens += promptTokens + maxTokens;
}

void FleetState::firstTokenArrived(const AttemptId &attempt)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || !found->second.prefilling) {
        return;
    }
    found->second.prefilling = false;
    inFlight_[found->second.endpoint].prefillTokens -= found->second.promptTokens;
}

void FleetState::attemptEnded(const AttemptId &attempt)
{
    firstTokenArrived(attempt);
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    const AttemptWork &ended = found->second;
    InFlightWork &work = inFlight_[ended.endpoint];
    work.requests -= 1;
    work.heldTokens -= ended.promptTokens + ended.maxTokens;
    if (work.requests == 0) {
        inFlight_.erase(ended.endpoint);
    }
    attempts_.erase(found);
}

std::vector<FleetState::Candidate> FleetState::candidatesForModel(const ModelId &model) const
{
    std::vector<Candidate> result;
    const auto engines = engines_.find(model);
    if (engines == engines_.end()) {
        return result;
    }
    result.reserve(engines->second.size());
    for (const Endpoint *engine : engines->second) {
        if (const Candidate found = candidate(*engine); acceptsWork(found)) {
            result.push_back(found);
        }
    }
    return result;
}

std::vector<FleetState::Candidate> FleetState::candidatesForPath(const std::string &path) const
{
    const std::vector<const Endpoint *> *longest = nullptr;
    std::size_t longestLength = 0;
    for (const auto &[prefix, services] : services_) {
        if (path.starts_with(prefix) && prefix.size() >= longestLength) {
            longest = &services;
            longestLength = prefix.size();
        }
    }
    std::vector<Candidate> result;
    if (longest == nullptr) {
        return result;
    }
    for (const Endpoint *service : *longest) {
        if (const Candidate found = candidate(*service); acceptsWork(found)) {
            result.push_back(found);
        }
    }
    return result;
}

const Endpoint *FleetState::endpoint(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : found->second;
}

InFlightWork FleetState::inFlight(const EndpointId &id) const
{
    const auto found = inFlight_.find(id);
    return found == inFlight_.end() ? InFlightWork{} : found->second;
}

FleetState::Candidate FleetState::candidate(const Endpoint &endpoint) const
{
    const auto state = view_->endpoints.find(endpoint.id);
    return {&endpoint, state == view_->endpoints.end() ? nullptr : &state->second, inFlight(endpoint.id)};
}

bool FleetState::acceptsWork(const Candidate &candidate)
{
    if (candidate.state == nullptr) {
        return true;
    }
    const bool draining = candidate.state->load.has_value() && candidate.state->load->draining;
    return !draining && candidate.state->health != EndpointHealth::Leaving && candidate.state->health != EndpointHealth::Dead;
}

}
