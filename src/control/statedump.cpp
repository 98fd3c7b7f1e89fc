#include "control/statedump.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <array>

namespace Lentillock
{

namespace
{

std::int64_t ageInMilliseconds(TimePoint then)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - then).count();
}

boost::json::object selfState(const FleetSnapshot &fleet)
{
    return {{"vm", fleet.self.id.value()},
            {"zone", fleet.self.zone.value()},
            {"incarnation", fleet.self.incarnation},
            {"ready", fleet.self.ready},
            {"leaving", fleet.self.status == MemberStatus::Leaving},
            {"entryAddress", fleet.self.entryAddress},
            {"entryIncarnation", fleet.self.entryIncarnation},
            {"refutations", fleet.refutations}};
}

boost::json::object configState(const ConfigState &config)
{
    boost::json::object sections;
    for (const ConfigSectionState &section : config.sections) {
        sections[section.name] = section.version;
    }
    return {{"version", config.version},
            {"inForceForMs", config.version == 0 ? 0 : ageInMilliseconds(config.inForceSince)},
            {"throughOffset", config.throughOffset},
            {"rulesVersion", config.rulesVersion},
            {"ready", config.ready},
            {"stopped", config.stopped},
            {"sections", std::move(sections)}};
}

boost::json::array memberStates(const FleetSnapshot &fleet)
{
    constexpr std::array<const char *, 4> names{"alive", "suspect", "leaving", "dead"};
    boost::json::array members;
    for (const Member &member : fleet.members) {
        members.push_back({{"id", member.id.value()},
                           {"zone", member.zone.value()},
                           {"status", names.at(static_cast<std::size_t>(member.status))},
                           {"incarnation", member.incarnation},
                           {"gossip", member.gossipAddress},
                           {"grpc", member.controlAddress},
                           {"entryAddress", member.entryAddress},
                           {"entryIncarnation", member.entryIncarnation},
                           {"configVersion", member.configVersion},
                           {"rulesVersion", member.rulesVersion},
                           {"ready", member.ready}});
    }
    return members;
}

boost::json::array endpointStates(const FleetSnapshot &fleet)
{
    constexpr std::array<const char *, 4> names{"live", "suspect", "leaving", "dead"};
    boost::json::array endpoints;
    for (const EndpointState &endpoint : fleet.endpoints) {
        boost::json::object state{{"id", endpoint.id.value()},
                                  {"health", names.at(static_cast<std::size_t>(endpoint.health))},
                                  {"observedAgeMs", ageInMilliseconds(endpoint.observedAt)}};
        if (endpoint.load) {
            state["generation"] = endpoint.load->generation;
            state["draining"] = endpoint.load->draining;
            state["freeTokens"] = endpoint.load->freeTokens;
            state["queuedTokens"] = endpoint.load->queuedTokens;
            state["running"] = endpoint.load->running;
        }
        endpoints.push_back(std::move(state));
    }
    return endpoints;
}

boost::json::array claimStates(const std::map<std::uint32_t, ClaimShardStats> &claims)
{
    boost::json::array shards;
    for (const auto &[shard, stats] : claims) {
        shards.push_back({{"shard", shard}, {"offset", stats.offset}, {"keys", stats.keys}, {"appends", stats.appends}});
    }
    return shards;
}

}

std::string stateDump(const FleetSnapshot &fleet, const ConfigState &config, const std::map<std::uint32_t, ClaimShardStats> &claims, const std::string &part)
{
    const boost::json::object state{{"self", selfState(fleet)},
                                    {"config", configState(config)},
                                    {"members", memberStates(fleet)},
                                    {"endpoints", endpointStates(fleet)},
                                    {"claims", claimStates(claims)},
                                    {"reclaimer", {{"engines", fleet.monitoredEngines}, {"released", fleet.releasedAllocations}}}};
    if (part.empty()) {
        return boost::json::serialize(state);
    }
    const boost::json::value *selected = state.if_contains(part);
    return selected == nullptr ? "null" : boost::json::serialize(*selected);
}

}
