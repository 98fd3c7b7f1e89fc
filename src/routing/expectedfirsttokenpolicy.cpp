#include "routing/expectedfirsttokenpolicy.h"

#include "routing/prefixblocks.h"

#include <algorithm>
#include <limits>

namespace Lentillock
{

namespace
{

/// Interval between load reports. On average, half of it has passed at the first decision after a report.
constexpr double ReportIntervalSeconds = 0.5;
/// Fleet utilization that is assumed when estimating the work that all entries send.
constexpr double AssumedUtilization = 0.8;
constexpr double MaxWindowSeconds = 10;
/// Smaller cost differences are noise.
constexpr double MinCostRiseSeconds = 0.005;
/// Iterations of the bisection for the water level.
constexpr int BisectionSteps = 10;
/// A report that is older than the newest one by more than this suggests a problem of its endpoint and raises the endpoint's cost.
constexpr double ReportAgeTolerance = 1.0;
constexpr double SuspectPenaltySeconds = 1.0;
/// Weight of the time for which a long prefill slows short work on an endpoint that is reserved for short work.
constexpr double ShortInterferenceWeight = 4;
/// Weight of the memory that long work takes from groups and of the delay that it causes for medium work.
constexpr double MediumInterferenceWeight = 1;
/// Fraction of its decoding time by which prefills are expected to slow a short request on an engine of another class.
constexpr double OtherClassDecodePenalty = 0.5;
constexpr double DecodeSlowdownPerRunning = 0.02;
/// Fraction of the time from arrival to deadline after which a request may be sent to an endpoint that lacks memory for it.
constexpr double MemoryWaitShare = 0.25;
/// Fraction of the time from arrival to deadline after which a request of another class may use an endpoint reserved for short work.
constexpr double ShortEndpointWaitShare = 0.6;
/// Cost, in seconds, if the memory that the endpoint lacks for the request equals its whole memory; proportionally less otherwise.
constexpr double MissingMemorySeconds = 60;
/// Converts the cost of a link to seconds.
constexpr double SecondsPerLinkCost = 0.001;
constexpr std::size_t MaxRecentAttempts = 1000;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration duration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

const LoadReport *report(const FleetState::Candidate &candidate)
{
    return candidate.state != nullptr && candidate.state->load.has_value() ? &*candidate.state->load : nullptr;
}

bool isExcluded(const RouteRequest &request, const EndpointId &endpoint)
{
    return std::find(request.excluded.begin(), request.excluded.end(), endpoint) != request.excluded.end();
}

/// Returns the work that raises the cost of an endpoint from @p cost to @p level during a window.
///
/// Work that the endpoint can finish within the window raises its cost by at most @p costRise. Work beyond that raises it one to one.
double absorbedWork(double cost, double level, double window, double costRise)
{
    const double above = std::max(0.0, level - cost);
    return (window / costRise * std::min(costRise, above)) + std::max(0.0, above - costRise);
}

}

ExpectedFirstTokenPolicy::ExpectedFirstTokenPolicy(const Objectives &objectives, const std::vector<ZoneLink> &links)
    : objectives_(objectives)
{
    setLinks(links);
}

std::optional<RouteChoice>
ExpectedFirstTokenPolicy::choose(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates, std::uint64_t random) const
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const RequestContext context = makeContext(now, request, candidates);
    const std::vector<Estimate> usable = estimates(now, context, candidates);
    if (usable.empty()) {
        return std::nullopt;
    }
    const Estimate &picked = pick(usable, expectedArrivals(now, context), random);
    return RouteChoice{picked.candidate->endpoint->id, duration(picked.firstToken), duration(picked.firstToken + context.decodeSeconds)};
}

void ExpectedFirstTokenPolicy::documentChanged(const ServingDocument &document)
{
    objectives_ = document.objectives;
    setLinks(document.links);
    // The partitions depend on the objectives and links and point to the endpoints of the old document.
    partitions_.clear();
}

void ExpectedFirstTokenPolicy::requestArrived(TimePoint now, const RouteRequest &request)
{
    constexpr double typicalMemoryTokens = 400'000;
    const double computing = costs_.prefillSeconds(request.promptTokens, 0);
    const double decoding = static_cast<double>(request.maxTokens) * costs_.decodeSecondsPerToken();
    const double memory = static_cast<double>(request.promptTokens + request.maxTokens) / typicalMemoryTokens;
    demands_[request.model].add(now, workClassOf(request.promptTokens), computing + (DecodeSlowdownPerRunning * decoding) + (memory * (computing + decoding)));
}

void ExpectedFirstTokenPolicy::attemptStarted(TimePoint now, const RouteRequest &request, const EndpointId &endpoint)
{
    std::deque<RecentAttempt> &recentAttempts = histories_[endpoint].recentAttempts;
    recentAttempts.push_back({now, request.promptTokens, request.promptTokens + request.maxTokens});
    if (recentAttempts.size() > MaxRecentAttempts) {
        recentAttempts.pop_front();
    }
    prefixes_.recordStored(now, endpoint, request.prefixBlocks);
}

void ExpectedFirstTokenPolicy::attemptFinished(TimePoint /*now*/, const AttemptObservation &observation)
{
    costs_.observe(observation);
}

void ExpectedFirstTokenPolicy::endpointFailed(TimePoint now, const EndpointId &endpoint)
{
    histories_[endpoint].failedAt = now;
    prefixes_.removeEndpoint(endpoint);
}

void ExpectedFirstTokenPolicy::setLinks(const std::vector<ZoneLink> &links)
{
    crossZoneSeconds_.clear();
    for (const ZoneLink &link : links) {
        const double linkSeconds = (2 * seconds(link.delay)) + (link.cost * SecondsPerLinkCost);
        crossZoneSeconds_[{link.from, link.to}] = linkSeconds;
        crossZoneSeconds_[{link.to, link.from}] = linkSeconds;
    }
}

ExpectedFirstTokenPolicy::RequestContext
ExpectedFirstTokenPolicy::makeContext(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates) const
{
    RequestContext context(request);
    context.workClass = workClassOf(request.promptTokens);
    context.prefillSeconds = costs_.prefillSeconds(request.promptTokens, 0);
    context.decodeSeconds = static_cast<double>(request.maxTokens) * costs_.decodeSecondsPerToken();
    const double waited = seconds(now - request.arrival) / std::max(1e-9, seconds(request.deadline - request.arrival));
    context.mayExceedMemory = waited >= MemoryWaitShare;
    context.mayUseShortEndpoints = waited >= ShortEndpointWaitShare;
    context.cached = &partition(now, request, candidates);
    for (const PrefixIndex::Match &match : prefixes_.lookup(now, request.prefixBlocks)) {
        context.matches.push_back({&histories_[match.endpoint], match.blocks});
    }
    for (const FleetState::Candidate &candidate : candidates) {
        if (const LoadReport *load = report(candidate)) {
            context.newestReport = std::max(context.newestReport, load->measuredAt);
        }
    }
    return context;
}

ExpectedFirstTokenPolicy::CachedPartition &
ExpectedFirstTokenPolicy::partition(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates) const
{
    if (histories_.size() > MaxHistories) {
        partitions_.clear();
        histories_.clear();
    }
    // A call with a subset of the candidates, as for a group, uses the partition of all candidates.
    CachedPartition &cached = partitions_[request.model];
    const bool isExpired = now - cached.builtAt >= PartitionLifetime && 2 * candidates.size() > cached.partition.size();
    if (isExpired || candidates.size() > cached.partition.size() || cached.zone != request.zone) {
        const auto demand = demands_.find(request.model);
        cached = {EndpointPartition(candidates, demand == demands_.end() ? WorkDemand() : demand->second, objectives_), request.zone, {}, now};
    }
    return cached;
}

const ExpectedFirstTokenPolicy::CachedEndpoint &ExpectedFirstTokenPolicy::cachedEndpoint(const RequestContext &context, const Endpoint *endpoint) const
{
    CachedEndpoint &entry = context.cached->endpoints[endpoint];
    if (entry.id == nullptr || *entry.id != endpoint->id) {
        const auto history = histories_.try_emplace(endpoint->id).first;
        const EndpointPartition &partition = context.cached->partition;
        entry = {&history->first,
                 &history->second,
                 partition.assignedClass(endpoint),
                 partition.isBuffer(endpoint),
                 costs_.slowdown(endpoint->id),
                 crossZoneSeconds(context.request.zone, endpoint->zone)};
    }
    return entry;
}

std::vector<ExpectedFirstTokenPolicy::Estimate>
ExpectedFirstTokenPolicy::estimates(TimePoint now, const RequestContext &context, const std::vector<FleetState::Candidate> &candidates) const
{
    std::vector<Estimate> result;
    result.reserve(candidates.size());
    for (const FleetState::Candidate &candidate : candidates) {
        if (const auto found = estimate(now, context, candidate)) {
            result.push_back(*found);
        }
    }
    return result;
}

std::optional<ExpectedFirstTokenPolicy::Estimate>
ExpectedFirstTokenPolicy::estimate(TimePoint now, const RequestContext &context, const FleetState::Candidate &candidate) const
{
    const LoadReport *const reported = report(candidate);
    const CachedEndpoint &known = cachedEndpoint(context, candidate.endpoint);
    const TimePoint measuredAt = reported == nullptr ? TimePoint() : reported->measuredAt;
    const bool hasFailed = known.history->failedAt != TimePoint() && known.history->failedAt >= measuredAt;
    if (hasFailed || isExcluded(context.request, candidate.endpoint->id)) {
        return std::nullopt;
    }
    const Load current = load(now, candidate, known);
    const std::uint64_t needed = context.request.promptTokens + context.request.maxTokens;
    const std::uint64_t missing = needed - std::min(needed, current.freeTokens);
    if ((missing > 0 && !context.mayExceedMemory) || (isReservedForShort(context, known) && !context.mayUseShortEndpoints)) {
        return std::nullopt;
    }
    const double prefill = prefillSeconds(context, known);
    const double firstToken = known.crossZoneSeconds + current.waitSeconds + prefill;
    double cost = firstToken + interferenceSeconds(context, known, prefill);
    cost += context.decodeSeconds * DecodeSlowdownPerRunning * static_cast<double>(current.running);
    cost += MissingMemorySeconds * static_cast<double>(missing) / static_cast<double>(std::max<std::int64_t>(1, candidate.endpoint->memoryTokens));
    if (reported != nullptr) {
        cost += std::max(0.0, seconds(context.newestReport - reported->measuredAt) - ReportAgeTolerance);
    }
    if (candidate.state != nullptr && candidate.state->health == EndpointHealth::Suspect) {
        cost += SuspectPenaltySeconds;
    }
    return Estimate{&candidate, firstToken, cost};
}

ExpectedFirstTokenPolicy::Load ExpectedFirstTokenPolicy::load(TimePoint now, const FleetState::Candidate &candidate, const CachedEndpoint &endpoint) const
{
    const LoadReport *const reported = report(candidate);
    const TimePoint measuredAt = reported == nullptr ? TimePoint() : reported->measuredAt;
    std::uint64_t unreportedPrefill = 0;
    std::uint64_t unreportedHeld = 0;
    std::uint64_t unreportedRequests = 0;
    const std::deque<RecentAttempt> &recentAttempts = endpoint.history->recentAttempts;
    for (auto attempt = recentAttempts.rbegin(); attempt != recentAttempts.rend() && attempt->at > measuredAt; ++attempt) {
        unreportedPrefill += attempt->prefillTokens;
        unreportedHeld += attempt->heldTokens;
        ++unreportedRequests;
    }
    // Some of these attempts may have ended since; only those in flight count.
    unreportedPrefill = std::min(unreportedPrefill, candidate.inFlight.prefillTokens);
    unreportedHeld = std::min(unreportedHeld, candidate.inFlight.heldTokens);
    unreportedRequests = std::min(unreportedRequests, candidate.inFlight.requests);
    if (reported == nullptr || reported->totalTokens == 0) {
        return {costs_.prefillSeconds(unreportedPrefill, 0), std::numeric_limits<std::uint64_t>::max(), candidate.inFlight.requests};
    }
    const double queued = costs_.prefillSeconds(reported->queuedTokens, 0);
    const double done = std::min(seconds(now - reported->measuredAt), ReportAgeTolerance);
    return {(std::max(0.0, queued - done) + costs_.prefillSeconds(unreportedPrefill, 0)) * endpoint.slowdown,
            reported->freeTokens - std::min(reported->freeTokens, unreportedHeld),
            reported->running + unreportedRequests};
}

double ExpectedFirstTokenPolicy::prefillSeconds(const RequestContext &context, const CachedEndpoint &endpoint) const
{
    const auto match
        = std::find_if(context.matches.begin(), context.matches.end(), [&endpoint](const PrefixMatch &known) { return known.history == endpoint.history; });
    if (match == context.matches.end()) {
        return context.prefillSeconds * endpoint.slowdown;
    }
    const std::uint64_t cached = std::min<std::uint64_t>(context.request.promptTokens, match->blocks * PrefixBlockTokens);
    return costs_.prefillSeconds(context.request.promptTokens - cached, cached) * endpoint.slowdown;
}

double ExpectedFirstTokenPolicy::interferenceSeconds(const RequestContext &context, const CachedEndpoint &endpoint, double prefill) const
{
    const bool mayInterfere = context.workClass != WorkClass::Short && endpoint.isBuffer;
    if (endpoint.assignedClass == context.workClass && !mayInterfere) {
        return 0;
    }
    if (context.workClass == WorkClass::Short) {
        return OtherClassDecodePenalty * context.decodeSeconds;
    }
    if (isReservedForShort(context, endpoint)) {
        return ShortInterferenceWeight * prefill * objectives_.shortSlowdown / std::max(objectives_.longFirstToken, 1e-3);
    }
    return MediumInterferenceWeight * prefill;
}

bool ExpectedFirstTokenPolicy::isReservedForShort(const RequestContext &context, const CachedEndpoint &endpoint)
{
    // With fewer endpoints than classes, classes without an endpoint of their own use those of the others.
    return context.workClass != WorkClass::Short && endpoint.assignedClass == WorkClass::Short && context.cached->partition.count(context.workClass) > 0;
}

double ExpectedFirstTokenPolicy::crossZoneSeconds(const ZoneId &from, const ZoneId &to) const
{
    if (from == to) {
        return 0;
    }
    const auto found = crossZoneSeconds_.find({from, to});
    return found == crossZoneSeconds_.end() ? 0 : found->second;
}

ExpectedFirstTokenPolicy::ExpectedArrivals ExpectedFirstTokenPolicy::expectedArrivals(TimePoint now, const RequestContext &context) const
{
    const auto demand = demands_.find(context.request.model);
    const double share = demand == demands_.end() ? 1 : demand->second.share(context.workClass);
    const double window = std::clamp(seconds(now - context.newestReport), 0.0, MaxWindowSeconds) + ReportIntervalSeconds;
    return {window,
            AssumedUtilization * share * static_cast<double>(context.cached->partition.size()) * window,
            std::max(MinCostRiseSeconds, context.prefillSeconds)};
}

double ExpectedFirstTokenPolicy::waterLevel(const std::vector<Estimate> &estimates, const ExpectedArrivals &arrivals)
{
    double low = std::numeric_limits<double>::infinity();
    for (const Estimate &estimate : estimates) {
        low = std::min(low, estimate.cost);
    }
    // At this level the cheapest endpoint alone absorbs all the work.
    double high = low + arrivals.costRise + arrivals.work;
    std::vector<double> costs;
    costs.reserve(estimates.size());
    for (const Estimate &estimate : estimates) {
        if (estimate.cost < high) {
            costs.push_back(estimate.cost);
        }
    }
    for (int step = 0; step < BisectionSteps; ++step) {
        const double middle = (low + high) / 2;
        double taken = 0;
        for (const double cost : costs) {
            taken += absorbedWork(cost, middle, arrivals.window, arrivals.costRise);
        }
        (taken < arrivals.work ? low : high) = middle;
    }
    return high;
}

const ExpectedFirstTokenPolicy::Estimate &
ExpectedFirstTokenPolicy::pick(const std::vector<Estimate> &estimates, const ExpectedArrivals &arrivals, std::uint64_t random)
{
    const double level = waterLevel(estimates, arrivals);
    double sum = 0;
    for (const Estimate &estimate : estimates) {
        sum += absorbedWork(estimate.cost, level, arrivals.window, arrivals.costRise);
    }
    double remaining = sum * static_cast<double>(random >> 11U) * 0x1.0p-53;
    for (const Estimate &estimate : estimates) {
        remaining -= absorbedWork(estimate.cost, level, arrivals.window, arrivals.costRise);
        if (remaining < 0) {
            return estimate;
        }
    }
    return *std::min_element(estimates.begin(), estimates.end(), [](const Estimate &left, const Estimate &right) { return left.cost < right.cost; });
}

}
