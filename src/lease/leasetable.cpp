#include "lease/leasetable.h"

#include "base/findings.h"
#include "base/jsonreader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace Lentillock
{

std::string encodeLeaseRecord(const LeaseRecord &record)
{
    return boost::json::serialize(boost::json::object{
        {"id", record.id}, {"resource", record.resource}, {"holder", record.holder}, {"durationMs", record.duration.count()}, {"basis", record.basis}});
}

std::optional<LeaseRecord> decodeLeaseRecord(std::string_view data)
{
    Findings findings;
    const auto value = parseJson(data, "lease", findings);
    if (!value) {
        return std::nullopt;
    }
    JsonReader reader(*value, "lease", "", findings);
    LeaseRecord record;
    record.id = reader.requiredString("id");
    record.resource = reader.requiredString("resource");
    record.holder = reader.requiredString("holder");
    record.duration = milliseconds(reader.requiredInteger("durationMs", 0, LeaseTable::MaxDuration.count()));
    record.basis = static_cast<std::uint64_t>(reader.requiredInteger("basis", 0, std::numeric_limits<std::int64_t>::max()));
    return findings.hasErrors() ? std::nullopt : std::optional(std::move(record));
}

LeaseTable::LeaseTable(bool isComplete)
    : isComplete_(isComplete)
{
}

std::optional<LeaseDecision> LeaseTable::apply(const LogRecord &record)
{
    if (record.offset < nextOffset_) {
        return std::nullopt;
    }
    nextOffset_ = record.offset + 1;
    firstTime_ = firstTime_.value_or(record.time);
    lastTime_ = record.time;
    std::optional<LeaseRecord> request = decodeLeaseRecord(record.data);
    if (!request) {
        return std::nullopt;
    }
    LeaseDecision decision{std::move(*request), record.offset, true};
    const LeaseRecord &wanted = decision.record;
    if (const Lease *current = find(wanted.resource)) {
        const bool hasLapsed = record.time >= current->grantedAt + current->duration;
        decision.isGranted = wanted.basis >= current->fencing && (current->holder == wanted.holder || hasLapsed);
    }
    if (decision.isGranted) {
        leases_.insert_or_assign(wanted.resource, Lease{wanted.holder, record.offset, record.time, wanted.duration});
    }
    return decision;
}

const Lease *LeaseTable::find(const std::string &resource) const
{
    const auto found = leases_.find(resource);
    return found == leases_.end() ? nullptr : &found->second;
}

std::uint64_t LeaseTable::nextOffset() const
{
    return nextOffset_;
}

bool LeaseTable::isCertain() const
{
    return isComplete_ || (firstTime_ && lastTime_ >= *firstTime_ + UncertainTime);
}

}
