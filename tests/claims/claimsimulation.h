#pragma once

#include "claims/claimcoordinator.h"
#include "fakes/fakelog.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Lentillock
{

/// Result of one run of ClaimSimulation.
struct ClaimSimulationResult {
    int dispatches = 0;
    int wonVerdicts = 0;
    int falseWasNotRun = 0; ///< Callers that were told "was not run" although their attempt had been dispatched.
    int undecided = 0;
    bool replicasAgree = true;
};

/// Simulates one non-idempotent key that is sent through all VMs at the same time, with random faults that depend only on the seed.
///
/// Each VM has a coordinator and an entry, which dispatches if it gets the verdict "won" before its deadline. Time advances in steps of 10 ms.
class ClaimSimulation
{
public:
    static constexpr int VmCount = 7;

    explicit ClaimSimulation(std::uint64_t seed);

    ClaimSimulationResult run();

private:
    struct PendingAppend {
        std::uint64_t batch = 0;
        std::vector<std::string> records;
        TimePoint effectiveAt;
        TimePoint answeredAt;
        AppendResult result = AppendResult::Appended;
        bool done = false;
    };
    struct Vm {
        ClaimCoordinator coordinator;
        std::deque<PendingAppend> pendingAppends;
        TimePoint frozenUntil;
        TimePoint nextRead;
        bool isControlDead = false;
        std::vector<ClaimActions> deferredActions; ///< Actions decided before a freeze and performed after it.
    };
    struct Caller {
        AttemptId attempt;
        TimePoint deadline;
        std::size_t proposals = 0;
        TimePoint nextProposal;
        bool abandoned = false;
        bool dispatched = false;
        bool toldNotRun = false;
        bool entryFrozenAtVerdict = false;
        TimePoint dispatchAt; ///< When the entry acts on the verdict; later than the verdict if the entry was frozen.
        bool won = false;
        std::uint64_t retries = 0; ///< Number of earlier attempts; a caller that was told "was not run" sends the key again.
    };

    void initialize();
    void step();
    void stepCallers();
    void stepVm(std::size_t index);
    void perform(std::size_t index, const ClaimActions &actions);
    void performAppend(std::size_t index, const AppendRecords &append);
    void performAnswer(const AnswerClaim &answer);
    void finishAppends(std::size_t index);
    void propose(std::size_t caller);
    void release(std::size_t caller);
    void dispatch(std::size_t index);
    void abandon(std::size_t index);
    void retry(std::size_t index);
    bool isLogDown() const;
    bool chance(double probability);
    std::int64_t uniform(std::int64_t low, std::int64_t high);
    ClaimSimulationResult finish();

    std::mt19937_64 random_;
    FakeLog log_;
    TimePoint now_{std::chrono::hours(1)};
    const WallTime wallStart_{milliseconds(1'700'000'000'000)};
    WorkspaceId workspace_{"kingston-lc"};
    IdempotencyKey key_;
    std::string stream_;
    std::vector<Vm> vms_;
    std::vector<Caller> callers_;
    TimePoint outageStart_;
    TimePoint outageEnd_;
    ClaimSimulationResult result_;
};

}
