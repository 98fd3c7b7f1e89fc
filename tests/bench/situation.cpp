#include "bench/situation.h"

#include "bench/benchentry.h"
#include "bench/benchrandom.h"
#include "bench/eventqueue.h"
#include "bench/simulatedfleet.h"

namespace Lentillock
{

namespace
{

constexpr std::size_t EntryCount = 7;
constexpr Duration ViewRefreshInterval = 500ms;
constexpr Duration WarmUp = 30s;
/// Longer than the longest request timeout (300 s), so that every request has ended by then.
constexpr Duration CoolDown = 301s;

/// State of one simulation run: the fleet, its entries and the arrival process.
class SimulationRun
{
public:
    SimulationRun(const Situation &situation, const WorkloadProfile &profile, const BenchPolicy &policy, std::uint64_t seed)
        : situation_(situation)
        , fleet_(events_, engineSettings(situation), policy.objectives)
        , workload_(profile, seed)
        , arrivals_(seed + 1)
        , meanGap_(Workload::meanEngineSeconds(profile, engineSettings(situation)) / (situation.load * SimulatedFleet::LargeModelEngines))
        , start_(events_.now())
    {
        for (std::size_t i = 0; i < EntryCount; ++i) {
            const ZoneId zone("zone-" + std::to_string(i % SimulatedFleet::ZoneCount));
            entries_.push_back(std::make_unique<BenchEntry>(
                events_, fleet_, zone, policy.make(fleet_.document(), seed + i), policy.refusesOverload, seed + 100 + i, [this](const BenchResult &result) {
                    if (result.arrival >= start_ + WarmUp) {
                        result_.requests.push_back(result);
                    }
                }));
            events_.after(ViewRefreshInterval * (i + 1) / EntryCount, [this, i] { refreshView(i); });
        }
    }

    SituationResult run(Duration length)
    {
        lastArrival_ = start_ + WarmUp + length;
        scheduleNextArrival();
        events_.at(start_ + WarmUp + (length / 3), [this] { injectFault(); });
        events_.runUntil(lastArrival_);
        result_.busyShare = fleet_.busyShare(ModelId("reader"), start_);
        events_.runUntil(lastArrival_ + CoolDown);
        result_.measured = length;
        return std::move(result_);
    }

private:
    static EngineSettings engineSettings(const Situation &situation)
    {
        EngineSettings settings;
        settings.reportLag = situation.reportLag;
        return settings;
    }

    void refreshView(std::size_t entry)
    {
        entries_[entry]->refreshView();
        events_.after(ViewRefreshInterval, [this, entry] { refreshView(entry); });
    }

    void scheduleNextArrival()
    {
        const auto gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arrivals_.exponential(meanGap_)));
        if (events_.now() + gap > lastArrival_) {
            return;
        }
        events_.after(gap, [this] {
            entries_[arrivals_.bits() % EntryCount]->handleArrival(workload_.next());
            scheduleNextArrival();
        });
    }

    void injectFault()
    {
        if (!situation_.deadEndpoint.empty()) {
            fleet_.kill(EndpointId(situation_.deadEndpoint));
        }
        if (!situation_.deadZone.empty()) {
            fleet_.killZone(ZoneId(situation_.deadZone));
        }
    }

    Situation situation_;
    EventQueue events_;
    SimulatedFleet fleet_;
    Workload workload_;
    BenchRandom arrivals_;
    double meanGap_;
    TimePoint start_;
    TimePoint lastArrival_;
    std::vector<std::unique_ptr<BenchEntry>> entries_;
    SituationResult result_;
};

}

SituationResult runSituation(const Situation &situation, const WorkloadProfile &profile, const BenchPolicy &policy, std::uint64_t seed, Duration length)
{
    return SimulationRun(situation, profile, policy, seed).run(length);
}

}
