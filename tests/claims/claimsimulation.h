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

/// What one run of ClaimSimulation showed.
struct ClaimSimulationResult {
    int dispatches = 0;
    int wonVerdicts = 0;
    int falseWasNotRun = 0; ///< Callers that were told "was not run" although their attempt was dispatched.
    int undecided = 0;
    bool foldsAgree = true;
};

/// One non-idempotent key, sent through all VMs at the same moment, with faults drawn from a seed.
///
/// Each VM has an entry, which dispatches after the verdict "won" within its deadline, and a coordinator. Time advances in steps of 10 ms.
class ClaimSimulation
{
public:
    static constexpr int VmCount = 7;

    explicit ClaimSimulation(std::uint64_t seed);

    ClaimSimulationResult run();

private:
    struct Operation {
        std::uint64_t batch = 0;
        std::vector<std::string> records;
        TimePoint takesEffect;
        TimePoint answered;
        AppendResult result = AppendResult::Appended;
        bool done = false;
    };
    struct Vm {
        ClaimCoordinator coordinator;
        std::deque<Operation> operations;
        TimePoint frozenUntil;
        TimePoint nextRead;
        bool controlDead = false;
        std::vector<ClaimActions> held; ///< Actions decided before a freeze and carried out after it.
    };
    struct Caller {
        AttemptId attempt;
        TimePoint deadline;
        std::size_t asks = 0;
        TimePoint nextAsk;
        bool abandoned = false;
        bool dispatched = false;
        bool toldNotRun = false;
        bool entryFrozenAtVerdict = false;
        TimePoint dispatchAt; ///< A frozen entry acts on its verdict only then.
        bool won = false;
        std::uint64_t tries = 0; ///< Attempts before this one; a caller that was told "was not run" sends the key again.
    };

    void plan();
    void step();
    void stepCallers();
    void stepVm(std::size_t index);
    void perform(std::size_t index, const ClaimActions &actions);
    void performAppend(std::size_t index, const AppendRecords &append);
    void performAnswer(const AnswerClaim &answer);
    void finishOperations(std::size_t index);
    void ask(std::size_t caller);
    void release(std::size_t caller);
    void act(std::size_t index);
    void abandon(std::size_t index);
    void tryAgain(std::size_t index);
    bool logIsDown() const;
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
