#pragma once

#include "config/servingdocument.h"
#include "routing/costmodel.h"
#include "routing/endpointpartition.h"
#include "routing/prefixindex.h"
#include "routing/routingpolicy.h"
#include "routing/workdemand.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace Lentillock
{

/// Routes by expected time to first token, weighted by the objectives, and keeps short work apart from long work.
///
/// The work that all entries send until they see each other's choices is distributed notionally over the endpoints, the cheapest first, up
/// to a common cost level. Each request goes to an endpoint at random, in proportion to the endpoint's part of that work. Many entries
/// with the same stale view therefore do not pick the same endpoint.
class ExpectedFirstTokenPolicy : public RoutingPolicy
{
public:
    ExpectedFirstTokenPolicy(const Objectives &objectives, const std::vector<ZoneLink> &links);

    [[nodiscard]] std::optional<RouteChoice>
    choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const override;

    void documentChanged(const ServingDocument &document) override;
    void requestArrived(TimePoint now, const RouteRequest &request) override;
    void attemptStarted(TimePoint now, const RouteRequest &request, const EndpointId &endpoint) override;
    void attemptFinished(TimePoint now, const AttemptObservation &observation) override;
    void endpointFailed(TimePoint now, const EndpointId &endpoint) override;

private:
    static constexpr Duration PartitionLifetime = 1s;
    static constexpr std::size_t MaxPrefixBlocks = 100'000;
    static constexpr std::size_t MaxMemories = 5'000; ///< Endpoints of documents that are no longer in force are forgotten beyond this.

    /// Work that was given to an endpoint and that its load report may not show yet.
    struct RecentStart {
        TimePoint at;
        std::uint64_t prefillTokens = 0;
        std::uint64_t heldTokens = 0;
    };

    struct EndpointMemory {
        std::deque<RecentStart> starts;
        TimePoint failedAt;
    };

    /// What is known of a candidate for longer than one decision.
    struct Slot {
        const EndpointId *id = nullptr; ///< Key of the memory; a slot whose id is another one belongs to an older document.
        const EndpointMemory *memory = nullptr;
        WorkClass home = WorkClass::Medium;
        bool isBuffer = false;
        double slowness = 1;
        double crossingSeconds = 0;
    };

    using Slots = std::unordered_map<const Endpoint *, Slot>;

    struct CachedMatch {
        const EndpointMemory *memory = nullptr;
        std::size_t blocks = 0;
    };

    struct CachedPartition {
        EndpointPartition partition;
        ZoneId zone; ///< Of the entry.
        Slots slots;
        TimePoint builtAt;
    };

    /// A request with what does not depend on the candidate.
    struct Plan {
        explicit Plan(const RouteRequest &planned)
            : request(planned)
        {
        }

        const RouteRequest &request;
        WorkClass workClass = WorkClass::Short;
        double prefillSeconds = 0; ///< Without prefix reuse.
        double decodeSeconds = 0;
        bool mayBlock = false; ///< The request has waited long enough to queue at an endpoint that lacks memory for it.
        bool mayUseShort = false; ///< It has waited long enough to use an endpoint that is kept for short work.
        std::vector<CachedMatch> matches;
        TimePoint newestReport;
        CachedPartition *cached = nullptr;
    };

    struct Estimate {
        const FleetState::Candidate *candidate = nullptr;
        double firstToken = 0; ///< Seconds.
        double cost = 0; ///< Seconds, with the harm to other work.
    };

    /// What is expected to be on the endpoint now.
    struct Load {
        double waitSeconds = 0;
        std::uint64_t freeTokens = 0;
        std::uint64_t running = 0;
    };

    /// Work of this class that all entries send before they see each other's choices.
    struct Arrivals {
        double window = 0; ///< Seconds.
        double work = 0; ///< Seconds of engine time.
        double rise = 0; ///< Seconds by which the cost of an endpoint rises when it is kept busy during the window.
    };

    [[nodiscard]] Plan plan(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates) const;
    [[nodiscard]] CachedPartition &partition(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates) const;
    [[nodiscard]] std::vector<Estimate> estimates(TimePoint now, const Plan &plan, const std::vector<FleetState::Candidate> &candidates) const;
    [[nodiscard]] std::optional<Estimate> estimate(TimePoint now, const Plan &plan, const FleetState::Candidate &candidate) const;
    [[nodiscard]] const Slot &slot(const Plan &plan, const Endpoint *endpoint) const;
    [[nodiscard]] Load load(TimePoint now, const FleetState::Candidate &candidate, const Slot &slot) const;
    [[nodiscard]] double prefillSeconds(const Plan &plan, const Slot &slot) const;
    [[nodiscard]] double harm(const Plan &plan, const Slot &slot, double prefill) const;
    [[nodiscard]] static bool isKeptForShort(const Plan &plan, const Slot &slot);
    void setLinks(const std::vector<ZoneLink> &links);
    [[nodiscard]] double crossingSeconds(const ZoneId &from, const ZoneId &to) const;
    [[nodiscard]] Arrivals arrivals(TimePoint now, const Plan &plan) const;
    [[nodiscard]] static double fillLevel(const std::vector<Estimate> &estimates, const Arrivals &arrivals);
    [[nodiscard]] static const Estimate &pick(const std::vector<Estimate> &estimates, const Arrivals &arrivals, std::uint64_t random);

    Objectives objectives_;
    std::map<std::pair<ZoneId, ZoneId>, double> crossings_; ///< Seconds for both ways, with the cost of the link.
    CostModel costs_;
    PrefixIndex prefixes_{MaxPrefixBlocks};
    std::map<ModelId, WorkDemand> demands_;
    mutable std::unordered_map<EndpointId, EndpointMemory> memories_;
    mutable std::map<ModelId, CachedPartition> partitions_;
};

}
