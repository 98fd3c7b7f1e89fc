#include "dispatch/groupplanner.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Lentillock
{

namespace
{

struct EndpointShare {
    const Endpoint *endpoint = nullptr;
    std::uint64_t available = 0;
    std::uint64_t promptTokens = 0;
};

// Prompt lengths are estimates, so each reservation is increased by this fraction of its tokens if the endpoint has enough free memory.
constexpr std::uint64_t ReservationMarginDivisor = 16;

/// Returns the smallest set of endpoints that can hold @p tokens, largest first, or an empty set if all of them together cannot.
std::vector<EndpointShare> smallestFittingSet(std::vector<EndpointShare> shares, std::uint64_t tokens)
{
    std::sort(shares.begin(), shares.end(), [](const EndpointShare &left, const EndpointShare &right) {
        return left.available != right.available ? left.available > right.available : left.endpoint->id < right.endpoint->id;
    });
    std::uint64_t sum = 0;
    for (std::size_t count = 0; count < shares.size(); ++count) {
        sum += shares[count].available;
        if (sum >= tokens) {
            shares.resize(count + 1);
            return shares;
        }
    }
    return {};
}

/// Divides the prompt in proportion to the available memory. The first share must also hold the answer.
void dividePrompt(std::vector<EndpointShare> &shares, std::uint64_t promptTokens, std::uint64_t maxTokens)
{
    std::uint64_t sum = 0;
    for (const EndpointShare &share : shares) {
        sum += share.available;
    }
    EndpointShare &decoder = shares.front();
    const std::uint64_t proportional = decoder.available * (promptTokens + maxTokens) / sum;
    const std::uint64_t otherCapacity = sum - decoder.available;
    const std::uint64_t minimum = std::max<std::uint64_t>(1, promptTokens - std::min(promptTokens, otherCapacity));
    decoder.promptTokens = std::max(minimum, proportional - std::min(proportional, maxTokens));

    std::uint64_t remaining = promptTokens - decoder.promptTokens;
    std::uint64_t remainingCapacity = otherCapacity;
    for (std::size_t i = 1; i < shares.size(); ++i) {
        EndpointShare &share = shares[i];
        share.promptTokens = remainingCapacity == 0 ? 0 : std::min(share.available, (remaining * share.available + remainingCapacity - 1) / remainingCapacity);
        remaining -= std::min(remaining, share.promptTokens);
        remainingCapacity -= share.available;
    }
}

/// Returns the first offset at or after @p offset at which a UTF-8 character starts.
std::uint64_t characterStart(const std::string &text, std::uint64_t offset)
{
    constexpr unsigned char continuationMask = 0xC0;
    constexpr unsigned char continuationBits = 0x80;
    while (offset < text.size() && (static_cast<unsigned char>(text[offset]) & continuationMask) == continuationBits) {
        ++offset;
    }
    return offset;
}

/// Assigns each part a byte range of the prompt, in proportion to its tokens.
void assignPromptRanges(std::vector<GroupPart> &parts, const std::string &prompt, std::uint64_t promptTokens)
{
    std::uint64_t tokens = 0;
    std::uint64_t begin = 0;
    for (GroupPart &part : parts) {
        tokens += part.promptTokens;
        const std::uint64_t end = &part == &parts.back() ? prompt.size() : characterStart(prompt, prompt.size() * tokens / promptTokens);
        part.promptOffset = begin;
        part.promptLength = end - begin;
        begin = end;
    }
}

GroupPart makePart(const EndpointShare &share, std::uint64_t answerTokens)
{
    GroupPart part;
    part.endpoint = share.endpoint->id;
    part.address = share.endpoint->address;
    part.promptTokens = share.promptTokens;
    const std::uint64_t needed = share.promptTokens + answerTokens;
    part.reservedTokens = std::min(share.available, needed + needed / ReservationMarginDivisor);
    return part;
}

GroupPlan makePlan(const ZoneId &zone, std::vector<EndpointShare> shares, const RequestSpec &spec)
{
    dividePrompt(shares, spec.promptTokens, spec.maxTokens);
    GroupPlan plan;
    plan.zone = zone;
    for (std::size_t i = 1; i < shares.size(); ++i) {
        if (shares[i].promptTokens > 0) {
            plan.parts.push_back(makePart(shares[i], 0));
        }
    }
    plan.parts.push_back(makePart(shares.front(), spec.maxTokens));
    assignPromptRanges(plan.parts, *spec.prompt, spec.promptTokens);
    return plan;
}

}

GroupPlanner::GroupPlanner(ZoneId ownZone)
    : ownZone_(std::move(ownZone))
{
}

std::uint64_t GroupPlanner::capacity(const Candidate &candidate)
{
    if (candidate.state != nullptr && candidate.state->load.has_value() && candidate.state->load->totalTokens > 0) {
        return candidate.state->load->totalTokens;
    }
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, candidate.endpoint->memoryTokens));
}

std::uint64_t GroupPlanner::available(const Candidate &candidate)
{
    const std::uint64_t total = capacity(candidate);
    const std::uint64_t unreserved = total - std::min(total, candidate.inFlight.heldTokens);
    const bool reported = candidate.state != nullptr && candidate.state->load.has_value();
    return reported ? std::min(unreserved, candidate.state->load->freeTokens) : unreserved;
}

std::optional<GroupPlan> GroupPlanner::plan(const RequestSpec &spec, const std::vector<Candidate> &candidates) const
{
    std::map<ZoneId, std::vector<EndpointShare>> zones;
    for (const Candidate &candidate : candidates) {
        if (const std::uint64_t free = available(candidate); free > 0) {
            zones[candidate.endpoint->zone].push_back({candidate.endpoint, free, 0});
        }
    }
    const ZoneId *bestZone = nullptr;
    std::vector<EndpointShare> best;
    for (const auto &[zone, shares] : zones) {
        std::vector<EndpointShare> found = smallestFittingSet(shares, spec.promptTokens + spec.maxTokens);
        if (found.empty() || found.front().available <= spec.maxTokens) {
            continue;
        }
        if (best.empty() || found.size() < best.size() || (found.size() == best.size() && zone == ownZone_)) {
            best = std::move(found);
            bestZone = &zone;
        }
    }
    if (bestZone == nullptr || spec.prompt == nullptr || spec.promptTokens == 0) {
        return std::nullopt;
    }
    return makePlan(*bestZone, std::move(best), spec);
}

}
