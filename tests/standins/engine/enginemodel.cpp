#include "standins/engine/enginemodel.h"

#include "routing/prefixblocks.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

EngineModel::EngineModel(EngineSettings settings, std::string generation, TimePoint start)
    : settings_(settings)
    , generation_(std::move(generation))
    , cache_(settings.cacheTokens / PrefixBlockTokens, settings.cacheEventLossInterval)
    , freeTokens_(settings.memoryTokens)
{
    recordLoad(start);
}

bool EngineModel::submit(TimePoint now, const EngineRequest &request)
{
    advance(now);
    const bool fits = request.allocation.empty() ? requiredTokens(request) <= settings_.memoryTokens : allocations_.contains(request.allocation);
    if (!fits || requests_.contains(request.id)) {
        return false;
    }
    ScheduledRequest &scheduled = requests_[request.id];
    scheduled.request = request;
    scheduled.arrival = arrivals_++;
    scheduled.position = request.firstPosition;
    const auto insertPosition = std::find_if(
        queue_.begin(), queue_.end(), [&scheduled](const ScheduledRequest *other) { return other->request.priority < scheduled.request.priority; });
    queue_.insert(insertPosition, &scheduled);
    startIfIdle(now);
    recordLoad(now);
    return true;
}

bool EngineModel::cancel(TimePoint now, const std::string &id)
{
    advance(now);
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return false;
    }
    std::erase(queue_, &found->second);
    std::erase(batch_, &found->second);
    freeTokens_ += found->second.reservedTokens;
    requests_.erase(found);
    startIfIdle(now);
    recordLoad(now);
    return true;
}

void EngineModel::advance(TimePoint now)
{
    while (stepEnd_ && *stepEnd_ <= now) {
        endStep();
    }
}

std::optional<TimePoint> EngineModel::nextStepEnd() const
{
    return stepEnd_;
}

std::vector<EngineEvent> EngineModel::takeEvents()
{
    return std::exchange(events_, {});
}

std::optional<EngineRequestStatus> EngineModel::status(const std::string &id) const
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return std::nullopt;
    }
    const ScheduledRequest &scheduled = found->second;
    return EngineRequestStatus{scheduled.phase, scheduled.position, scheduled.cachedTokens};
}

void EngineModel::removeFinished(const std::string &id)
{
    const auto found = requests_.find(id);
    if (found != requests_.end() && found->second.phase == EngineRequestPhase::Finished) {
        requests_.erase(found);
    }
}

bool EngineModel::allocate(TimePoint now, const std::string &id, const EngineAllocation &allocation)
{
    advance(now);
    if (allocations_.contains(id)) {
        return true;
    }
    if (allocation.tokens > freeTokens_) {
        return false;
    }
    freeTokens_ -= allocation.tokens;
    allocations_[id] = allocation;
    recordLoad(now);
    return true;
}

bool EngineModel::release(TimePoint now, const std::string &id)
{
    advance(now);
    const auto found = allocations_.find(id);
    if (found == allocations_.end()) {
        return false;
    }
    freeTokens_ += found->second.tokens;
    allocations_.erase(found);
    startIfIdle(now);
    recordLoad(now);
    return true;
}

const std::map<std::string, EngineAllocation> &EngineModel::allocations() const
{
    return allocations_;
}

EngineLoad EngineModel::load(TimePoint now) const
{
    const TimePoint visibleUntil = now - settings_.reportLag;
    const auto later = std::find_if(loads_.begin(), loads_.end(), [visibleUntil](const EngineLoad &load) { return load.measuredAt > visibleUntil; });
    EngineLoad load = later == loads_.begin() ? loads_.front() : *std::prev(later);
    load.measuredAt = visibleUntil;
    return load;
}

std::vector<CacheEvent> EngineModel::cacheEvents(TimePoint now, std::uint64_t after) const
{
    return cache_.events(after, now - settings_.cacheEventLag);
}

EngineOrderResult EngineModel::order(TimePoint now, const EngineOrder &order)
{
    advance(now);
    if (settings_.checksFencing && order.fencing < lastOrder_.fencing) {
        return EngineOrderResult::StaleFencing;
    }
    if (!order.generation.empty() && order.generation != generation_) {
        return EngineOrderResult::WrongGeneration;
    }
    if (order.ifIdle && (!queue_.empty() || !batch_.empty() || !allocations_.empty())) {
        return EngineOrderResult::Busy;
    }
    const EngineOrder previous = std::exchange(lastOrder_, order);
    if (order.model.empty() && order.version.empty()) {
        lastOrder_.model = previous.model;
        lastOrder_.version = previous.version;
    }
    return EngineOrderResult::Done;
}

const EngineOrder &EngineModel::lastOrder() const
{
    return lastOrder_;
}

const std::string &EngineModel::generation() const
{
    return generation_;
}

const EngineSettings &EngineModel::settings() const
{
    return settings_;
}

void EngineModel::startIfIdle(TimePoint now)
{
    if (!stepEnd_) {
        beginStep(now);
    }
}

void EngineModel::beginStep(TimePoint now)
{
    admitQueued();
    if (batch_.empty()) {
        stepEnd_.reset();
        return;
    }
    stepEnd_ = now + settings_.stepBase + static_cast<std::int64_t>(batch_.size()) * settings_.stepPerSequence + assignChunks();
}

void EngineModel::endStep()
{
    const TimePoint end = *stepEnd_;
    for (ScheduledRequest *scheduled : std::vector(batch_)) {
        if (scheduled->phase == EngineRequestPhase::Decoding) {
            decodeToken(*scheduled);
        } else if (scheduled->chunk > 0) {
            finishChunk(*scheduled);
        }
    }
    beginStep(end);
    recordLoad(end);
}

void EngineModel::admitQueued()
{
    // Requests are admitted in order: one that does not fit yet blocks those after it, so that it cannot starve.
    while (!queue_.empty() && batch_.size() < settings_.maxBatch) {
        ScheduledRequest &scheduled = *queue_.front();
        if (scheduled.request.allocation.empty() && requiredTokens(scheduled.request) > freeTokens_) {
            break;
        }
        queue_.erase(queue_.begin());
        admit(scheduled);
    }
}

void EngineModel::admit(ScheduledRequest &scheduled)
{
    scheduled.phase = EngineRequestPhase::Prefilling;
    if (scheduled.request.allocation.empty()) {
        scheduled.reservedTokens = requiredTokens(scheduled.request);
        freeTokens_ -= scheduled.reservedTokens;
    }
    // At least one prompt token is computed, because the first output token depends on it.
    const std::uint64_t matched = cache_.match(scheduled.request.prefixBlocks) * PrefixBlockTokens;
    scheduled.cachedTokens = scheduled.request.promptTokens == 0 ? 0 : std::min(matched, scheduled.request.promptTokens - 1);
    scheduled.prefilledTokens = scheduled.cachedTokens;
    const auto insertPosition = std::find_if(
        batch_.begin(), batch_.end(), [&scheduled](const ScheduledRequest *other) { return other->request.priority < scheduled.request.priority; });
    batch_.insert(insertPosition, &scheduled);
}

Duration EngineModel::assignChunks()
{
    std::uint64_t budget = settings_.chunkTokens;
    Duration time = Duration::zero();
    for (ScheduledRequest *scheduled : batch_) {
        scheduled->chunk = 0;
        if (scheduled->phase != EngineRequestPhase::Prefilling || budget == 0) {
            continue;
        }
        scheduled->chunk = std::min(budget, std::max<std::uint64_t>(1, scheduled->request.promptTokens - scheduled->prefilledTokens));
        budget -= scheduled->chunk;
        const std::uint64_t context = scheduled->request.importedTokens + scheduled->prefilledTokens;
        const double factor = 1.0 + static_cast<double>(context) / static_cast<double>(settings_.doublingContext);
        time += std::chrono::duration_cast<Duration>(settings_.stepPerPrefillToken * (static_cast<double>(scheduled->chunk) * factor));
    }
    return time;
}

void EngineModel::finishChunk(ScheduledRequest &scheduled)
{
    scheduled.prefilledTokens += scheduled.chunk;
    if (scheduled.prefilledTokens < scheduled.request.promptTokens) {
        return;
    }
    cache_.store(*stepEnd_, scheduled.request.prefixBlocks);
    scheduled.phase = EngineRequestPhase::Decoding;
    events_.push_back({EngineEvent::Kind::FirstToken, scheduled.request.id, *stepEnd_});
    decodeToken(scheduled);
}

void EngineModel::decodeToken(ScheduledRequest &scheduled)
{
    if (scheduled.position < scheduled.request.maxTokens) {
        ++scheduled.position;
    }
    if (scheduled.position >= scheduled.request.maxTokens) {
        finish(scheduled);
    }
}

void EngineModel::finish(ScheduledRequest &scheduled)
{
    scheduled.phase = EngineRequestPhase::Finished;
    freeTokens_ += std::exchange(scheduled.reservedTokens, 0);
    std::erase(batch_, &scheduled);
    events_.push_back({EngineEvent::Kind::Finished, scheduled.request.id, *stepEnd_});
}

void EngineModel::recordLoad(TimePoint now)
{
    std::uint64_t queued = 0;
    for (const ScheduledRequest *scheduled : queue_) {
        queued += scheduled->request.promptTokens;
    }
    for (const ScheduledRequest *scheduled : batch_) {
        if (scheduled->phase == EngineRequestPhase::Prefilling) {
            queued += scheduled->request.promptTokens - std::min(scheduled->prefilledTokens, scheduled->request.promptTokens);
        }
    }
    loads_.push_back({settings_.memoryTokens, freeTokens_, queued, batch_.size(), now});
    while (loads_.size() > 1 && loads_[1].measuredAt <= now - settings_.reportLag) {
        loads_.pop_front();
    }
}

std::uint64_t EngineModel::requiredTokens(const EngineRequest &request) const
{
    return request.promptTokens + request.maxTokens - std::min(request.firstPosition, request.maxTokens);
}

}
