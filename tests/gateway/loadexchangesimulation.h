#pragma once

#include "gateway/crashattributionexchange.h"
#include "gateway/loadexchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Lentillock
{

/// Runs the exchange of loads and crashes of a fleet in virtual time, with a network that delays and loses datagrams.
class LoadExchangeSimulation
{
public:
    struct Options {
        std::size_t vmCount = 8;
        std::size_t zoneCount = 3;
        double lossRate = 0;
        Duration zoneDelay = 300us; ///< Within a zone.
        Duration crossZoneDelay = 5ms;
        unsigned seed = 1;
    };

    explicit LoadExchangeSimulation(const Options &options);

    /// Starts @p vm, or restarts it without its load. As on the platform, it gets a list of the VMs that have been started before.
    void start(std::size_t vm);
    void startAll();
    void kill(std::size_t vm);
    /// A paused VM receives its datagrams when it is resumed.
    void pause(std::size_t vm);
    void resume(std::size_t vm);

    /// Decides for each datagram whether it is lost, in addition to the random loss.
    std::function<bool(std::size_t from, std::size_t to)> isCut = [](std::size_t, std::size_t) { return false; };

    /// Advances the virtual time. Calls @p sample every 10 ms, if set.
    void run(Duration duration, const std::function<void()> &sample = {});

    /// Starts a request of @p vm on @p endpoint that ends with end() or with the VM.
    FleetLoad::Ticket begin(std::size_t vm, std::size_t endpoint);
    void end(std::size_t vm, FleetLoad::Ticket ticket);

    /// A run of @p prompt on @p vm ends with a crash of @p endpoint.
    void crash(std::size_t vm, std::size_t endpoint, const PromptIdentity &prompt, CrashedRunStage stage = CrashedRunStage::ResponseStart);
    /// A run of @p prompt on @p vm produces its first event.
    void startRun(std::size_t vm, const PromptIdentity &prompt);

    [[nodiscard]] CrashAttribution &attribution(std::size_t vm);
    [[nodiscard]] FleetLoad &load(std::size_t vm);
    [[nodiscard]] LoadExchange &exchange(std::size_t vm);
    [[nodiscard]] std::size_t zone(std::size_t vm) const;
    [[nodiscard]] TimePoint now() const;

    /// The VM that sends the digests of @p zone, which must be a single group.
    [[nodiscard]] std::size_t reporter(std::size_t zone) const;

    /// Requests on all endpoints that @p vm knows of.
    [[nodiscard]] double knownRequests(std::size_t vm) const;
    /// Requests on all endpoints that are in progress on running VMs.
    [[nodiscard]] double actualRequests() const;

    /// Ages of the loads of the other groups that @p vm uses, including the time on the network.
    [[nodiscard]] std::vector<Duration> groupLoadAges(std::size_t vm) const;

    [[nodiscard]] std::size_t bytesSent(std::size_t vm) const;
    [[nodiscard]] std::size_t bytesBetweenZones() const;

    static constexpr std::size_t EndpointCount = 112;

private:
    struct Vm {
        std::unique_ptr<FleetLoad> load;
        std::unique_ptr<LoadExchange> exchange;
        std::unique_ptr<CrashAttribution> attribution;
        std::unique_ptr<CrashAttributionExchange> crashExchange;
        std::vector<std::function<void()>> waiting; ///< Datagrams that arrived while the VM was paused.
        std::size_t bytesSent = 0;
        std::size_t requests = 0;
        std::uint32_t incarnation = 0;
        bool isPaused = false;
        TimePoint scheduledFor = TimePoint::max();
    };
    struct Event {
        TimePoint due;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const Event &other) const;
    };

    void schedule(TimePoint due, std::function<void()> action);
    void takeDue(std::size_t vm);
    void send(std::size_t from, const std::vector<OutgoingDatagram> &datagrams);
    void deliver(std::size_t from, std::size_t to, const std::shared_ptr<const std::string> &bytes, std::uint32_t incarnation);

    Options options_;
    std::mt19937 random_;
    std::vector<Vm> vms_;
    std::vector<PeerVm> identities_;
    std::vector<PeerVm> announced_; ///< The VM list.
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t nextOrder_ = 0;
    std::uint64_t crashCount_ = 0;
    TimePoint now_ = TimePoint(1000s);
    TimePoint maintenanceDue_ = now_;
    std::size_t bytesBetweenZones_ = 0;
};

}
