#include "config/configrecord.h"

#include "base/hash.h"
#include "base/jsonreader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace Lentillock
{

namespace
{

constexpr const char *RecordSource = "record";
constexpr std::int64_t MaxInteger = std::numeric_limits<std::int64_t>::max();

std::uint64_t readUnsigned(JsonReader &reader, std::string_view name)
{
    return static_cast<std::uint64_t>(reader.requiredInteger(name, 0, MaxInteger));
}

PublishRecord readPublish(JsonReader &reader, std::uint32_t rulesVersion)
{
    PublishRecord record;
    record.rulesVersion = rulesVersion;
    record.id = reader.requiredString("id");
    if (record.id.empty()) {
        reader.addError("id", "must not be empty");
    }
    record.section = reader.requiredString("section");
    record.base = readUnsigned(reader, "base");
    record.author = reader.string("author", {});
    record.text = reader.requiredString("text");
    return record;
}

/// Calls @p readElement with a reader for each element of array @p name.
template<typename Function>
void readElements(JsonReader &reader, std::string_view name, Function readElement)
{
    const boost::json::value *value = reader.member(name);
    if (value == nullptr || !value->is_array()) {
        reader.addError(name, "must be an array");
        return;
    }
    std::size_t index = 0;
    for (const boost::json::value &element : value->get_array()) {
        JsonReader elementReader(element, reader.source(), reader.pointerTo(name) + '/' + std::to_string(index), reader.findings());
        readElement(elementReader);
        elementReader.finish();
        ++index;
    }
}

SnapshotRecord readSnapshot(JsonReader &reader, std::uint32_t rulesVersion)
{
    SnapshotRecord record;
    ConfigSnapshot &snapshot = record.snapshot;
    snapshot.rulesVersion = rulesVersion;
    snapshot.throughOffset = readUnsigned(reader, "throughOffset");
    record.digest = reader.requiredString("digest");
    readElements(reader, "sections", [&](JsonReader &section) {
        std::string name = section.requiredString("name");
        SectionState state;
        state.version = readUnsigned(section, "version");
        state.text = section.requiredString("text");
        snapshot.sections.insert_or_assign(std::move(name), std::move(state));
    });
    readElements(reader, "decidedIds", [&](JsonReader &decided) {
        std::string id = decided.requiredString("id");
        snapshot.decidedIds.insert_or_assign(std::move(id), WallTime(milliseconds(decided.requiredInteger("timeMs", 0, MaxInteger))));
    });
    return record;
}

}

std::string ConfigSnapshot::digest() const
{
    // Length prefixes make the encoding unambiguous: different states have different inputs.
    std::string input = std::to_string(rulesVersion) + ' ' + std::to_string(throughOffset) + '\n';
    for (const auto &[name, state] : sections) {
        input += std::to_string(name.size()) + ' ' + name + ' ' + std::to_string(state.version) + ' ' + sha256Hex(state.text) + '\n';
    }
    for (const auto &[id, time] : decidedIds) {
        input += std::to_string(id.size()) + ' ' + id + ' ' + std::to_string(time.time_since_epoch().count()) + '\n';
    }
    return sha256Hex(input);
}

std::string encodeRecord(const PublishRecord &record)
{
    return boost::json::serialize(boost::json::object{
        {"type", "publish"},
        {"rulesVersion", record.rulesVersion},
        {"id", record.id},
        {"section", record.section},
        {"base", record.base},
        {"author", record.author},
        {"text", record.text},
    });
}

std::string encodeRecord(const ConfigSnapshot &snapshot)
{
    boost::json::array sections;
    for (const auto &[name, state] : snapshot.sections) {
        sections.push_back(boost::json::object{{"name", name}, {"version", state.version}, {"text", state.text}});
    }
    boost::json::array decidedIds;
    for (const auto &[id, time] : snapshot.decidedIds) {
        decidedIds.push_back(boost::json::object{{"id", id}, {"timeMs", time.time_since_epoch().count()}});
    }
    return boost::json::serialize(boost::json::object{
        {"type", "snapshot"},
        {"rulesVersion", snapshot.rulesVersion},
        {"throughOffset", snapshot.throughOffset},
        {"sections", std::move(sections)},
        {"decidedIds", std::move(decidedIds)},
        {"digest", snapshot.digest()},
    });
}

ConfigRecord decodeRecord(std::string_view data, const std::function<bool(std::uint64_t rulesVersion)> &isKnownRulesVersion)
{
    Findings findings;
    const std::optional<boost::json::value> value = parseJson(data, RecordSource, findings);
    if (!value) {
        return MalformedRecord{std::move(findings)};
    }
    JsonReader reader(*value, RecordSource, "", findings);
    const std::int64_t rulesVersion = reader.requiredInteger("rulesVersion", 1, std::numeric_limits<std::uint32_t>::max());
    if (findings.hasErrors()) {
        return MalformedRecord{std::move(findings)};
    }
    if (!isKnownRulesVersion(static_cast<std::uint64_t>(rulesVersion))) {
        return UnknownRulesVersion{static_cast<std::uint64_t>(rulesVersion)};
    }
    const std::string type = reader.requiredString("type");
    ConfigRecord record;
    if (type == "publish") {
        record = readPublish(reader, static_cast<std::uint32_t>(rulesVersion));
    } else if (type == "snapshot") {
        record = readSnapshot(reader, static_cast<std::uint32_t>(rulesVersion));
    } else {
        reader.addError("type", "must be \"publish\" or \"snapshot\"");
    }
    reader.finish();
    if (findings.hasErrors()) {
        return MalformedRecord{std::move(findings)};
    }
    return record;
}

}
