#include "dispatch/leavingendpoints.h"

namespace Lentillock
{

namespace
{

std::string generationOf(const EndpointState *state)
{
    return state != nullptr && state->load.has_value() ? state->load->generation : std::string();
}

}

void LeavingEndpoints::observeView(const ServingView &view)
{
    std::erase_if(generations_, [&view](const auto &item) { return !view.endpoints.contains(item.first); });
    for (const auto &[id, state] : view.endpoints) {
        if (state.health == EndpointHealth::Leaving) {
            generations_[id] = generationOf(&state);
        }
        if (state.load.has_value()) {
            observeLoad(id, *state.load);
        }
    }
}

void LeavingEndpoints::observeLoad(const EndpointId &endpoint, const LoadReport &load)
{
    if (load.draining) {
        generations_[endpoint] = load.generation;
    }
}

void LeavingEndpoints::observeRefusal(const EndpointId &endpoint, const EndpointState *state)
{
    generations_[endpoint] = generationOf(state);
}

bool LeavingEndpoints::isLeaving(const EndpointId &endpoint, const EndpointState *state) const
{
    const auto found = generations_.find(endpoint);
    if (found == generations_.end()) {
        return false;
    }
    const std::string generation = generationOf(state);
    return generation.empty() || found->second.empty() || generation == found->second;
}

}
