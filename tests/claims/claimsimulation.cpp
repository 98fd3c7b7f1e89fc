#include "claims/claimsimulation.h"

#include "claims/claimwriters.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr milliseconds StepDuration{10};
constexpr milliseconds RunDuration{12000};
constexpr milliseconds LongFreeze{std::chrono::minutes(62)};

}

ClaimSimulation::ClaimSimulation(std::uint64_t seed)
    : random_(seed)
    , key_(IdempotencyKey::create(wallStart_, seed))
    , stream_(claimStream(0))
    , vms_(VmCount)
    , callers_(VmCount)
{
}

bool ClaimSimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::int64_t ClaimSimulation::uniform(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

void ClaimSimulation::initialize()
{
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        callers_[i].attempt = AttemptId("attempt" + std::to_string(i));
        callers_[i].deadline = now_ + milliseconds(uniform(500, 8000));
        callers_[i].nextProposal = now_;
        callers_[i].entryFrozenAtVerdict = chance(0.2);
    }
    outageStart_ = now_ + milliseconds(uniform(0, 4000));
    outageEnd_ = chance(0.5) ? outageStart_ + milliseconds(uniform(100, 5000)) : outageStart_;
}

ClaimSimulationResult ClaimSimulation::run()
{
    initialize();
    const TimePoint end = now_ + RunDuration;
    while (now_ < end) {
        step();
    }
    // Writers frozen until now perform the actions that they decided an hour ago.
    now_ += LongFreeze;
    for (int i = 0; i < 400; ++i) {
        step();
    }
    return finish();
}

void ClaimSimulation::step()
{
    now_ += StepDuration;
    log_.setTime(wallStart_ + std::chrono::floor<milliseconds>(now_ - TimePoint(std::chrono::hours(1))));
    stepCallers();
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        stepVm(i);
    }
}

void ClaimSimulation::stepCallers()
{
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        Caller &caller = callers_[i];
        if (caller.won && !caller.dispatched && !caller.abandoned && now_ >= caller.dispatchAt) {
            dispatch(i);
            continue;
        }
        if (!caller.won && !caller.abandoned && now_ >= caller.deadline) {
            abandon(i);
        } else if (!caller.won && !caller.abandoned && now_ >= caller.nextProposal) {
            propose(i);
        }
    }
}

void ClaimSimulation::dispatch(std::size_t index)
{
    if (now_ >= callers_[index].deadline) {
        abandon(index);
        return;
    }
    callers_[index].dispatched = true;
    ++result_.dispatches;
}

void ClaimSimulation::abandon(std::size_t index)
{
    // Abandoned locally before the release, so that a late verdict cannot cause a dispatch.
    callers_[index].abandoned = true;
    callers_[index].toldNotRun = true;
    release(index);
    retry(index);
}

void ClaimSimulation::retry(std::size_t index)
{
    Caller &caller = callers_[index];
    if (caller.retries >= 2) {
        return;
    }
    ++caller.retries;
    caller.attempt = AttemptId("attempt" + std::to_string(index) + '.' + std::to_string(caller.retries));
    caller.deadline = now_ + milliseconds(uniform(500, 4000));
    caller.nextProposal = now_;
    caller.abandoned = false;
    caller.won = false;
    caller.toldNotRun = false;
}

void ClaimSimulation::propose(std::size_t caller)
{
    // Tries the writers in turn; a dead or frozen one does not answer.
    std::vector<VmId> names;
    names.reserve(VmCount);
    for (int i = 0; i < VmCount; ++i) {
        names.emplace_back("vm" + std::to_string(i));
    }
    const auto writers = claimWriters(0, names, VmCount);
    // Some VMs have a different view of live VMs and therefore start with a different writer.
    const std::size_t first = caller % 3 == 2 ? 1 : 0;
    const std::string name = writers[(first + callers_[caller].proposals) % writers.size()].value();
    const auto index = static_cast<std::size_t>(name.back() - '0');
    ++callers_[caller].proposals;
    callers_[caller].nextProposal = now_ + milliseconds(uniform(300, 700));
    if (vms_[index].isControlDead || now_ < vms_[index].frozenUntil) {
        return;
    }
    const WallTime wallNow = wallStart_ + std::chrono::floor<milliseconds>(now_ - TimePoint(std::chrono::hours(1)));
    const TimePoint deadline = now_ + milliseconds(1000);
    perform(
        index,
        vms_[index].coordinator.propose(now_, wallNow, {caller + VmCount * callers_[caller].retries, workspace_, key_, callers_[caller].attempt, deadline}));
}

void ClaimSimulation::release(std::size_t caller)
{
    Vm &vm = vms_[caller];
    if (!vm.isControlDead && now_ >= vm.frozenUntil) {
        const ClaimRecord record{ClaimRecordType::Release, workspace_, key_, callers_[caller].attempt, ClaimRunState::Unknown};
        perform(caller, vm.coordinator.update(now_, {caller, record, now_ + milliseconds(5000)}));
    }
}

void ClaimSimulation::stepVm(std::size_t index)
{
    Vm &vm = vms_[index];
    if (vm.isControlDead) {
        return;
    }
    finishAppends(index);
    if (now_ < vm.frozenUntil) {
        return;
    }
    for (const ClaimActions &actions : std::exchange(vm.deferredActions, {})) {
        perform(index, actions);
    }
    perform(index, vm.coordinator.advance(now_));
    if (now_ >= vm.nextRead && !isLogDown()) {
        vm.nextRead = now_ + milliseconds(uniform(10, 60));
        perform(index, vm.coordinator.readFinished(now_, log_.read(stream_, vm.coordinator.nextOffset(), 3), now_, true));
    }
    if (chance(0.0005)) {
        vm.isControlDead = true;
    } else if (chance(0.001)) {
        vm.frozenUntil = now_ + (chance(0.5) ? LongFreeze : milliseconds(uniform(100, 3000)));
    }
}

bool ClaimSimulation::isLogDown() const
{
    return now_ >= outageStart_ && now_ < outageEnd_;
}

void ClaimSimulation::perform(std::size_t index, const ClaimActions &actions)
{
    if (actions.empty()) {
        return;
    }
    // A VM can freeze between a decision and the append.
    if (chance(0.02)) {
        vms_[index].frozenUntil = now_ + (chance(0.5) ? LongFreeze : milliseconds(uniform(100, 3000)));
        vms_[index].deferredActions.push_back(actions);
        return;
    }
    for (const ClaimAction &action : actions) {
        if (const auto *append = std::get_if<AppendRecords>(&action)) {
            performAppend(index, *append);
        } else if (const auto *answer = std::get_if<AnswerClaim>(&action)) {
            performAnswer(*answer);
        }
    }
}

void ClaimSimulation::performAppend(std::size_t index, const AppendRecords &append)
{
    PendingAppend pending{append.batch, append.records, now_ + milliseconds(uniform(1, 200)), {}, AppendResult::Appended, false};
    pending.answeredAt = pending.effectiveAt + milliseconds(uniform(1, 50));
    if (isLogDown()) {
        pending.result = AppendResult::NotAppended;
    } else if (chance(0.3)) {
        // The answer is lost; the append takes effect, possibly after the timeout, or never.
        pending.result = AppendResult::Unknown;
        pending.answeredAt = now_ + milliseconds(100);
        pending.effectiveAt = now_ + milliseconds(uniform(1, 4000));
        pending.done = chance(0.3);
    }
    vms_[index].pendingAppends.push_back(pending);
}

void ClaimSimulation::finishAppends(std::size_t index)
{
    Vm &vm = vms_[index];
    std::vector<std::pair<std::uint64_t, AppendResult>> answers;
    for (PendingAppend &pending : vm.pendingAppends) {
        if (!pending.done && pending.result != AppendResult::NotAppended && now_ >= pending.effectiveAt) {
            pending.done = true;
            log_.append(stream_, pending.records);
        }
        if (pending.answeredAt != TimePoint() && now_ >= pending.answeredAt && now_ >= vm.frozenUntil) {
            pending.answeredAt = TimePoint();
            answers.emplace_back(pending.batch, pending.result);
        }
    }
    for (const auto &[batch, result] : answers) {
        perform(index, vm.coordinator.appendFinished(now_, batch, result));
    }
}

void ClaimSimulation::performAnswer(const AnswerClaim &answer)
{
    Caller &caller = callers_[answer.token % VmCount];
    // Two writers may both answer for an attempt, and an answer may be for an abandoned attempt; only the first answer counts.
    if (caller.abandoned || caller.won || answer.token / VmCount != caller.retries) {
        return;
    }
    if (answer.verdict == ClaimDecision::Won) {
        ++result_.wonVerdicts;
        caller.won = true;
        caller.dispatchAt = now_ + (caller.entryFrozenAtVerdict ? milliseconds(uniform(0, 9000)) : milliseconds(0));
    } else if (answer.verdict != ClaimDecision::Undecided) {
        caller.abandoned = true;
        caller.toldNotRun = answer.verdict == ClaimDecision::Refused;
    } else {
        ++result_.undecided;
    }
}

ClaimSimulationResult ClaimSimulation::finish()
{
    std::set<std::string> digests;
    for (Vm &vm : vms_) {
        LogBatch batch;
        while (!(batch = log_.read(stream_, vm.coordinator.nextOffset(), 1000)).records.empty()) {
            vm.coordinator.readFinished(now_, batch, now_, true);
        }
        digests.insert(vm.coordinator.stateMachine().digest());
    }
    result_.replicasAgree = digests.size() == 1;
    for (const Caller &caller : callers_) {
        result_.falseWasNotRun += caller.toldNotRun && caller.dispatched ? 1 : 0;
    }
    return result_;
}

}
