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
    const bool fits = request.allocation.empty() ? neededTokens(request) <= settings_.memoryTokens : allocations_.contains(request.allocation);
    if (!fits || works_.contains(request.id)) {
        return false;
    }
    Work &work = works_[request.id];
    work.request = request;
    work.arrival = arrivals_++;
    work.position = request.firstPosition;
    const auto behind = std::find_if(queue_.begin(), queue_.end(), [&work](const Work *other) { return other->request.priority < work.request.priority; });
    queue_.insert(behind, &work);
    startIfIdle(now);
    recordLoad(now);
    return true;
}

bool EngineModel::cancel(TimePoint now, const std::string &id)
{
    advance(now);
    const auto found = works_.find(id);
    if (found == works_.end()) {
        return false;
    }
    std::erase(queue_, &found->second);
    std::erase(batch_, &found->second);
    freeTokens_ += found->second.heldTokens;
    works_.erase(found);
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
    const auto found = works_.find(id);
    if (found == works_.end()) {
        return std::nullopt;
    }
    const Work &work = found->second;
    return EngineRequestStatus{work.phase, work.position, work.cachedTokens};
}

void EngineModel::forget(const std::string &id)
{
    const auto found = works_.find(id);
    if (found != works_.end() && found->second.phase == EngineRequestPhase::Finished) {
        works_.erase(found);
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
    const TimePoint visible = now - settings_.reportLag;
    const auto later = std::find_if(loads_.begin(), loads_.end(), [visible](const EngineLoad &load) { return load.measuredAt > visible; });
    EngineLoad load = later == loads_.begin() ? loads_.front() : *std::prev(later);
    load.measuredAt = visible;
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
    for (Work *work : std::vector(batch_)) {
        if (work->phase == EngineRequestPhase::Decoding) {
            decodeToken(*work);
        } else if (work->chunk > 0) {
            finishChunk(*work);
        }
    }
    beginStep(end);
    recordLoad(end);
}

void EngineModel::admitQueued()
{
    // Requests are admitted in order; one that does not fit yet holds back those behind it, so it cannot starve.
    while (!queue_.empty() && batch_.size() < settings_.maxBatch) {
        Work &work = *queue_.front();
        if (work.request.allocation.empty() && neededTokens(work.request) > freeTokens_) {
            break;
        }
        queue_.erase(queue_.begin());
        admit(work);
    }
}

void EngineModel::admit(Work &work)
{
    work.phase = EngineRequestPhase::Prefilling;
    if (work.request.allocation.empty()) {
        work.heldTokens = neededTokens(work.request);
        freeTokens_ -= work.heldTokens;
    }
    // At least one token is computed, since the first token of the answer follows from it.
    const std::uint64_t matched = cache_.match(work.request.prefixBlocks) * PrefixBlockTokens;
    work.cachedTokens = work.request.promptTokens == 0 ? 0 : std::min(matched, work.request.promptTokens - 1);
    work.prefilled = work.cachedTokens;
    const auto behind = std::find_if(batch_.begin(), batch_.end(), [&work](const Work *other) { return other->request.priority < work.request.priority; });
    batch_.insert(behind, &work);
}

Duration EngineModel::assignChunks()
{
    std::uint64_t budget = settings_.chunkTokens;
    Duration time = Duration::zero();
    for (Work *work : batch_) {
        work->chunk = 0;
        if (work->phase != EngineRequestPhase::Prefilling || budget == 0) {
            continue;
        }
        work->chunk = std::min(budget, std::max<std::uint64_t>(1, work->request.promptTokens - work->prefilled));
        budget -= work->chunk;
        const std::uint64_t context = work->request.importedTokens + work->prefilled;
        const double factor = 1.0 + static_cast<double>(context) / static_cast<double>(settings_.doublingContext);
        time += std::chrono::duration_cast<Duration>(settings_.stepPerPrefillToken * (static_cast<double>(work->chunk) * factor));
    }
    return time;
}

void EngineModel::finishChunk(Work &work)
{
    work.prefilled += work.chunk;
    if (work.prefilled < work.request.promptTokens) {
        return;
    }
    cache_.store(*stepEnd_, work.request.prefixBlocks);
    work.phase = EngineRequestPhase::Decoding;
    events_.push_back({EngineEvent::Kind::FirstToken, work.request.id, *stepEnd_});
    decodeToken(work);
}

void EngineModel::decodeToken(Work &work)
{
    if (work.position < work.request.maxTokens) {
        ++work.position;
    }
    if (work.position >= work.request.maxTokens) {
        finish(work);
    }
}

void EngineModel::finish(Work &work)
{
    work.phase = EngineRequestPhase::Finished;
    freeTokens_ += std::exchange(work.heldTokens, 0);
    std::erase(batch_, &work);
    events_.push_back({EngineEvent::Kind::Finished, work.request.id, *stepEnd_});
}

void EngineModel::recordLoad(TimePoint now)
{
    std::uint64_t queued = 0;
    for (const Work *work : queue_) {
        queued += work->request.promptTokens;
    }
    for (const Work *work : batch_) {
        if (work->phase == EngineRequestPhase::Prefilling) {
            queued += work->request.promptTokens - std::min(work->prefilled, work->request.promptTokens);
        }
    }
    loads_.push_back({settings_.memoryTokens, freeTokens_, queued, batch_.size(), now});
    while (loads_.size() > 1 && loads_[1].measuredAt <= now - settings_.reportLag) {
        loads_.pop_front();
    }
}

std::uint64_t EngineModel::neededTokens(const EngineRequest &request) const
{
    return request.promptTokens + request.maxTokens - std::min(request.firstPosition, request.maxTokens);
}

}
