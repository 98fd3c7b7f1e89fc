#include "routing/expectedfirsttokenpolicy.h"

#include "routing/prefixblocks.h"

#include <algorithm>
#include <limits>

namespace Lentillock
{

namespace
{

/// Load reports are this far apart, so at the next decision after a report half of it has passed on average.
constexpr double ReportIntervalSeconds = 0.5;
/// The level that the work of all entries fills is computed for a fleet at this load.
constexpr double AssumedLoad = 0.8;
constexpr double MaxWindowSeconds = 10;
/// Cost differences below this are noise.
constexpr double MinRiseSeconds = 0.005;
/// Halvings of the interval in which the fill level lies.
constexpr int FillSteps = 10;
/// A report older than the newest one by more than this is a sign of trouble.
constexpr double ReportAgeTolerance = 1.0;
constexpr double SuspectSeconds = 1.0;
/// Weight of the time for which a long prefill slows short work on an endpoint that is kept for it.
constexpr double ShortHarm = 4;
/// Weight of the memory that long work takes from groups, and of the delay that it is to medium work.
constexpr double MediumHarm = 1;
/// Short requests on engines of other classes are expected to be slowed by prefills for this part of their decoding.
constexpr double ForeignDecodeHarm = 0.5;
constexpr double DecodeSlowdownPerRunning = 0.02;
/// A request may be held back for this part of the time to its deadline before it queues at an endpoint that lacks memory.
constexpr double HoldingShare = 0.25;
/// And for this part before it uses an endpoint that is kept for short work.
constexpr double ShortUseShare = 0.6;
/// Seconds of cost when an endpoint lacks all its memory for the request.
constexpr double BlockedSeconds = 60;
/// Seconds of cost per unit of a link's cost.
constexpr double LinkCostSeconds = 0.001;
constexpr std::size_t MaxRecentStarts = 1000;

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

/// Work that an endpoint of cost @p cost takes during a window when endpoints are filled up to the cost @p level.
///
/// Work that the endpoint can do within the window hardly raises its cost: by up to @p rise. Work beyond that adds fully.
double intake(double cost, double level, double window, double rise)
{
    const double above = std::max(0.0, level - cost);
    return (window / rise * std::min(rise, above)) + std::max(0.0, above - rise);
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
    const Plan prepared = plan(now, request, candidates);
    const std::vector<Estimate> usable = estimates(now, prepared, candidates);
    if (usable.empty()) {
        return std::nullopt;
    }
    const Estimate &picked = pick(usable, arrivals(now, prepared), random);
    return RouteChoice{picked.candidate->endpoint->id, duration(picked.firstToken), duration(picked.firstToken + prepared.decodeSeconds)};
}

void ExpectedFirstTokenPolicy::documentChanged(const ServingDocument &document)
{
    objectives_ = document.objectives;
    setLinks(document.links);
    // They were computed from the old objectives and links and refer to the old document's endpoints.
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
    std::deque<RecentStart> &starts = memories_[endpoint].starts;
    starts.push_back({now, request.promptTokens, request.promptTokens + request.maxTokens});
    if (starts.size() > MaxRecentStarts) {
        starts.pop_front();
    }
    prefixes_.stored(now, endpoint, request.prefixBlocks);
}

void ExpectedFirstTokenPolicy::attemptFinished(TimePoint /*now*/, const AttemptObservation &observation)
{
    costs_.observe(observation);
}

void ExpectedFirstTokenPolicy::endpointFailed(TimePoint now, const EndpointId &endpoint)
{
    memories_[endpoint].failedAt = now;
    prefixes_.forget(endpoint);
}

void ExpectedFirstTokenPolicy::setLinks(const std::vector<ZoneLink> &links)
{
    crossings_.clear();
    for (const ZoneLink &link : links) {
        const double crossing = (2 * seconds(link.delay)) + (link.cost * LinkCostSeconds);
        crossings_[{link.from, link.to}] = crossing;
        crossings_[{link.to, link.from}] = crossing;
    }
}

ExpectedFirstTokenPolicy::Plan
ExpectedFirstTokenPolicy::plan(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates) const
{
    Plan plan(request);
    plan.workClass = workClassOf(request.promptTokens);
    plan.prefillSeconds = costs_.prefillSeconds(request.promptTokens, 0);
    plan.decodeSeconds = static_cast<double>(request.maxTokens) * costs_.decodeSecondsPerToken();
    const double waited = seconds(now - request.arrival) / std::max(1e-9, seconds(request.deadline - request.arrival));
    plan.mayBlock = waited >= HoldingShare;
    plan.mayUseShort = waited >= ShortUseShare;
    plan.cached = &partition(now, request, candidates);
    for (const PrefixIndex::Match &match : prefixes_.lookup(now, request.prefixBlocks)) {
        plan.matches.push_back({&memories_[match.endpoint], match.blocks});
    }
    for (const FleetState::Candidate &candidate : candidates) {
        if (const LoadReport *load = report(candidate)) {
            plan.newestReport = std::max(plan.newestReport, load->measuredAt);
        }
    }
    return plan;
}

ExpectedFirstTokenPolicy::CachedPartition &
ExpectedFirstTokenPolicy::partition(TimePoint now, const RouteRequest &request, const std::vector<FleetState::Candidate> &candidates) const
{
    if (memories_.size() > MaxMemories) {
        partitions_.clear();
        memories_.clear();
    }
    // Calls with a part of the candidates, as for groups, keep the division of the whole.
    CachedPartition &cached = partitions_[request.model];
    const bool isOld = now - cached.builtAt >= PartitionLifetime && 2 * candidates.size() > cached.partition.size();
    if (isOld || candidates.size() > cached.partition.size() || cached.zone != request.zone) {
        const auto demand = demands_.find(request.model);
        cached = {EndpointPartition(candidates, demand == demands_.end() ? WorkDemand() : demand->second, objectives_), request.zone, {}, now};
    }
    return cached;
}

const ExpectedFirstTokenPolicy::Slot &ExpectedFirstTokenPolicy::slot(const Plan &plan, const Endpoint *endpoint) const
{
    Slot &slot = plan.cached->slots[endpoint];
    if (slot.id == nullptr || *slot.id != endpoint->id) {
        const auto memory = memories_.try_emplace(endpoint->id).first;
        const EndpointPartition &partition = plan.cached->partition;
        slot = {&memory->first,
                &memory->second,
                partition.home(endpoint),
                partition.isBuffer(endpoint),
                costs_.slowness(endpoint->id),
                crossingSeconds(plan.request.zone, endpoint->zone)};
    }
    return slot;
}

std::vector<ExpectedFirstTokenPolicy::Estimate>
ExpectedFirstTokenPolicy::estimates(TimePoint now, const Plan &plan, const std::vector<FleetState::Candidate> &candidates) const
{
    std::vector<Estimate> result;
    result.reserve(candidates.size());
    for (const FleetState::Candidate &candidate : candidates) {
        if (const auto found = estimate(now, plan, candidate)) {
            result.push_back(*found);
        }
    }
    return result;
}

std::optional<ExpectedFirstTokenPolicy::Estimate>
ExpectedFirstTokenPolicy::estimate(TimePoint now, const Plan &plan, const FleetState::Candidate &candidate) const
{
    const LoadReport *const reported = report(candidate);
    const Slot &known = slot(plan, candidate.endpoint);
    const TimePoint measuredAt = reported == nullptr ? TimePoint() : reported->measuredAt;
    const bool hasFailed = known.memory->failedAt != TimePoint() && known.memory->failedAt >= measuredAt;
    if (hasFailed || isExcluded(plan.request, candidate.endpoint->id)) {
        return std::nullopt;
    }
    const Load current = load(now, candidate, known);
    const std::uint64_t needed = plan.request.promptTokens + plan.request.maxTokens;
    const std::uint64_t missing = needed - std::min(needed, current.freeTokens);
    if ((missing > 0 && !plan.mayBlock) || (isKeptForShort(plan, known) && !plan.mayUseShort)) {
        return std::nullopt;
    }
    const double prefill = prefillSeconds(plan, known);
    const double firstToken = known.crossingSeconds + current.waitSeconds + prefill;
    double cost = firstToken + harm(plan, known, prefill);
    cost += plan.decodeSeconds * DecodeSlowdownPerRunning * static_cast<double>(current.running);
    cost += BlockedSeconds * static_cast<double>(missing) / static_cast<double>(std::max<std::int64_t>(1, candidate.endpoint->memoryTokens));
    if (reported != nullptr) {
        cost += std::max(0.0, seconds(plan.newestReport - reported->measuredAt) - ReportAgeTolerance);
    }
    if (candidate.state != nullptr && candidate.state->health == EndpointHealth::Suspect) {
        cost += SuspectSeconds;
    }
    return Estimate{&candidate, firstToken, cost};
}

ExpectedFirstTokenPolicy::Load ExpectedFirstTokenPolicy::load(TimePoint now, const FleetState::Candidate &candidate, const Slot &slot) const
{
    const LoadReport *const reported = report(candidate);
    const TimePoint measuredAt = reported == nullptr ? TimePoint() : reported->measuredAt;
    std::uint64_t unreportedPrefill = 0;
    std::uint64_t unreportedHeld = 0;
    std::uint64_t unreportedRequests = 0;
    const std::deque<RecentStart> &starts = slot.memory->starts;
    for (auto start = starts.rbegin(); start != starts.rend() && start->at > measuredAt; ++start) {
        unreportedPrefill += start->prefillTokens;
        unreportedHeld += start->heldTokens;
        ++unreportedRequests;
    }
    // Attempts that have ended since are no longer in flight.
    unreportedPrefill = std::min(unreportedPrefill, candidate.inFlight.prefillTokens);
    unreportedHeld = std::min(unreportedHeld, candidate.inFlight.heldTokens);
    unreportedRequests = std::min(unreportedRequests, candidate.inFlight.requests);
    if (reported == nullptr || reported->totalTokens == 0) {
        return {costs_.prefillSeconds(unreportedPrefill, 0), std::numeric_limits<std::uint64_t>::max(), candidate.inFlight.requests};
    }
    const double queued = costs_.prefillSeconds(reported->queuedTokens, 0);
    const double done = std::min(seconds(now - reported->measuredAt), ReportAgeTolerance);
    return {(std::max(0.0, queued - done) + costs_.prefillSeconds(unreportedPrefill, 0)) * slot.slowness,
            reported->freeTokens - std::min(reported->freeTokens, unreportedHeld),
            reported->running + unreportedRequests};
}

double ExpectedFirstTokenPolicy::prefillSeconds(const Plan &plan, const Slot &slot) const
{
    const auto match = std::find_if(plan.matches.begin(), plan.matches.end(), [&slot](const CachedMatch &known) { return known.memory == slot.memory; });
    if (match == plan.matches.end()) {
        return plan.prefillSeconds * slot.slowness;
    }
    const std::uint64_t cached = std::min<std::uint64_t>(plan.request.promptTokens, match->blocks * PrefixBlockTokens);
    return costs_.prefillSeconds(plan.request.promptTokens - cached, cached) * slot.slowness;
}

double ExpectedFirstTokenPolicy::harm(const Plan &plan, const Slot &slot, double prefill) const
{
    const bool mayDisturb = plan.workClass != WorkClass::Short && slot.isBuffer;
    if (slot.home == plan.workClass && !mayDisturb) {
        return 0;
    }
    if (plan.workClass == WorkClass::Short) {
        return ForeignDecodeHarm * plan.decodeSeconds;
    }
    if (isKeptForShort(plan, slot)) {
        return ShortHarm * prefill * objectives_.shortSlowdown / std::max(objectives_.longFirstToken, 1e-3);
    }
    return MediumHarm * prefill;
}

bool ExpectedFirstTokenPolicy::isKeptForShort(const Plan &plan, const Slot &slot)
{
    // With fewer endpoints than classes, classes without an endpoint of their own share those of the others.
    return plan.workClass != WorkClass::Short && slot.home == WorkClass::Short && plan.cached->partition.count(plan.workClass) > 0;
}

double ExpectedFirstTokenPolicy::crossingSeconds(const ZoneId &from, const ZoneId &to) const
{
    if (from == to) {
        return 0;
    }
    const auto found = crossings_.find({from, to});
    return found == crossings_.end() ? 0 : found->second;
}

ExpectedFirstTokenPolicy::Arrivals ExpectedFirstTokenPolicy::arrivals(TimePoint now, const Plan &plan) const
{
    const auto demand = demands_.find(plan.request.model);
    const double share = demand == demands_.end() ? 1 : demand->second.share(plan.workClass);
    const double window = std::clamp(seconds(now - plan.newestReport), 0.0, MaxWindowSeconds) + ReportIntervalSeconds;
    return {window, AssumedLoad * share * static_cast<double>(plan.cached->partition.size()) * window, std::max(MinRiseSeconds, plan.prefillSeconds)};
}

double ExpectedFirstTokenPolicy::fillLevel(const std::vector<Estimate> &estimates, const Arrivals &arrivals)
{
    double low = std::numeric_limits<double>::infinity();
    for (const Estimate &estimate : estimates) {
        low = std::min(low, estimate.cost);
    }
    // The cheapest endpoint alone could take all the work at this level.
    double high = low + arrivals.rise + arrivals.work;
    std::vector<double> costs;
    costs.reserve(estimates.size());
    for (const Estimate &estimate : estimates) {
        if (estimate.cost < high) {
            costs.push_back(estimate.cost);
        }
    }
    for (int step = 0; step < FillSteps; ++step) {
        const double middle = (low + high) / 2;
        double taken = 0;
        for (const double cost : costs) {
            taken += intake(cost, middle, arrivals.window, arrivals.rise);
        }
        (taken < arrivals.work ? low : high) = middle;
    }
    return high;
}

const ExpectedFirstTokenPolicy::Estimate &ExpectedFirstTokenPolicy::pick(const std::vector<Estimate> &estimates, const Arrivals &arrivals, std::uint64_t random)
{
    const double level = fillLevel(estimates, arrivals);
    double sum = 0;
    for (const Estimate &estimate : estimates) {
        sum += intake(estimate.cost, level, arrivals.window, arrivals.rise);
    }
    double left = sum * static_cast<double>(random >> 11U) * 0x1.0p-53;
    for (const Estimate &estimate : estimates) {
        left -= intake(estimate.cost, level, arrivals.window, arrivals.rise);
        if (left < 0) {
            return estimate;
        }
    }
    return *std::min_element(estimates.begin(), estimates.end(), [](const Estimate &left, const Estimate &right) { return left.cost < right.cost; });
}

}
