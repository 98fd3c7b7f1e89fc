#include "claims/claimsimulation.h"

#include "claims/claimwriters.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr milliseconds StepTime{10};
constexpr milliseconds RunTime{12000};
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

void ClaimSimulation::plan()
{
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        callers_[i].attempt = AttemptId("attempt" + std::to_string(i));
        callers_[i].deadline = now_ + milliseconds(uniform(500, 8000));
        callers_[i].nextAsk = now_;
        callers_[i].entryFrozenAtVerdict = chance(0.2);
    }
    outageStart_ = now_ + milliseconds(uniform(0, 4000));
    outageEnd_ = chance(0.5) ? outageStart_ + milliseconds(uniform(100, 5000)) : outageStart_;
}

ClaimSimulationResult ClaimSimulation::run()
{
    plan();
    const TimePoint end = now_ + RunTime;
    while (now_ < end) {
        step();
    }
    // Writers that were frozen now act on what they decided an hour ago.
    now_ += LongFreeze;
    for (int i = 0; i < 400; ++i) {
        step();
    }
    return finish();
}

void ClaimSimulation::step()
{
    now_ += StepTime;
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
            act(i);
            continue;
        }
        if (!caller.won && !caller.abandoned && now_ >= caller.deadline) {
            abandon(i);
        } else if (!caller.won && !caller.abandoned && now_ >= caller.nextAsk) {
            ask(i);
        }
    }
}

void ClaimSimulation::act(std::size_t index)
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
    // Abandoned locally before the release, so a late verdict cannot dispatch it.
    callers_[index].abandoned = true;
    callers_[index].toldNotRun = true;
    release(index);
    tryAgain(index);
}

void ClaimSimulation::tryAgain(std::size_t index)
{
    Caller &caller = callers_[index];
    if (caller.tries >= 2) {
        return;
    }
    ++caller.tries;
    caller.attempt = AttemptId("attempt" + std::to_string(index) + '.' + std::to_string(caller.tries));
    caller.deadline = now_ + milliseconds(uniform(500, 4000));
    caller.nextAsk = now_;
    caller.abandoned = false;
    caller.won = false;
    caller.toldNotRun = false;
}

void ClaimSimulation::ask(std::size_t caller)
{
    // The writer, then the next one, and so on; a dead or frozen one does not answer.
    std::vector<VmId> names;
    names.reserve(VmCount);
    for (int i = 0; i < VmCount; ++i) {
        names.emplace_back("vm" + std::to_string(i));
    }
    const auto writers = claimWriters(0, names, VmCount);
    // Some VMs have a different view, and with it a different writer.
    const std::size_t first = caller % 3 == 2 ? 1 : 0;
    const std::string name = writers[(first + callers_[caller].asks) % writers.size()].value();
    const auto index = static_cast<std::size_t>(name.back() - '0');
    ++callers_[caller].asks;
    callers_[caller].nextAsk = now_ + milliseconds(uniform(300, 700));
    if (vms_[index].controlDead || now_ < vms_[index].frozenUntil) {
        return;
    }
    const WallTime wallNow = wallStart_ + std::chrono::floor<milliseconds>(now_ - TimePoint(std::chrono::hours(1)));
    const TimePoint deadline = now_ + milliseconds(1000);
    perform(index,
            vms_[index].coordinator.propose(now_, wallNow, {caller + VmCount * callers_[caller].tries, workspace_, key_, callers_[caller].attempt, deadline}));
}

void ClaimSimulation::release(std::size_t caller)
{
    Vm &vm = vms_[caller];
    if (!vm.controlDead && now_ >= vm.frozenUntil) {
        const ClaimRecord record{ClaimRecordType::Release, workspace_, key_, callers_[caller].attempt, ClaimRunState::Unknown};
        perform(caller, vm.coordinator.update(now_, {caller, record, now_ + milliseconds(5000)}));
    }
}

void ClaimSimulation::stepVm(std::size_t index)
{
    Vm &vm = vms_[index];
    if (vm.controlDead) {
        return;
    }
    finishOperations(index);
    if (now_ < vm.frozenUntil) {
        return;
    }
    for (const ClaimActions &actions : std::exchange(vm.held, {})) {
        perform(index, actions);
    }
    perform(index, vm.coordinator.advance(now_));
    if (now_ >= vm.nextRead && !logIsDown()) {
        vm.nextRead = now_ + milliseconds(uniform(10, 60));
        perform(index, vm.coordinator.readFinished(now_, log_.read(stream_, vm.coordinator.nextOffset(), 3), now_, true));
    }
    if (chance(0.0005)) {
        vm.controlDead = true;
    } else if (chance(0.001)) {
        vm.frozenUntil = now_ + (chance(0.5) ? LongFreeze : milliseconds(uniform(100, 3000)));
    }
}

bool ClaimSimulation::logIsDown() const
{
    return now_ >= outageStart_ && now_ < outageEnd_;
}

void ClaimSimulation::perform(std::size_t index, const ClaimActions &actions)
{
    if (actions.empty()) {
        return;
    }
    // A freeze can strike between the decision and the append.
    if (chance(0.02)) {
        vms_[index].frozenUntil = now_ + (chance(0.5) ? LongFreeze : milliseconds(uniform(100, 3000)));
        vms_[index].held.push_back(actions);
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
    Operation operation{append.batch, append.records, now_ + milliseconds(uniform(1, 200)), {}, AppendResult::Appended, false};
    operation.answered = operation.takesEffect + milliseconds(uniform(1, 50));
    if (logIsDown()) {
        operation.result = AppendResult::NotAppended;
    } else if (chance(0.3)) {
        // The answer is lost; the append takes effect, even later than the timeout, or never.
        operation.result = AppendResult::Unknown;
        operation.answered = now_ + milliseconds(100);
        operation.takesEffect = now_ + milliseconds(uniform(1, 4000));
        operation.done = chance(0.3);
    }
    vms_[index].operations.push_back(operation);
}

void ClaimSimulation::finishOperations(std::size_t index)
{
    Vm &vm = vms_[index];
    std::vector<std::pair<std::uint64_t, AppendResult>> answers;
    for (Operation &operation : vm.operations) {
        if (!operation.done && operation.result != AppendResult::NotAppended && now_ >= operation.takesEffect) {
            operation.done = true;
            log_.append(stream_, operation.records);
        }
        if (operation.answered != TimePoint() && now_ >= operation.answered && now_ >= vm.frozenUntil) {
            operation.answered = TimePoint();
            answers.emplace_back(operation.batch, operation.result);
        }
    }
    for (const auto &[batch, result] : answers) {
        perform(index, vm.coordinator.appendFinished(now_, batch, result));
    }
}

void ClaimSimulation::performAnswer(const AnswerClaim &answer)
{
    Caller &caller = callers_[answer.token % VmCount];
    // Answers of two writers about the same attempt may both arrive, and answers about an attempt that was given up; only the first one counts.
    if (caller.abandoned || caller.won || answer.token / VmCount != caller.tries) {
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
    result_.foldsAgree = digests.size() == 1;
    for (const Caller &caller : callers_) {
        result_.falseWasNotRun += caller.toldNotRun && caller.dispatched ? 1 : 0;
    }
    return result_;
}

}
