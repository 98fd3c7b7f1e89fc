#include "gateway/loadexchangesimulation.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <stdexcept>
#include <tuple>

namespace Lentillock
{

namespace
{

constexpr std::uint32_t FirstIp = 0x0A000001;
constexpr Duration SampleInterval = 10ms;
constexpr Duration MaintenanceInterval = 250ms;

EndpointId endpointId(std::size_t endpoint)
{
    return EndpointId("endpoint-" + std::to_string(endpoint));
}

}

bool LoadExchangeSimulation::Event::operator>(const Event &other) const
{
    return std::tie(due, order) > std::tie(other.due, other.order);
}

LoadExchangeSimulation::LoadExchangeSimulation(const Options &options)
    : options_(options)
    , random_(options.seed)
    , vms_(options.vmCount)
{
    for (std::size_t vm = 0; vm < options.vmCount; ++vm) {
        const std::string ip = boost::asio::ip::address_v4(FirstIp + static_cast<std::uint32_t>(vm)).to_string();
        identities_.push_back({.vm = VmId("vm-" + std::to_string(vm)), .ip = ip, .zone = ZoneId("zone-" + std::to_string(zone(vm)))});
    }
}

void LoadExchangeSimulation::start(std::size_t vm)
{
    Vm &target = vms_.at(vm);
    ++target.incarnation;
    target.requests = 0;
    target.isPaused = false;
    target.waiting.clear();
    target.load = std::make_unique<FleetLoad>();
    const ExchangeIdentity identity{.vm = identities_[vm].vm,
                                    .zone = identities_[vm].zone,
                                    .ip = FirstIp + static_cast<std::uint32_t>(vm),
                                    .incarnation = static_cast<std::uint32_t>(random_())};
    target.exchange = std::make_unique<LoadExchange>(identity, *target.load);
    target.attribution = std::make_unique<CrashAttribution>(60s);
    target.crashExchange = std::make_unique<CrashAttributionExchange>(*target.attribution, *target.exchange);
    if (target.incarnation == 1) {
        announced_.push_back(identities_[vm]);
    }
    target.exchange->addPeers(announced_, now_);
    takeDue(vm);
}

void LoadExchangeSimulation::startAll()
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        schedule(now_ + std::chrono::microseconds(random_() % 300000), [this, vm] { start(vm); });
    }
}

void LoadExchangeSimulation::kill(std::size_t vm)
{
    vms_.at(vm).crashExchange.reset();
    vms_.at(vm).attribution.reset();
    vms_.at(vm).exchange.reset();
    vms_.at(vm).load.reset();
    vms_.at(vm).requests = 0;
}

void LoadExchangeSimulation::pause(std::size_t vm)
{
    vms_.at(vm).isPaused = true;
}

void LoadExchangeSimulation::resume(std::size_t vm)
{
    vms_.at(vm).isPaused = false;
    for (const auto &action : std::exchange(vms_.at(vm).waiting, {})) {
        action();
    }
    takeDue(vm);
}

void LoadExchangeSimulation::run(Duration duration, const std::function<void()> &sample)
{
    const TimePoint end = now_ + duration;
    TimePoint sampleDue = now_ + SampleInterval;
    while (now_ < end) {
        const TimePoint next = std::min({end, sampleDue, events_.empty() ? end : events_.top().due});
        now_ = std::max(now_, next);
        while (!events_.empty() && events_.top().due <= now_) {
            const auto action = events_.top().action;
            events_.pop();
            action();
        }
        if (now_ >= sampleDue) {
            sampleDue += SampleInterval;
            if (now_ >= maintenanceDue_) {
                maintenanceDue_ = now_ + MaintenanceInterval;
                for (const Vm &vm : vms_) {
                    if (vm.load && !vm.isPaused) {
                        vm.load->expirePeers(now_);
                        vm.attribution->expire(now_);
                    }
                }
            }
            if (sample) {
                sample();
            }
        }
    }
}

FleetLoad::Ticket LoadExchangeSimulation::begin(std::size_t vm, std::size_t endpoint)
{
    ++vms_.at(vm).requests;
    const auto ticket = load(vm).begin(endpointId(endpoint), {.prefillMs = 30, .memoryTokens = 5000, .decodeMs = 2000}, now_);
    load(vm).finishPrefill(ticket);
    takeDue(vm);
    return ticket;
}

void LoadExchangeSimulation::end(std::size_t vm, FleetLoad::Ticket ticket)
{
    --vms_.at(vm).requests;
    load(vm).end(ticket);
    takeDue(vm);
}

void LoadExchangeSimulation::crash(std::size_t vm, std::size_t endpoint, const PromptIdentity &prompt, CrashedRunStage stage)
{
    attribution(vm).recordCrash({.run = ++crashCount_, .endpoint = endpoint, .at = now_, .parts = prompt.parts, .promptHash = prompt.hash, .stage = stage},
                                now_);
    takeDue(vm);
}

void LoadExchangeSimulation::startRun(std::size_t vm, const PromptIdentity &prompt)
{
    attribution(vm).recordStart(prompt, now_);
    takeDue(vm);
}

CrashAttribution &LoadExchangeSimulation::attribution(std::size_t vm)
{
    return *vms_.at(vm).attribution;
}

FleetLoad &LoadExchangeSimulation::load(std::size_t vm)
{
    return *vms_.at(vm).load;
}

LoadExchange &LoadExchangeSimulation::exchange(std::size_t vm)
{
    return *vms_.at(vm).exchange;
}

std::size_t LoadExchangeSimulation::zone(std::size_t vm) const
{
    return vm % options_.zoneCount;
}

TimePoint LoadExchangeSimulation::now() const
{
    return now_;
}

std::size_t LoadExchangeSimulation::reporter(std::size_t zone) const
{
    for (std::size_t vm = zone; vm < vms_.size(); vm += options_.zoneCount) {
        if (vms_[vm].exchange && vms_[vm].exchange->isReporter()) {
            return vm;
        }
    }
    throw std::logic_error("the zone has no reporter");
}

double LoadExchangeSimulation::knownRequests(std::size_t vm) const
{
    double requests = 0;
    for (std::size_t endpoint = 0; endpoint < EndpointCount; ++endpoint) {
        requests += vms_.at(vm).load->totalLoad(endpointId(endpoint), now_).requests;
    }
    return requests;
}

double LoadExchangeSimulation::actualRequests() const
{
    double requests = 0;
    for (const Vm &vm : vms_) {
        requests += static_cast<double>(vm.requests);
    }
    return requests;
}

std::vector<Duration> LoadExchangeSimulation::groupLoadAges(std::size_t vm) const
{
    std::vector<Duration> ages = vms_.at(vm).load->groupAges(now_);
    for (Duration &age : ages) {
        age += options_.crossZoneDelay + options_.zoneDelay;
    }
    return ages;
}

std::size_t LoadExchangeSimulation::bytesSent(std::size_t vm) const
{
    return vms_.at(vm).bytesSent;
}

std::size_t LoadExchangeSimulation::bytesBetweenZones() const
{
    return bytesBetweenZones_;
}

void LoadExchangeSimulation::schedule(TimePoint due, std::function<void()> action)
{
    events_.push({.due = due, .order = nextOrder_++, .action = std::move(action)});
}

void LoadExchangeSimulation::takeDue(std::size_t vm)
{
    Vm &source = vms_.at(vm);
    if (!source.exchange || source.isPaused) {
        return;
    }
    send(vm, source.exchange->takeDue({}, now_));
    send(vm, source.crashExchange->takeDue(now_));
    const TimePoint due = std::min(source.exchange->nextDue(), source.crashExchange->nextDue());
    if (source.scheduledFor <= now_ || due < source.scheduledFor) {
        source.scheduledFor = due;
        schedule(due, [this, vm, due] {
            if (vms_[vm].scheduledFor == due) {
                vms_[vm].scheduledFor = TimePoint::max();
            }
            takeDue(vm);
        });
    }
}

void LoadExchangeSimulation::send(std::size_t from, const std::vector<OutgoingDatagram> &datagrams)
{
    std::uniform_real_distribution<double> fraction(0, 1);
    for (const OutgoingDatagram &datagram : datagrams) {
        const std::size_t to = datagram.ip - FirstIp;
        vms_.at(from).bytesSent += datagram.bytes->size();
        bytesBetweenZones_ += zone(from) != zone(to) ? datagram.bytes->size() : 0;
        if (fraction(random_) < options_.lossRate || isCut(from, to)) {
            continue;
        }
        const Duration delay = zone(from) == zone(to) ? options_.zoneDelay : options_.crossZoneDelay;
        schedule(now_ + delay, [this, from, to, bytes = datagram.bytes, incarnation = vms_.at(to).incarnation] { deliver(from, to, bytes, incarnation); });
    }
}

void LoadExchangeSimulation::deliver(std::size_t from, std::size_t to, const std::shared_ptr<const std::string> &bytes, std::uint32_t incarnation)
{
    Vm &target = vms_.at(to);
    if (!target.exchange || target.incarnation != incarnation) {
        return;
    }
    if (target.isPaused) {
        target.waiting.push_back([this, from, to, bytes, incarnation] { deliver(from, to, bytes, incarnation); });
        return;
    }
    if (const auto forwarded = target.crashExchange->receive(*bytes, now_)) {
        send(to, *forwarded);
        takeDue(to);
        return;
    }
    send(to, target.exchange->receive(*bytes, FirstIp + static_cast<std::uint32_t>(from), now_).datagrams);
    takeDue(to);
}

}
