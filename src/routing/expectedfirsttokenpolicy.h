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

/// Routes by expected time to first token, weighted by the objectives, and separates short work from long work.
///
/// A water-filling computation distributes the work that all entries are expected to send, before their choices show up in load reports, over
/// the endpoints: the cheapest first, up to a common cost level. A request goes to a random endpoint, weighted by the endpoint's part of that
/// work, so that entries with the same stale view do not all pick the same endpoint.
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
    /// Beyond this number, all histories are cleared, including those of endpoints that are no longer in the serving document.
    static constexpr std::size_t MaxHistories = 5'000;

    /// Attempt on an endpoint that the endpoint's load report may not include yet.
    struct RecentAttempt {
        TimePoint at;
        std::uint64_t prefillTokens = 0;
        std::uint64_t heldTokens = 0;
    };

    struct EndpointHistory {
        std::deque<RecentAttempt> recentAttempts;
        TimePoint failedAt;
    };

    /// Properties of an endpoint that stay valid over several decisions.
    struct CachedEndpoint {
        const EndpointId *id = nullptr; ///< Key of the history; differs from the endpoint's id if the entry is from an older document.
        const EndpointHistory *history = nullptr;
        WorkClass assignedClass = WorkClass::Medium;
        bool isBuffer = false;
        double slowdown = 1;
        double crossZoneSeconds = 0;
    };

    using CachedEndpoints = std::unordered_map<const Endpoint *, CachedEndpoint>;

    struct PrefixMatch {
        const EndpointHistory *history = nullptr;
        std::size_t blocks = 0;
    };

    struct CachedPartition {
        EndpointPartition partition;
        ZoneId zone; ///< Availability zone of the entry process.
        CachedEndpoints endpoints;
        TimePoint builtAt;
    };

    /// A request and the values derived from it that do not depend on the candidate.
    struct RequestContext {
        explicit RequestContext(const RouteRequest &routeRequest)
            : request(routeRequest)
        {
        }

        const RouteRequest &request;
        WorkClass workClass = WorkClass::Short;
        double prefillSeconds = 0; ///< Without prefix reuse.
        double decodeSeconds = 0;
        bool mayExceedMemory = false; ///< Has waited long enough to be sent to an endpoint that lacks memory for it.
        bool mayUseShortEndpoints = false; ///< Has waited long enough to use an endpoint that is reserved for short work.
        std::vector<PrefixMatch> matches;
        TimePoint newestReport;
        CachedPartition *cached = nullptr;
    };

    struct Estimate {
        const FleetState::Candidate *candidate = nullptr;
        double firstToken = 0; ///< Seconds.
        double cost = 0; ///< Seconds, including the slowdown of other work.
    };

    /// Estimated current load of an endpoint.
    struct Load {
        double waitSeconds = 0;
        std::uint64_t freeTokens = 0;
        std::uint64_t running = 0;
    };

    /// Work of the request's class that all entries are expected to send before their choices show up in load reports.
    struct ExpectedArrivals {
        double window = 0; ///< Seconds.
        double work = 0; ///< Seconds of engine time.
        double costRise = 0; ///< Increase in cost, in seconds, of an endpoint that is busy for the whole window.
    };

    [[nodiscard]] RequestContext makeContext(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates) const;
    [[nodiscard]] CachedPartition &partition(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates) const;
    [[nodiscard]] std::vector<Estimate> estimates(TimePoint now, const RequestContext &context, const std::vector<FleetState::Candidate> &candidates) const;
    [[nodiscard]] std::optional<Estimate> estimate(TimePoint now, const RequestContext &context, const FleetState::Candidate &candidate) const;
    [[nodiscard]] const CachedEndpoint &cachedEndpoint(const RequestContext &context, const Endpoint *endpoint) const;
    [[nodiscard]] Load load(TimePoint now, const FleetState::Candidate &candidate, const CachedEndpoint &endpoint) const;
    [[nodiscard]] double prefillSeconds(const RequestContext &context, const CachedEndpoint &endpoint) const;
    [[nodiscard]] double interferenceSeconds(const RequestContext &context, const CachedEndpoint &endpoint, double prefill) const;
    [[nodiscard]] static bool isReservedForShort(const RequestContext &context, const CachedEndpoint &endpoint);
    void setLinks(const std::vector<ZoneLink> &links);
    [[nodiscard]] double crossZoneSeconds(const ZoneId &from, const ZoneId &to) const;
    [[nodiscard]] ExpectedArrivals expectedArrivals(TimePoint now, const RequestContext &context) const;
    [[nodiscard]] static double waterLevel(const std::vector<Estimate> &estimates, const ExpectedArrivals &arrivals);
    [[nodiscard]] static const Estimate &pick(const std::vector<Estimate> &estimates, const ExpectedArrivals &arrivals, std::uint64_t random);

    Objectives objectives_;
    std::map<std::pair<ZoneId, ZoneId>, double> crossZoneSeconds_; ///< Round-trip time plus the cost of the link, in seconds.
    CostModel costs_;
    PrefixIndex prefixes_{MaxPrefixBlocks};
    std::map<ModelId, WorkDemand> demands_;
    mutable std::unordered_map<EndpointId, EndpointHistory> histories_;
    mutable std::map<ModelId, CachedPartition> partitions_;
};

}
