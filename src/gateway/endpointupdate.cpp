#include "gateway/endpointupdate.h"

#include "base/jsonreader.h"
#include "gateway/datagramchecksum.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace Lentillock
{

namespace
{

constexpr std::string_view UpdateMagic = "LTE4";

/// Limits an update to one datagram that is not fragmented.
constexpr std::size_t MaxChangesBytes = 1200;

constexpr std::int64_t MaxUnsigned = std::numeric_limits<std::uint32_t>::max();

/// Changes are sent again for this time. It is longer than the interval at which a VM reads the store.
constexpr Duration RecentTime = 3s;

boost::json::object encodeChange(const EndpointChange &change)
{
    boost::json::object json{{"id", change.id.value()}};
    if (change.record) {
        const EndpointRecord &record = *change.record;
        json["service"] = record.service;
        json["address"] = record.address;
        json["zone"] = record.zone.value();
        json["slots"] = record.slots;
        json["draining"] = record.isDraining;
        json["startedAtMs"] = record.startedAtMs;
    }
    return json;
}

EndpointChange decodeChange(JsonReader &reader)
{
    EndpointChange change{.id = EndpointId(reader.requiredString("id")), .record = std::nullopt};
    if (reader.member("service") != nullptr) {
        EndpointRecord record{.id = change.id};
        record.service = reader.requiredString("service");
        record.address = reader.requiredString("address");
        record.zone = ZoneId(reader.requiredString("zone"));
        record.slots = static_cast<int>(reader.requiredInteger("slots", 1, std::numeric_limits<std::int32_t>::max()));
        record.isDraining = reader.boolean("draining", false);
        record.startedAtMs = reader.requiredInteger("startedAtMs", 0, std::numeric_limits<std::int64_t>::max());
        change.record = record;
    }
    return change;
}

std::string encodePart(const EndpointUpdate &update, boost::json::array changes)
{
    std::string bytes(UpdateMagic);
    boost::json::object json{{"era", update.position.era}, {"offset", update.position.offset}, {"digest", update.digest}, {"changes", std::move(changes)}};
    if (!update.leaving.empty()) {
        boost::json::array leaving;
        for (const EndpointRecord &record : update.leaving) {
            leaving.push_back(encodeChange({.id = record.id, .record = record}));
        }
        json["leaving"] = std::move(leaving);
    }
    bytes += boost::json::serialize(json);
    appendChecksum(bytes);
    return bytes;
}

}

std::vector<std::string> encodeEndpointUpdate(const EndpointUpdate &update)
{
    std::vector<std::string> datagrams;
    boost::json::array part;
    std::size_t partBytes = 0;
    for (const EndpointChange &change : update.changes) {
        boost::json::object json = encodeChange(change);
        const std::size_t bytes = boost::json::serialize(json).size() + 1;
        if (!part.empty() && partBytes + bytes > MaxChangesBytes) {
            datagrams.push_back(encodePart(update, std::exchange(part, {})));
            partBytes = 0;
        }
        part.push_back(std::move(json));
        partBytes += bytes;
    }
    datagrams.push_back(encodePart(update, std::move(part)));
    return datagrams;
}

std::optional<EndpointUpdate> decodeEndpointUpdate(std::string_view bytes)
{
    const auto message = bytes.starts_with(UpdateMagic) ? verifyChecksum(bytes) : std::nullopt;
    if (!message) {
        return std::nullopt;
    }
    Findings findings;
    const std::string source = "endpoint update";
    const auto json = parseJson(message->substr(UpdateMagic.size()), source, findings);
    if (!json) {
        return std::nullopt;
    }
    JsonReader reader(*json, source, "", findings);
    // VMs of an earlier version state no era.
    EndpointUpdate update{.position = {.era = static_cast<std::uint32_t>(reader.integer("era", 0, 0, MaxUnsigned)),
                                       .offset = static_cast<std::uint32_t>(reader.requiredInteger("offset", 0, MaxUnsigned))},
                          .digest = static_cast<std::uint32_t>(reader.requiredInteger("digest", 0, MaxUnsigned))};
    const boost::json::value *changes = reader.member("changes");
    if (changes == nullptr || !changes->is_array()) {
        return std::nullopt;
    }
    for (const boost::json::value &change : changes->get_array()) {
        JsonReader changeReader(change, source, "/changes", findings);
        update.changes.push_back(decodeChange(changeReader));
    }
    if (const boost::json::value *leaving = reader.member("leaving"); leaving != nullptr && leaving->is_array()) {
        for (const boost::json::value &entry : leaving->get_array()) {
            JsonReader entryReader(entry, source, "/leaving", findings);
            if (const EndpointChange change = decodeChange(entryReader); change.record) {
                update.leaving.push_back(*change.record);
            }
        }
    }
    return findings.hasErrors() ? std::nullopt : std::optional(update);
}

bool RecentEndpointChanges::apply(EndpointDirectory &directory, const std::vector<EndpointChange> &changes, TimePoint now)
{
    bool hadEffect = false;
    for (const EndpointChange &change : changes) {
        const std::uint64_t revisionBefore = directory.revision();
        directory.apply({change}, now);
        if (directory.revision() != revisionBefore) {
            std::erase_if(entries_, [&change](const Entry &entry) { return entry.change.id == change.id; });
            entries_.push_back({now, change});
            hadEffect = true;
        }
    }
    return hadEffect;
}

std::vector<EndpointChange> RecentEndpointChanges::list(TimePoint now)
{
    while (!entries_.empty() && now - entries_.front().at > RecentTime) {
        entries_.pop_front();
    }
    std::vector<EndpointChange> changes;
    std::transform(entries_.begin(), entries_.end(), std::back_inserter(changes), [](const Entry &entry) { return entry.change; });
    return changes;
}

}
