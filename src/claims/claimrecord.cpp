#include "claims/claimrecord.h"

#include "base/hash.h"
#include "base/jsonreader.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>

namespace Lentillock
{

namespace
{

constexpr std::array<std::string_view, 4> TypeNames{"claim", "release", "outcome", "mark"};
constexpr std::array<std::string_view, 3> OutcomeNames{"was-not-run", "ran", "unknown"};

template<typename Enum, std::size_t Count>
std::optional<Enum> fromName(const std::array<std::string_view, Count> &names, std::string_view name)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<Enum>(found - names.begin());
}

}

std::string encodeClaimRecord(const ClaimRecord &record)
{
    boost::json::object object{{"type", TypeNames.at(static_cast<std::size_t>(record.type))}};
    if (record.type != ClaimRecordType::Mark) {
        object["workspace"] = record.workspace.value();
        object["key"] = record.key.toText();
        object["attempt"] = record.attempt.value();
    }
    if (record.type == ClaimRecordType::Outcome) {
        object["state"] = OutcomeNames.at(static_cast<std::size_t>(record.outcome));
    }
    return boost::json::serialize(object);
}

std::optional<ClaimRecord> decodeClaimRecord(std::string_view text)
{
    Findings findings;
    const auto value = parseJson(text, "record", findings);
    if (!value) {
        return std::nullopt;
    }
    JsonReader reader(*value, "record", "", findings);
    const auto type = fromName<ClaimRecordType>(TypeNames, reader.requiredString("type"));
    if (!type || *type == ClaimRecordType::Mark) {
        return type ? std::optional(ClaimRecord{ClaimRecordType::Mark, {}, {}, {}, {}}) : std::nullopt;
    }
    const WorkspaceId workspace(reader.requiredString("workspace"));
    const auto key = IdempotencyKey::parse(reader.requiredString("key"));
    const AttemptId attempt(reader.requiredString("attempt"));
    const auto outcome = fromName<ClaimRunState>(OutcomeNames, reader.string("state", "unknown"));
    if (findings.hasErrors() || !key || !outcome || attempt.isEmpty()) {
        return std::nullopt;
    }
    return ClaimRecord{*type, workspace, *key, attempt, *outcome};
}

std::uint32_t claimShard(const WorkspaceId &workspace, const IdempotencyKey &key, std::uint32_t shardCount)
{
    return static_cast<std::uint32_t>(stableHash(key.toText(), stableHash(workspace.value())) % shardCount);
}

std::string claimStream(std::uint32_t shard)
{
    return (shard < 10 ? "claims-0" : "claims-") + std::to_string(shard);
}

}
