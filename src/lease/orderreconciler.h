#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "config/servingdocument.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Lentillock
{

enum class EngineRole {
    Serve,
    Drain, ///< Finish the work in hand and take no new work.
};

/// What an engine has reported.
struct EngineState {
    EndpointId endpoint;
    std::string generation; ///< Identifies the run of the engine process.
    ModelId model; ///< Empty when nothing is loaded.
    std::string version;
    EngineRole role = EngineRole::Serve;
    std::uint64_t running = 0; ///< Requests in hand.
    TimePoint measuredAt;

    bool operator==(const EngineState &) const = default;
};

/// States the wanted condition of an engine, so that a repeated order changes nothing.
struct EngineOrder {
    EndpointId endpoint;
    std::string generation; ///< The engine ignores an order for another run of its process.
    ModelId model; ///< Empty when only the role is to change; such an order never unloads anything, even if it arrives late.
    std::string version; ///< Empty when the model is.
    EngineRole role = EngineRole::Serve;
    bool ifIdle = false; ///< The engine refuses the order while it has work.
    std::uint64_t fencing = 0;

    auto operator<=>(const EngineOrder &) const = default;
};

/// Ask the weight store for the weights that an endpoint will need.
struct WeightRequest {
    EndpointId endpoint;
    ModelId model;
    std::string version;

    auto operator<=>(const WeightRequest &) const = default;
};

/// The next step. At most one order and one weight request are outstanding at any time.
struct ReconcileActions {
    std::optional<EngineOrder> order;
    std::optional<WeightRequest> weights;

    bool operator==(const ReconcileActions &) const = default;
};

/// Brings the engines to the models and versions of the serving document.
///
/// An engine with another version is first provided with weights, then drained, and reloaded only when it is idle. An engine is drained
/// only if the remaining engines that serve its model are at least the model's minEndpoints.
///
/// A previous holder of the lease that was paused may still send the one order that it had outstanding. One more engine must therefore
/// remain while an engine of the model would carry out such an order: because it ignores fencing numbers, or because it has not yet had
/// an order with this holder's number. In the second case the engine is first ordered to stay as it is.
class OrderReconciler
{
public:
    struct Settings {
        milliseconds reportTimeout = 5s; ///< Older reports count as unknown: neither ordered about nor counted as capacity.
        milliseconds orderTimeout = 10s; ///< After it, an order without answer is no longer waited for.
        milliseconds retryDelay = 1s; ///< After a failed order or weight request.
    };

    explicit OrderReconciler(Settings settings);

    void setDocument(ServingDocumentPtr document);
    void setEngine(const EngineState &state);

    /// @p fencing is that of a lease that is valid now; without one there are no actions. The caller checks the lease again just before
    /// it sends an order.
    ReconcileActions next(TimePoint now, std::optional<std::uint64_t> fencing);

    /// The engine has answered, or the order was not sent because the lease was no longer valid.
    void orderEnded(TimePoint now, const EndpointId &endpoint, bool wasAccepted);

    void weightsStarted(const WeightRequest &request);

    /// The store was not available or limits the rate; @p retryAfter is zero when it did not say how long.
    void weightsRefused(TimePoint now, milliseconds retryAfter);

    /// Endpoints that differ from the document and wait, each with a reason for people.
    [[nodiscard]] const std::map<EndpointId, std::string> &waiting() const;

private:
    void examine(TimePoint now, const Endpoint &endpoint, ReconcileActions &actions);
    void change(const Endpoint &endpoint, const EngineState &state, const Model &wanted, ReconcileActions &actions);
    bool mayDrain(const EngineState &state, ReconcileActions &actions);
    [[nodiscard]] EngineOrder announcement(const ModelId &model) const;
    [[nodiscard]] const EngineState *knownState(TimePoint now, const EndpointId &endpoint) const;
    [[nodiscard]] const Model *model(const ModelId &id) const;
    void countCapacity(TimePoint now);
    void planWeights(TimePoint now, const WeightRequest &request, ReconcileActions &actions) const;

    Settings settings_;
    ServingDocumentPtr document_;
    std::map<EndpointId, EngineState> engines_;
    std::map<EndpointId, TimePoint> orderedAt_; ///< Reports measured before this time do not show the order's effect.
    std::optional<TimePoint> heldSince_; ///< Older reports may not show the last orders of the previous holder.
    std::optional<std::pair<EndpointId, TimePoint>> outstandingOrder_;
    std::map<EndpointId, TimePoint> retryOrderAt_;
    std::set<WeightRequest> weightsReady_;
    bool weightsOutstanding_ = false;
    TimePoint nextWeightsAt_;
    std::map<ModelId, std::int64_t> capacity_; ///< Engines that serve a model now.
    std::set<ModelId> ignoresFencing_; ///< Models with an engine that ignores fencing numbers.
    std::map<ModelId, std::vector<EndpointId>> unannounced_; ///< Engines that check fencing numbers and have not had one of this holder.
    std::set<EndpointId> announced_; ///< Engines that have accepted an order of this holder.
    std::map<EndpointId, std::string> waiting_;
};

}
