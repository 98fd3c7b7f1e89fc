#include "claims/claimstatemachine.h"

#include "base/hash.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

std::int64_t creationSecond(const IdempotencyKey &key)
{
    return std::chrono::floor<std::chrono::seconds>(key.time()).time_since_epoch().count();
}

}

std::size_t ClaimStateMachine::ScopedKeyHash::operator()(const ScopedKey &scopedKey) const noexcept
{
    return scopedKey.key.hash() ^ scopedKey.workspace;
}

void ClaimStateMachine::restart(std::uint64_t offset)
{
    *this = ClaimStateMachine();
    startOffset_ = offset;
    nextOffset_ = offset;
}

void ClaimStateMachine::advanceTo(std::uint64_t next)
{
    nextOffset_ = std::max(nextOffset_, next);
}

void ClaimStateMachine::apply(const LogRecord &record)
{
    if (record.offset < nextOffset_) {
        return;
    }
    nextOffset_ = record.offset + 1;
    lastRecordTime_ = std::max(lastRecordTime_, record.time);
    if (!firstRecordTime_) {
        firstRecordTime_ = record.time;
    }
    prune(lastRecordTime_);
    const auto decoded = decodeClaimRecord(record.data);
    if (!decoded) {
        ++malformedRecords_;
        return;
    }
    // A claim of a key outside this range is not accepted, and a claim of an old key never will be, so there is no state to keep.
    if (decoded->type == ClaimRecordType::Mark || !acceptsAge(decoded->key, lastRecordTime_)) {
        return;
    }
    KeyState &entry = keyStateFor(*decoded);
    if (decoded->type == ClaimRecordType::Claim) {
        applyClaim(entry, decoded->attempt);
    } else if (decoded->type == ClaimRecordType::Release || decoded->outcome == ClaimRunState::WasNotRun) {
        applyRelease(entry, decoded->attempt);
    } else {
        applyOutcome(entry, *decoded);
    }
}

ClaimStateMachine::Attempt *ClaimStateMachine::findAttempt(KeyState &entry, const AttemptId &attempt)
{
    const auto found = std::ranges::find(entry.attempts, attempt.value(), &Attempt::id);
    return found == entry.attempts.end() ? nullptr : &*found;
}

void ClaimStateMachine::applyClaim(KeyState &entry, const AttemptId &attempt)
{
    if (findAttempt(entry, attempt) != nullptr) {
        return;
    }
    const bool hasHolder = std::ranges::any_of(entry.attempts, [](const Attempt &other) { return other.status == AttemptStatus::Won; });
    entry.attempts.push_back({attempt.value(), hasHolder ? AttemptStatus::Lost : AttemptStatus::Won});
    if (!hasHolder) {
        entry.runState = ClaimRunState::Unknown;
    }
}

void ClaimStateMachine::applyRelease(KeyState &entry, const AttemptId &attempt)
{
    Attempt *known = findAttempt(entry, attempt);
    if (known == nullptr) {
        entry.attempts.push_back({attempt.value(), AttemptStatus::Released});
        return;
    }
    // A dispatched attempt keeps its key; otherwise another attempt could run the request again.
    if (known->status == AttemptStatus::Won && entry.dispatched) {
        return;
    }
    if (known->status == AttemptStatus::Won) {
        entry.runState = ClaimRunState::WasNotRun;
    }
    known->status = AttemptStatus::Released;
}

void ClaimStateMachine::applyOutcome(KeyState &entry, const ClaimRecord &record)
{
    const Attempt *known = findAttempt(entry, record.attempt);
    if (known != nullptr && known->status == AttemptStatus::Won && entry.runState != ClaimRunState::Ran) {
        entry.runState = record.outcome;
        entry.dispatched = true;
    }
}

ClaimStateMachine::KeyState &ClaimStateMachine::keyStateFor(const ClaimRecord &record)
{
    const auto workspace = workspaceNumbers_.try_emplace(record.workspace.value(), static_cast<std::uint32_t>(workspaceNumbers_.size())).first->second;
    const ScopedKey scopedKey{workspace, record.key};
    const auto [entry, inserted] = keys_.try_emplace(scopedKey);
    if (inserted) {
        byCreation_[creationSecond(record.key)].push_back(scopedKey);
    }
    return entry->second;
}

const ClaimStateMachine::KeyState *ClaimStateMachine::find(const WorkspaceId &workspace, const IdempotencyKey &key) const
{
    const auto number = workspaceNumbers_.find(workspace.value());
    if (number == workspaceNumbers_.end()) {
        return nullptr;
    }
    const auto entry = keys_.find(ScopedKey{number->second, key});
    return entry == keys_.end() ? nullptr : &entry->second;
}

void ClaimStateMachine::prune(WallTime time)
{
    // A second is dropped only once its newest key is outside the window.
    const std::int64_t oldest = std::chrono::floor<std::chrono::seconds>(time - KeyWindow).time_since_epoch().count();
    while (!byCreation_.empty() && byCreation_.begin()->first < oldest) {
        for (const ScopedKey &scopedKey : byCreation_.begin()->second) {
            keys_.erase(scopedKey);
        }
        byCreation_.erase(byCreation_.begin());
    }
}

ClaimResult ClaimStateMachine::result(const WorkspaceId &workspace, const IdempotencyKey &key, const AttemptId &attempt) const
{
    const KeyState *entry = find(workspace, key);
    if (entry == nullptr) {
        return {ClaimStatus::Unread, ClaimRunState::WasNotRun};
    }
    const auto known = std::ranges::find(entry->attempts, attempt.value(), &Attempt::id);
    if (known == entry->attempts.end()) {
        return {ClaimStatus::Unread, entry->runState};
    }
    if (known->status == AttemptStatus::Released) {
        return {ClaimStatus::Released, entry->runState};
    }
    if (!covers(key)) {
        return {ClaimStatus::Refused, entry->runState};
    }
    return {known->status == AttemptStatus::Won ? ClaimStatus::Won : ClaimStatus::Lost, entry->runState};
}

bool ClaimStateMachine::covers(const IdempotencyKey &key) const
{
    // If the caller's clock is ahead, a key can be claimed up to MaxFutureSkew before its creation time.
    return startOffset_ <= FirstOffset || (firstRecordTime_ && key.time() - MaxFutureSkew >= *firstRecordTime_);
}

bool ClaimStateMachine::hasStartTime() const
{
    return startOffset_ <= FirstOffset || firstRecordTime_.has_value();
}

bool ClaimStateMachine::acceptsAge(const IdempotencyKey &key, WallTime time)
{
    return key.time() >= time - KeyWindow && key.time() <= time + MaxFutureSkew;
}

std::uint64_t ClaimStateMachine::nextOffset() const
{
    return nextOffset_;
}

std::size_t ClaimStateMachine::keyCount() const
{
    return keys_.size();
}

std::uint64_t ClaimStateMachine::malformedRecords() const
{
    return malformedRecords_;
}

std::string ClaimStateMachine::digest() const
{
    std::map<std::string, std::string> lines;
    for (const auto &[workspace, number] : workspaceNumbers_) {
        for (const auto &[scopedKey, entry] : keys_) {
            if (scopedKey.workspace != number) {
                continue;
            }
            std::string &line = lines[workspace + '/' + scopedKey.key.toText()];
            line = std::to_string(static_cast<int>(entry.runState));
            for (const Attempt &attempt : entry.attempts) {
                line += ' ' + attempt.id + '=' + std::to_string(static_cast<int>(attempt.status));
            }
        }
    }
    std::string text;
    for (const auto &[keyText, line] : lines) {
        text.append(keyText).append(" ").append(line).append("\n");
    }
    return sha256Hex(text);
}

}
