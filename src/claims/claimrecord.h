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

/// Whether an endpoint has run a request.
enum class ClaimRunState {
    WasNotRun,
    Ran,
    Unknown,
};

enum class ClaimRecordType {
    Claim,
    Release,
    Outcome,
    Mark, ///< No effect on keys; its log time gives a state machine a start time if all earlier records have expired.
};

/// A record of a claim stream.
struct ClaimRecord {
    ClaimRecordType type = ClaimRecordType::Claim;
    WorkspaceId workspace;
    IdempotencyKey key;
    AttemptId attempt;
    ClaimRunState outcome = ClaimRunState::Unknown; ///< For type Outcome only.

    auto operator<=>(const ClaimRecord &) const = default;
};

std::string encodeClaimRecord(const ClaimRecord &record);

/// Returns nothing if @p text is not a valid record. Unknown members are ignored, so that later versions can add some.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view text);

/// Returns the shard of a key, from 0 to @p shardCount - 1.
std::uint32_t claimShard(const WorkspaceId &workspace, const IdempotencyKey &key, std::uint32_t shardCount);

/// Returns the name of a shard's log stream, for example "claims-03".
std::string claimStream(std::uint32_t shard);

}
