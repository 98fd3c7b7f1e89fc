#pragma once

#include "dispatch/messages.h"
#include "routing/fleetstate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Lentillock
{

/// One endpoint's part of a long prompt.
struct GroupPart {
    EndpointId endpoint;
    std::string address;
    std::uint64_t promptTokens = 0;
    std::uint64_t reservedTokens = 0;
    std::uint64_t promptOffset = 0; ///< Bytes.
    std::uint64_t promptLength = 0; ///< Bytes.

    auto operator<=>(const GroupPart &) const = default;
};

/// The parts of a prompt in order; the last endpoint generates the answer.
struct GroupPlan {
    ZoneId zone;
    std::vector<GroupPart> parts;

    auto operator<=>(const GroupPlan &) const = default;
};

/// Splits a prompt that is too long for one engine over the fewest endpoints of one zone that fit.
class GroupPlanner
{
public:
    using Candidate = FleetState::Candidate;

    explicit GroupPlanner(ZoneId ownZone);

    /// Tokens of KV cache that the endpoint can hold in all; 0 when that is not known.
    [[nodiscard]] static std::uint64_t capacity(const Candidate &candidate);

    /// Tokens that are free according to the last report and to this entry's own work.
    [[nodiscard]] static std::uint64_t available(const Candidate &candidate);

    /// Returns nothing when no zone has enough free memory now.
    [[nodiscard]] std::optional<GroupPlan> plan(const RequestSpec &spec, const std::vector<Candidate> &candidates) const;

private:
    ZoneId ownZone_;
};

}
