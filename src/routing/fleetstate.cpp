#include "routing/fleetstate.h"

#include "base/pathprefix.h"

#include <utility>

namespace Lentillock
{

void FleetState::setView(ServingViewPtr view)
{
    view_ = std::move(view);
    candidates_.clear();
    indices_.clear();
    engines_.clear();
    services_.clear();
    if (view_ == nullptr || view_->document == nullptr) {
        return;
    }
    candidates_.reserve(view_->document->endpoints.size());
    for (const Endpoint &endpoint : view_->document->endpoints) {
        addCandidate(endpoint);
    }
}

void FleetState::addCandidate(const Endpoint &endpoint)
{
    const std::size_t index = candidates_.size();
    const auto state = view_->endpoints.find(endpoint.id);
    candidates_.push_back({&endpoint, state == view_->endpoints.end() ? nullptr : &state->second, inFlight(endpoint.id)});
    indices_[endpoint.id] = index;
    if (endpoint.kind == EndpointKind::Engine) {
        engines_[endpoint.model].push_back(index);
    } else {
        services_[endpoint.pathPrefix].push_back(index);
    }
}

const ServingViewPtr &FleetState::view() const
{
    return view_;
}

void FleetState::attemptStarted(const AttemptId &attempt, const EndpointId &endpoint, std::uint64_t promptTokens, std::uint64_t maxTokens)
{
    attempts_[attempt] = {endpoint, promptTokens, maxTokens, true};
    InFlightWork work = inFlight(endpoint);
    work.requests += 1;
    work.prefillTokens += promptTokens;
    work.heldTokens += promptTokens + maxTokens;
    updateInFlight(endpoint, work);
}

void FleetState::firstTokenArrived(const AttemptId &attempt)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || !found->second.prefilling) {
        return;
    }
    found->second.prefilling = false;
    InFlightWork work = inFlight(found->second.endpoint);
    work.prefillTokens -= found->second.promptTokens;
    updateInFlight(found->second.endpoint, work);
}

void FleetState::attemptEnded(const AttemptId &attempt)
{
    firstTokenArrived(attempt);
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    const TrackedAttempt &ended = found->second;
    InFlightWork work = inFlight(ended.endpoint);
    work.requests -= 1;
    work.heldTokens -= ended.promptTokens + ended.maxTokens;
    updateInFlight(ended.endpoint, work);
    attempts_.erase(found);
}

void FleetState::updateInFlight(const EndpointId &id, const InFlightWork &work)
{
    if (work.requests == 0) {
        inFlight_.erase(id);
    } else {
        inFlight_[id] = work;
    }
    if (const auto index = indices_.find(id); index != indices_.end()) {
        candidates_[index->second].inFlight = work;
    }
}

std::vector<FleetState::Candidate> FleetState::candidatesForModel(const ModelId &model) const
{
    const auto engines = engines_.find(model);
    return engines == engines_.end() ? std::vector<Candidate>() : usable(engines->second);
}

std::vector<FleetState::Candidate> FleetState::candidatesForPath(const std::string &path) const
{
    const Indices *longest = nullptr;
    std::size_t longestLength = 0;
    for (const auto &[prefix, services] : services_) {
        if (hasPathPrefix(path, prefix) && prefix.size() >= longestLength) {
            longest = &services;
            longestLength = prefix.size();
        }
    }
    return longest == nullptr ? std::vector<Candidate>() : usable(*longest);
}

std::vector<FleetState::Candidate> FleetState::usable(const Indices &indices) const
{
    std::vector<Candidate> result;
    result.reserve(indices.size());
    for (const std::size_t index : indices) {
        if (acceptsWork(candidates_[index])) {
            result.push_back(candidates_[index]);
        }
    }
    return result;
}

const Endpoint *FleetState::endpoint(const EndpointId &id) const
{
    const auto found = indices_.find(id);
    return found == indices_.end() ? nullptr : candidates_[found->second].endpoint;
}

InFlightWork FleetState::inFlight(const EndpointId &id) const
{
    const auto found = inFlight_.find(id);
    return found == inFlight_.end() ? InFlightWork{} : found->second;
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
