#include "gateway/endpointdirectory.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace Lentillock
{

namespace
{

/// Live endpoints register again within about two seconds after the platform becomes available.
constexpr Duration RemovalGracePeriod = 2200ms;

/// Maximum number of removed endpoints that are remembered, because a record written before the removal may still arrive.
constexpr std::size_t MaxRemovedRecords = 10000;

}

bool EndpointRecord::isSameIncarnation(const EndpointRecord &other) const
{
    return id == other.id && address == other.address && startedAtMs == other.startedAtMs;
}

void EndpointDirectory::apply(const std::vector<EndpointChange> &changes, TimePoint now)
{
    for (const EndpointChange &change : changes) {
        if (change.record) {
            update(*change.record);
        } else {
            remove(change.id, now);
        }
    }
}

void EndpointDirectory::replace(const std::vector<EndpointRecord> &records, TimePoint now)
{
    std::set<EndpointId> listed;
    for (const EndpointRecord &record : records) {
        update(record);
        listed.insert(record.id);
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, record] : records_) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const EndpointId &id : missing) {
        remove(id, now);
    }
}

void EndpointDirectory::deferRemovals(TimePoint availableSince)
{
    removalsDeferredUntil_ = std::max(removalsDeferredUntil_, availableSince + RemovalGracePeriod);
    for (auto &[id, due] : pendingRemovals_) {
        due = std::max(due, removalsDeferredUntil_);
    }
}

bool EndpointDirectory::hasDueRemovals(TimePoint now) const
{
    return std::any_of(pendingRemovals_.begin(), pendingRemovals_.end(), [now](const auto &entry) { return now >= entry.second; });
}

bool EndpointDirectory::applyDueRemovals(TimePoint readAt)
{
    const std::uint64_t revisionBefore = revision_;
    std::erase_if(pendingRemovals_, [this, readAt](const auto &entry) {
        if (readAt < entry.second) {
            return false;
        }
        restartedOrRemoved_.push_back(entry.first);
        revision_ += records_.erase(entry.first);
        return true;
    });
    return revision_ != revisionBefore;
}

void EndpointDirectory::update(const EndpointRecord &record)
{
    if (isStale(record)) {
        ++staleRecordCount_;
        return;
    }
    pendingRemovals_.erase(record.id);
    EndpointRecord &known = records_[record.id];
    if (known != record) {
        if (!known.isSameIncarnation(record)) {
            restartedOrRemoved_.push_back(record.id);
        }
        known = record;
        ++revision_;
    }
}

bool EndpointDirectory::isStale(const EndpointRecord &record) const
{
    const auto isOutdatedBy = [&record](const std::map<EndpointId, EndpointRecord> &records) {
        const auto found = records.find(record.id);
        if (found == records.end()) {
            return false;
        }
        const EndpointRecord &known = found->second;
        const bool isReadyAfterDraining = known.isDraining && !record.isDraining && record.isSameIncarnation(known);
        return isReadyAfterDraining || (record.startedAtMs != 0 && record.startedAtMs < known.startedAtMs);
    };
    return isOutdatedBy(records_) || isOutdatedBy(removedWhileDraining_);
}

void EndpointDirectory::remove(const EndpointId &id, TimePoint now)
{
    const auto known = records_.find(id);
    if (known != records_.end() && known->second.isDraining) {
        removedWhileDraining_.insert_or_assign(id, known->second);
        if (removedWhileDraining_.size() > MaxRemovedRecords) {
            removedWhileDraining_.erase(removedWhileDraining_.begin());
        }
    }
    if (now < removalsDeferredUntil_) {
        pendingRemovals_.emplace(id, removalsDeferredUntil_);
        return;
    }
    pendingRemovals_.erase(id);
    restartedOrRemoved_.push_back(id);
    revision_ += records_.erase(id);
}

std::vector<EndpointId> EndpointDirectory::takeRestartedOrRemoved()
{
    return std::exchange(restartedOrRemoved_, {});
}

bool EndpointDirectory::markLeaving(const EndpointRecord &record)
{
    const auto known = saidLeaving_.find(record.id);
    if (hasSaidLeaving(record) || (known != saidLeaving_.end() && record.startedAtMs < known->second.startedAtMs)) {
        return false;
    }
    saidLeaving_.insert_or_assign(record.id, record);
    if (saidLeaving_.size() > MaxRemovedRecords) {
        saidLeaving_.erase(saidLeaving_.begin()->first == record.id ? std::next(saidLeaving_.begin()) : saidLeaving_.begin());
    }
    return true;
}

bool EndpointDirectory::hasSaidLeaving(const EndpointRecord &record) const
{
    const auto found = saidLeaving_.find(record.id);
    return found != saidLeaving_.end() && found->second.isSameIncarnation(record);
}

const EndpointRecord *EndpointDirectory::find(const EndpointId &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

std::vector<const EndpointRecord *> EndpointDirectory::usable(const std::string &service) const
{
    std::vector<const EndpointRecord *> result;
    for (const auto &[id, record] : records_) {
        if (record.service == service && !record.isDraining && !hasSaidLeaving(record)) {
            result.push_back(&record);
        }
    }
    return result;
}

const std::map<EndpointId, EndpointRecord> &EndpointDirectory::all() const
{
    return records_;
}

std::uint32_t EndpointDirectory::digest() const
{
    if (digestRevision_ == revision_) {
        return digest_;
    }
    std::uint64_t digest = 0;
    for (const auto &[id, record] : records_) {
        const std::uint64_t seed = static_cast<std::uint64_t>(record.startedAtMs) * 2 + (record.isDraining ? 1 : 0);
        digest += stableHash(id.value() + ' ' + record.service + ' ' + record.address, seed);
    }
    digest_ = static_cast<std::uint32_t>(digest ^ (digest >> 32));
    digestRevision_ = revision_;
    return digest_;
}

std::uint64_t EndpointDirectory::staleRecordCount() const
{
    return staleRecordCount_;
}

std::uint64_t EndpointDirectory::revision() const
{
    return revision_;
}

}
