#include "lease/orderreconciler.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

EngineOrder roleOrder(const EngineState &state, EngineRole role)
{
    return {state.endpoint, state.generation, ModelId(), std::string(), role, false, 0};
}

}

OrderReconciler::OrderReconciler(Settings settings)
    : settings_(settings)
    , document_(std::make_shared<const ServingDocument>())
{
}

void OrderReconciler::setDocument(ServingDocumentPtr document)
{
    document_ = std::move(document);
}

void OrderReconciler::setEngine(const EngineState &state)
{
    EngineState &known = engines_[state.endpoint];
    if (known.generation != state.generation) {
        // A new run of the process has no weights and none of the orders.
        std::erase_if(weightsReady_, [&](const WeightRequest &request) { return request.endpoint == state.endpoint; });
        announced_.erase(state.endpoint);
    }
    known = state;
}

ReconcileActions OrderReconciler::next(TimePoint now, std::optional<std::uint64_t> fencing)
{
    ReconcileActions actions;
    if (outstandingOrder_ && now - outstandingOrder_->second >= settings_.orderTimeout) {
        outstandingOrder_.reset();
    }
    if (!fencing) {
        heldSince_.reset();
        announced_.clear();
        return actions;
    }
    heldSince_ = heldSince_.value_or(now);
    waiting_.clear();
    countCapacity(now);
    for (const Endpoint &endpoint : document_->endpoints) {
        if (endpoint.kind == EndpointKind::Engine) {
            examine(now, endpoint, actions);
        }
    }
    if (actions.order) {
        actions.order->fencing = *fencing;
        outstandingOrder_ = {actions.order->endpoint, now};
        orderedAt_[actions.order->endpoint] = now;
    }
    weightsOutstanding_ = weightsOutstanding_ || actions.weights.has_value();
    return actions;
}

void OrderReconciler::examine(TimePoint now, const Endpoint &endpoint, ReconcileActions &actions)
{
    const EngineState *state = knownState(now, endpoint.id);
    const Model *wanted = model(endpoint.model);
    if (state == nullptr || wanted == nullptr) {
        return;
    }
    const bool isCurrent = state->model == wanted->id && state->version == wanted->version;
    if (isCurrent && state->role == EngineRole::Serve) {
        return;
    }
    ReconcileActions proposed;
    if (isCurrent) {
        proposed.order = roleOrder(*state, EngineRole::Serve);
    } else {
        change(endpoint, *state, *wanted, proposed);
    }
    if (proposed.weights && !actions.weights) {
        planWeights(now, *proposed.weights, actions);
    }
    const auto retryAt = retryOrderAt_.find(endpoint.id);
    const bool mayOrder = !outstandingOrder_ && !actions.order && (retryAt == retryOrderAt_.end() || now >= retryAt->second);
    if (proposed.order && mayOrder) {
        actions.order = proposed.order;
    }
}

void OrderReconciler::change(const Endpoint &endpoint, const EngineState &state, const Model &wanted, ReconcileActions &actions)
{
    const bool isServing = !state.model.isEmpty() && state.role == EngineRole::Serve;
    if (isServing && !mayDrain(state, actions)) {
        return;
    }
    // Weights come first: an engine that has been drained and then waits for the weight store is lost capacity.
    WeightRequest weights{endpoint.id, wanted.id, wanted.version};
    if (!weightsReady_.contains(weights)) {
        waiting_[endpoint.id] = "waits for the weight store";
        actions.weights = std::move(weights);
        return;
    }
    if (isServing) {
        actions.order = roleOrder(state, EngineRole::Drain);
        return;
    }
    if (state.running > 0) {
        waiting_[endpoint.id] = "finishes " + std::to_string(state.running) + " requests";
        return;
    }
    actions.order = EngineOrder{endpoint.id, state.generation, wanted.id, wanted.version, EngineRole::Serve, true, 0};
}

bool OrderReconciler::mayDrain(const EngineState &state, ReconcileActions &actions)
{
    const Model *current = model(state.model);
    if (current == nullptr) {
        // No workspace may use a model that is not in the document.
        return true;
    }
    const auto capacity = capacity_.find(state.model);
    const std::int64_t remaining = (capacity == capacity_.end() ? 0 : capacity->second) - 1;
    const bool isIgnored = ignoresFencing_.contains(state.model);
    const bool needsMargin = isIgnored || unannounced_.contains(state.model);
    if (remaining >= current->minEndpoints + (needsMargin ? 1 : 0)) {
        return true;
    }
    std::string &reason = waiting_[state.endpoint];
    if (remaining >= current->minEndpoints && !isIgnored) {
        reason = "waits until all engines of the model know the fencing number";
        actions.order = announcement(state.model);
        return false;
    }
    reason = "draining it would leave " + std::to_string(remaining) + " endpoints for " + state.model.value() + ", which needs ";
    reason += std::to_string(current->minEndpoints);
    reason += isIgnored ? " and 1 more because engines ignore fencing numbers" : "";
    return false;
}

EngineOrder OrderReconciler::announcement(const ModelId &model) const
{
    const EngineState &state = engines_.at(unannounced_.at(model).front());
    return roleOrder(state, state.role);
}

void OrderReconciler::countCapacity(TimePoint now)
{
    capacity_.clear();
    ignoresFencing_.clear();
    unannounced_.clear();
    for (const Endpoint &endpoint : document_->endpoints) {
        const EngineState *state = endpoint.kind == EndpointKind::Engine ? knownState(now, endpoint.id) : nullptr;
        if (state == nullptr) {
            continue;
        }
        if (!endpoint.checksFencing) {
            ignoresFencing_.insert(state->model);
        } else if (!announced_.contains(endpoint.id)) {
            unannounced_[state->model].push_back(endpoint.id);
        }
        if (!state->model.isEmpty() && state->role == EngineRole::Serve) {
            ++capacity_[state->model];
        }
    }
}

const EngineState *OrderReconciler::knownState(TimePoint now, const EndpointId &endpoint) const
{
    const auto state = engines_.find(endpoint);
    if (state == engines_.end() || now - state->second.measuredAt > settings_.reportTimeout || state->second.measuredAt < *heldSince_) {
        return nullptr;
    }
    const auto ordered = orderedAt_.find(endpoint);
    return ordered != orderedAt_.end() && state->second.measuredAt <= ordered->second ? nullptr : &state->second;
}

const Model *OrderReconciler::model(const ModelId &id) const
{
    const auto found = std::find_if(document_->models.begin(), document_->models.end(), [&](const Model &candidate) { return candidate.id == id; });
    return found == document_->models.end() ? nullptr : &*found;
}

void OrderReconciler::planWeights(TimePoint now, const WeightRequest &request, ReconcileActions &actions) const
{
    if (!weightsOutstanding_ && now >= nextWeightsAt_) {
        actions.weights = request;
    }
}

void OrderReconciler::orderEnded(TimePoint now, const EndpointId &endpoint, bool wasAccepted)
{
    if (outstandingOrder_ && outstandingOrder_->first == endpoint) {
        outstandingOrder_.reset();
    }
    // Reports measured while the order was being carried out may not show it.
    orderedAt_[endpoint] = now;
    if (wasAccepted) {
        announced_.insert(endpoint);
        retryOrderAt_.erase(endpoint);
    } else {
        retryOrderAt_[endpoint] = now + settings_.retryDelay;
    }
}

void OrderReconciler::weightsStarted(const WeightRequest &request)
{
    weightsOutstanding_ = false;
    weightsReady_.insert(request);
}

void OrderReconciler::weightsRefused(TimePoint now, milliseconds retryAfter)
{
    weightsOutstanding_ = false;
    nextWeightsAt_ = now + std::max(retryAfter, settings_.retryDelay);
}

const std::map<EndpointId, std::string> &OrderReconciler::waiting() const
{
    return waiting_;
}

}
