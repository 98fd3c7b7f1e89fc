#pragma once

#include "base/identifier.h"
#include "claims/idempotencykey.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Whether a request has been run by an endpoint.
enum class ClaimRunState {
    WasNotRun,
    Ran,
    Unknown,
};

enum class ClaimRecordType {
    Claim,
    Release,
    Outcome,
    Mark, ///< Changes nothing; dates the start of a fold on a stream whose records have all expired.
};

/// One record of a claim stream.
struct ClaimRecord {
    ClaimRecordType type = ClaimRecordType::Claim;
    WorkspaceId workspace;
    IdempotencyKey key;
    AttemptId attempt;
    ClaimRunState outcome = ClaimRunState::Unknown; ///< For outcomes only.

    auto operator<=>(const ClaimRecord &) const = default;
};

std::string encodeClaimRecord(const ClaimRecord &record);

/// Nothing if @p text is not a valid record. Unknown members are ignored, so that later versions can add some.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view text);

/// The shard that holds a key, below @p shardCount.
std::uint32_t claimShard(const WorkspaceId &workspace, const IdempotencyKey &key, std::uint32_t shardCount);

/// Name of the log stream of a shard, for example "claims-03".
std::string claimStream(std::uint32_t shard);

}
