#pragma once

#include "dispatch/messages.h"
#include "routing/fleetstate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Lentillock
{

/// The part of a long prompt that is assigned to one endpoint.
struct GroupPart {
    EndpointId endpoint;
    std::string address;
    std::uint64_t promptTokens = 0;
    std::uint64_t reservedTokens = 0;
    std::uint64_t promptOffset = 0; ///< Bytes.
    std::uint64_t promptLength = 0; ///< Bytes.

    auto operator<=>(const GroupPart &) const = default;
};

/// The parts of a prompt, in order. The endpoint of the last part generates the answer.
struct GroupPlan {
    ZoneId zone;
    std::vector<GroupPart> parts;

    auto operator<=>(const GroupPlan &) const = default;
};

/// Splits a prompt that is too long for one engine across the smallest sufficient number of endpoints in one zone.
class GroupPlanner
{
public:
    using Candidate = FleetState::Candidate;

    explicit GroupPlanner(ZoneId ownZone);

    /// Returns the KV cache capacity of the endpoint in tokens, or 0 if it is unknown.
    [[nodiscard]] static std::uint64_t capacity(const Candidate &candidate);

    /// Returns the free tokens according to the last load report and this entry's own work in flight.
    [[nodiscard]] static std::uint64_t available(const Candidate &candidate);

    /// Returns nothing if no zone has enough free memory at present.
    [[nodiscard]] std::optional<GroupPlan> plan(const RequestSpec &spec, const std::vector<Candidate> &candidates) const;

private:
    ZoneId ownZone_;
};

}
