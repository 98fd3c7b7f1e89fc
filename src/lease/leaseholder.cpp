#include "lease/leaseholder.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

/// A held lease is renewed when this part of it has passed, so that several renewals may fail.
constexpr int RenewalDivisor = 3;

}

LeaseHolder::LeaseHolder(Settings settings)
    : settings_(std::move(settings))
{
}

std::optional<LeaseRecord> LeaseHolder::nextAppend(TimePoint now, const LeaseTable &table)
{
    if (isGivenUp_ || now < nextAppendAt_ || !table.isCertain()) {
        return std::nullopt;
    }
    const Lease *current = table.find(settings_.resource);
    const bool isOwn = current != nullptr && current->holder == settings_.holder;
    if (isOwn && validUntil_ - now > settings_.duration - settings_.margin - settings_.duration / RenewalDivisor) {
        return std::nullopt;
    }
    if (!isOwn && othersLapse_ && now < *othersLapse_ + spread()) {
        return std::nullopt;
    }
    return newRecord(now, table, settings_.duration);
}

LeaseRecord LeaseHolder::newRecord(TimePoint now, const LeaseTable &table, milliseconds duration)
{
    nextAppendAt_ = now + settings_.retryDelay;
    std::erase_if(sent_, [&](const auto &entry) { return entry.second + settings_.duration < now; });
    LeaseRecord record;
    record.id = settings_.holder + '-' + std::to_string(++appends_);
    record.resource = settings_.resource;
    record.holder = settings_.holder;
    record.duration = duration;
    record.basis = table.nextOffset() == 0 ? 0 : table.nextOffset() - 1;
    sent_.emplace(record.id, now);
    return record;
}

void LeaseHolder::decided(TimePoint now, const LeaseDecision &decision)
{
    if (decision.record.resource != settings_.resource) {
        return;
    }
    const auto sent = sent_.find(decision.record.id);
    if (decision.isGranted && decision.record.holder != settings_.holder) {
        // Read after it was granted, so it lapses no later.
        othersLapse_ = now + decision.record.duration;
        validUntil_ = now;
        fencing_ = 0;
    } else if (decision.isGranted && sent != sent_.end()) {
        fencing_ = decision.offset;
        validUntil_ = std::max(validUntil_, sent->second + decision.record.duration - settings_.margin);
    }
    if (sent != sent_.end()) {
        sent_.erase(sent);
    }
}

std::optional<LeaseRecord> LeaseHolder::giveUp(TimePoint now, const LeaseTable &table)
{
    const bool wasValid = fencing(now).has_value();
    isGivenUp_ = true;
    fencing_ = 0;
    return wasValid ? std::optional(newRecord(now, table, 0ms)) : std::nullopt;
}

std::optional<std::uint64_t> LeaseHolder::fencing(TimePoint now) const
{
    return fencing_ != 0 && now < validUntil_ ? std::optional(fencing_) : std::nullopt;
}

milliseconds LeaseHolder::spread() const
{
    constexpr std::uint64_t steps = 1024;
    return settings_.retryDelay * (stableHash(settings_.resource, settings_.seed) % steps) / steps;
}

}
