#include "claims/claimcoordinator.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

std::uint64_t ClaimCoordinator::nextOffset() const
{
    return stateMachine_.nextOffset();
}

const ClaimStateMachine &ClaimCoordinator::stateMachine() const
{
    return stateMachine_;
}

ClaimActions ClaimCoordinator::propose(TimePoint now, WallTime wallNow, const ClaimProposal &proposal)
{
    const ClaimRecord claim{ClaimRecordType::Claim, proposal.workspace, proposal.key, proposal.attempt, ClaimRunState::Unknown};
    if (stateMachine_.result(claim.workspace, claim.key, claim.attempt).status != ClaimStatus::Unread) {
        AnswerClaim answer = verdictOn(claim);
        answer.token = proposal.token;
        return {answer};
    }
    if (!ClaimStateMachine::acceptsAge(claim.key, wallNow)) {
        return {AnswerClaim{proposal.token, ClaimDecision::Refused, ClaimRunState::WasNotRun, "the key is older than 1 hour or more than 60 s in the future"}};
    }
    addPending(claim, proposal.token, proposal.deadline);
    return advance(now);
}

ClaimActions ClaimCoordinator::update(TimePoint now, const ClaimUpdate &update)
{
    addPending(update.record, update.token, update.deadline);
    return advance(now);
}

void ClaimCoordinator::addPending(const ClaimRecord &record, std::uint64_t token, TimePoint deadline)
{
    const PendingKey key(record.type, record.attempt);
    const auto [entry, inserted] = pending_.try_emplace(key, Pending{record, deadline, {}, 0});
    entry->second.tokens.push_back(token);
    entry->second.deadline = std::max(entry->second.deadline, deadline);
    earliestDeadline_ = std::min(earliestDeadline_, deadline);
    if (inserted) {
        unsent_.push_back(key);
    }
}

ClaimActions ClaimCoordinator::appendFinished(TimePoint now, std::uint64_t batch, AppendResult result)
{
    if (!inFlight_ || inFlight_->batch != batch) {
        return {};
    }
    if (result == AppendResult::Unknown) {
        inFlight_->unknownSince = now;
        return {};
    }
    inFlight_.reset();
    if (result == AppendResult::NotAppended) {
        requeue(batch);
    }
    return advance(now);
}

void ClaimCoordinator::requeue(std::uint64_t batch)
{
    for (auto &[key, pending] : pending_) {
        if (pending.batch == batch) {
            pending.batch = 0;
            unsent_.push_back(key);
        }
    }
}

ClaimActions ClaimCoordinator::readFinished(TimePoint now, const LogBatch &batch, TimePoint startedAt, bool caughtUp)
{
    ClaimActions actions;
    for (const LogRecord &record : batch.records) {
        if (record.offset >= stateMachine_.nextOffset()) {
            stateMachine_.apply(record);
            completePending(record, actions);
        }
    }
    stateMachine_.advanceTo(batch.next);
    caughtUp_ = caughtUp;
    // If the result of an append is unknown, its records are appended again once a read that started after it reaches the end of the log
    // without finding them.
    if (caughtUp && inFlight_ && inFlight_->unknownSince && startedAt >= *inFlight_->unknownSince) {
        const std::uint64_t unconfirmed = std::exchange(inFlight_, std::nullopt)->batch;
        requeue(unconfirmed);
    }
    ClaimActions more = advance(now);
    std::ranges::move(more, std::back_inserter(actions));
    return actions;
}

void ClaimCoordinator::completePending(const LogRecord &record, ClaimActions &actions)
{
    const auto decoded = decodeClaimRecord(record.data);
    if (!decoded) {
        return;
    }
    const auto pending = pending_.find(PendingKey(decoded->type, decoded->attempt));
    if (pending == pending_.end() || pending->second.record != *decoded) {
        return;
    }
    answer(pending->second, actions);
    // The record may have come from another writer's append while this coordinator was about to repeat its own.
    if (pending->second.batch == 0) {
        std::erase(unsent_, pending->first);
    }
    pending_.erase(pending);
}

void ClaimCoordinator::answer(const Pending &pending, ClaimActions &actions) const
{
    for (const std::uint64_t token : pending.tokens) {
        if (pending.record.type != ClaimRecordType::Claim) {
            actions.emplace_back(AnswerUpdate{token, true});
            continue;
        }
        AnswerClaim answer = verdictOn(pending.record);
        answer.token = token;
        actions.emplace_back(std::move(answer));
    }
}

AnswerClaim ClaimCoordinator::verdictOn(const ClaimRecord &claim) const
{
    const ClaimResult result = stateMachine_.result(claim.workspace, claim.key, claim.attempt);
    switch (result.status) {
    case ClaimStatus::Won:
        return {0, ClaimDecision::Won, result.winnerState, {}};
    case ClaimStatus::Lost:
        return {0, ClaimDecision::Lost, result.winnerState, "another attempt holds the key"};
    case ClaimStatus::Released:
        return {0, ClaimDecision::Refused, result.winnerState, "the attempt was released"};
    case ClaimStatus::Refused:
        return {0, ClaimDecision::Refused, result.winnerState, "the key is older than the records of this VM"};
    case ClaimStatus::Unread:
        break;
    }
    // The claim's record has been read, but its key was out of range at the record's log time.
    return {0, ClaimDecision::Refused, result.winnerState, "the key is older than 1 hour or more than 60 s in the future"};
}

ClaimActions ClaimCoordinator::recordsExpired(TimePoint now, std::uint64_t earliest)
{
    stateMachine_.restart(earliest);
    markSent_ = false;
    return advance(now);
}

ClaimActions ClaimCoordinator::advance(TimePoint now)
{
    ClaimActions actions;
    expirePending(now, actions);
    startAppend(now, actions);
    return actions;
}

void ClaimCoordinator::expirePending(TimePoint now, ClaimActions &actions)
{
    if (now < earliestDeadline_) {
        return;
    }
    earliestDeadline_ = TimePoint::max();
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        const Pending &pending = entry->second;
        if (pending.deadline > now) {
            earliestDeadline_ = std::min(earliestDeadline_, pending.deadline);
            ++entry;
            continue;
        }
        for (const std::uint64_t token : pending.tokens) {
            if (pending.record.type == ClaimRecordType::Claim) {
                actions.emplace_back(AnswerClaim{token, ClaimDecision::Undecided, ClaimRunState::Unknown, "the log did not confirm the claim in time"});
            } else {
                actions.emplace_back(AnswerUpdate{token, false});
            }
        }
        if (pending.batch == 0) {
            std::erase(unsent_, entry->first);
        }
        entry = pending_.erase(entry);
    }
}

void ClaimCoordinator::startAppend(TimePoint now, ClaimActions &actions)
{
    const bool needsMark = caughtUp_ && !stateMachine_.hasStartTime() && !markSent_;
    if (inFlight_ || (unsent_.empty() && !needsMark) || (lastAppend_ && now < *lastAppend_ + AppendInterval)) {
        return;
    }
    AppendRecords append{nextBatch_++, {}};
    if (needsMark) {
        append.records.push_back(encodeClaimRecord({ClaimRecordType::Mark, {}, {}, {}, {}}));
        markSent_ = true;
    }
    while (!unsent_.empty() && append.records.size() < MaxBatch) {
        Pending &pending = pending_.at(unsent_.front());
        unsent_.pop_front();
        pending.batch = append.batch;
        append.records.push_back(encodeClaimRecord(pending.record));
    }
    inFlight_ = InFlightAppend{append.batch, std::nullopt};
    lastAppend_ = now;
    actions.emplace_back(std::move(append));
}

std::optional<TimePoint> ClaimCoordinator::nextDue() const
{
    std::optional<TimePoint> due;
    if (!inFlight_ && !unsent_.empty() && lastAppend_) {
        due = *lastAppend_ + AppendInterval;
    }
    if (!pending_.empty()) {
        due = due ? std::min(*due, earliestDeadline_) : earliestDeadline_;
    }
    return due;
}

}
