#include "bench/capacity/fleetcost.h"

#include "base/hash.h"
#include "bench/capacity/resourceusage.h"
#include "membership/endpointsubset.h"
#include "membership/endpointtracker.h"
#include "routing/fleetstate.h"

#include "lentillock.pb.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace Lentillock
{

namespace rpc = ::lentillock::rpc;

namespace
{

constexpr int Repetitions = 10;

ServingDocumentPtr makeDocument(const SampleSize &size, std::uint64_t seed)
{
    Findings findings;
    ServingDocumentPtr document = DocumentValidator::validate(sectionTexts(size, seed), findings);
    if (document == nullptr) {
        std::fputs(findings.toText().c_str(), stderr);
        std::exit(3);
    }
    return document;
}

void addMembers(rpc::ViewUpdate &update, std::size_t vms)
{
    for (std::size_t i = 0; i < vms; ++i) {
        rpc::Member &member = *update.add_members();
        member.set_id("vm-" + std::to_string(i));
        member.set_zone("zone-" + std::to_string(i % 16));
        member.set_control_address("10.9." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7000");
        member.set_config_version(1000000);
        member.set_ready(true);
    }
}

/// Builds the message that ViewWatch sends to a receiver whose configuration is up to date.
rpc::ViewUpdate makeUpdate(const std::vector<EndpointState> &states, std::size_t vms)
{
    rpc::ViewUpdate update;
    update.set_config_version(1000000);
    for (const EndpointState &state : states) {
        rpc::EndpointState &endpoint = *update.add_endpoints();
        endpoint.set_id(state.id.value());
        endpoint.set_observed_age_ms(250);
        rpc::LoadReport &load = *endpoint.mutable_load();
        load.set_generation(state.load->generation);
        load.add_models(state.load->models.front().value());
        load.set_total_tokens(state.load->totalTokens);
        load.set_free_tokens(state.load->freeTokens);
        load.set_queued_tokens(state.load->queuedTokens);
        load.set_running(state.load->running);
        load.set_age_ms(250);
    }
    addMembers(update, vms);
    return update;
}

void measureUpdate(const std::vector<EndpointState> &states, std::size_t vms)
{
    std::string bytes;
    const double encode = meanCpuMilliseconds(Repetitions, [&] { bytes = makeUpdate(states, vms).SerializeAsString(); });
    rpc::ViewUpdate parsed;
    const double decode = meanCpuMilliseconds(Repetitions, [&] { parsed.ParseFromString(bytes); });
    std::printf("update endpoints=%zu members=%zu bytes=%zu encode_cpu_ms=%.3f decode_cpu_ms=%.3f\n", states.size(), vms, bytes.size(), encode, decode);
}

void measureView(const ServingDocumentPtr &document, const std::vector<EndpointState> &states)
{
    const double before = residentMegabytes();
    auto view = std::make_shared<ServingView>();
    view->document = document;
    for (const EndpointState &state : states) {
        view->endpoints[state.id] = state;
    }
    FleetState fleet;
    const double set = meanCpuMilliseconds(Repetitions, [&] { fleet.setView(view); });
    std::size_t candidates = 0;
    const double choose = meanCpuMilliseconds(100 * Repetitions, [&] { candidates = fleet.candidatesForModel(document->models.front().id).size(); });
    std::printf("view endpoints=%zu set_view_cpu_ms=%.3f candidates=%zu candidates_cpu_us=%.2f view_and_fleet_state_mb=%.1f\n",
                states.size(),
                set,
                candidates,
                choose * 1e3,
                residentMegabytes() - before);
}

/// Measures the work of MemoryReclaimer::setFleet(), which runs on each change of the configuration or of the members.
void measureReclaimAssignment(const std::vector<Endpoint> &endpoints, std::size_t vms)
{
    constexpr std::size_t reclaimersPerEndpoint = 3;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < vms; ++i) {
        names.push_back("vm-" + std::to_string(i));
    }
    std::size_t responsibleFor = 0;
    const double time = meanCpuMilliseconds(1, [&] {
        for (const Endpoint &endpoint : endpoints) {
            responsibleFor += static_cast<std::size_t>(std::ranges::count(rendezvousOrder(endpoint.id.value(), names, reclaimersPerEndpoint), names.front()));
        }
    });
    std::printf("reclaim endpoints=%zu vms=%zu responsible_for=%zu choose_cpu_ms=%.2f\n", endpoints.size(), vms, responsibleFor, time);
}

std::vector<EndpointState> measureTracker(const std::vector<Endpoint> &endpoints)
{
    const double before = residentMegabytes();
    EndpointTracker tracker;
    TimePoint now;
    tracker.setEndpoints(now, endpoints);
    const double poll = meanCpuMilliseconds(Repetitions, [&] {
        now += 500ms;
        for (const Endpoint &endpoint : endpoints) {
            tracker.pollSucceeded(now, endpoint.id, sampleLoad(endpoint.model, now));
        }
    });
    const double memoryMegabytes = residentMegabytes() - before;
    std::vector<EndpointState> states;
    const double copy = meanCpuMilliseconds(Repetitions, [&] { states = tracker.states(); });
    std::printf("tracker endpoints=%zu poll_cpu_us=%.2f states_cpu_ms=%.3f tracker_mb=%.1f\n",
                endpoints.size(),
                poll * 1e3 / static_cast<double>(endpoints.size()),
                copy,
                memoryMegabytes);
    return states;
}

}

void measureFleetCost(const SampleSize &size, std::size_t vms, std::uint64_t seed)
{
    const ServingDocumentPtr document = makeDocument(size, seed);
    std::vector<Endpoint> subset;
    const double time = meanCpuMilliseconds(Repetitions, [&] { subset = endpointSubset(VmId("vm-1"), document->endpoints); });
    std::printf(
        "subset vms=%zu models=%zu zones=%zu endpoints=%zu observed=%zu cpu_ms=%.2f\n", vms, size.models, size.zones, size.endpoints, subset.size(), time);
    const std::vector<EndpointState> states = measureTracker(subset);
    measureUpdate(states, vms);
    measureReclaimAssignment(document->endpoints, vms);
    measureView(document, states);
    std::fflush(stdout);
}

}
