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

std::size_t ClaimStateMachine::NameHash::operator()(const Name &name) const noexcept
{
    return name.key.hash() ^ name.workspace;
}

void ClaimStateMachine::restart(std::uint64_t offset)
{
    *this = ClaimStateMachine();
    start_ = offset;
    next_ = offset;
}

void ClaimStateMachine::advanceTo(std::uint64_t next)
{
    next_ = std::max(next_, next);
}

void ClaimStateMachine::apply(const LogRecord &record)
{
    if (record.offset < next_) {
        return;
    }
    next_ = record.offset + 1;
    lastTime_ = std::max(lastTime_, record.time);
    if (!startTime_) {
        startTime_ = record.time;
    }
    prune(lastTime_);
    const auto decoded = decodeClaimRecord(record.data);
    if (!decoded) {
        ++malformed_;
        return;
    }
    // No claim of a key outside of this range can be accepted, now or later in the case of an old key, so nothing needs to be remembered.
    if (decoded->type == ClaimRecordType::Mark || !acceptsAge(decoded->key, lastTime_)) {
        return;
    }
    Entry &entry = entryFor(*decoded);
    if (decoded->type == ClaimRecordType::Claim) {
        applyClaim(entry, decoded->attempt);
    } else if (decoded->type == ClaimRecordType::Release || decoded->outcome == ClaimRunState::WasNotRun) {
        applyRelease(entry, decoded->attempt);
    } else {
        applyOutcome(entry, *decoded);
    }
}

ClaimStateMachine::Attempt *ClaimStateMachine::findAttempt(Entry &entry, const AttemptId &attempt)
{
    const auto found = std::ranges::find(entry.attempts, attempt.value(), &Attempt::id);
    return found == entry.attempts.end() ? nullptr : &*found;
}

void ClaimStateMachine::applyClaim(Entry &entry, const AttemptId &attempt)
{
    if (findAttempt(entry, attempt) != nullptr) {
        return;
    }
    const bool held = std::ranges::any_of(entry.attempts, [](const Attempt &other) { return other.status == Standing::Won; });
    entry.attempts.push_back({attempt.value(), held ? Standing::Lost : Standing::Won});
    if (!held) {
        entry.state = ClaimRunState::Unknown;
    }
}

void ClaimStateMachine::applyRelease(Entry &entry, const AttemptId &attempt)
{
    Attempt *known = findAttempt(entry, attempt);
    if (known == nullptr) {
        entry.attempts.push_back({attempt.value(), Standing::Released});
        return;
    }
    // An attempt that was dispatched cannot give up its key: another attempt would run the request again.
    if (known->status == Standing::Won && entry.dispatched) {
        return;
    }
    if (known->status == Standing::Won) {
        entry.state = ClaimRunState::WasNotRun;
    }
    known->status = Standing::Released;
}

void ClaimStateMachine::applyOutcome(Entry &entry, const ClaimRecord &record)
{
    const Attempt *known = findAttempt(entry, record.attempt);
    if (known != nullptr && known->status == Standing::Won && entry.state != ClaimRunState::Ran) {
        entry.state = record.outcome;
        entry.dispatched = true;
    }
}

ClaimStateMachine::Entry &ClaimStateMachine::entryFor(const ClaimRecord &record)
{
    const auto workspace = workspaces_.try_emplace(record.workspace.value(), static_cast<std::uint32_t>(workspaces_.size())).first->second;
    const Name name{workspace, record.key};
    const auto [entry, inserted] = entries_.try_emplace(name);
    if (inserted) {
        byCreation_[creationSecond(record.key)].push_back(name);
    }
    return entry->second;
}

const ClaimStateMachine::Entry *ClaimStateMachine::find(const WorkspaceId &workspace, const IdempotencyKey &key) const
{
    const auto number = workspaces_.find(workspace.value());
    if (number == workspaces_.end()) {
        return nullptr;
    }
    const auto entry = entries_.find(Name{number->second, key});
    return entry == entries_.end() ? nullptr : &entry->second;
}

void ClaimStateMachine::prune(WallTime time)
{
    // A bucket is dropped only when its youngest key is outside of the window.
    const std::int64_t oldest = std::chrono::floor<std::chrono::seconds>(time - KeyWindow).time_since_epoch().count();
    while (!byCreation_.empty() && byCreation_.begin()->first < oldest) {
        for (const Name &name : byCreation_.begin()->second) {
            entries_.erase(name);
        }
        byCreation_.erase(byCreation_.begin());
    }
}

ClaimResult ClaimStateMachine::result(const WorkspaceId &workspace, const IdempotencyKey &key, const AttemptId &attempt) const
{
    const Entry *entry = find(workspace, key);
    if (entry == nullptr) {
        return {ClaimStatus::Unread, ClaimRunState::WasNotRun};
    }
    const auto known = std::ranges::find(entry->attempts, attempt.value(), &Attempt::id);
    if (known == entry->attempts.end()) {
        return {ClaimStatus::Unread, entry->state};
    }
    if (known->status == Standing::Released) {
        return {ClaimStatus::Released, entry->state};
    }
    if (!covers(key)) {
        return {ClaimStatus::Refused, entry->state};
    }
    return {known->status == Standing::Won ? ClaimStatus::Won : ClaimStatus::Lost, entry->state};
}

bool ClaimStateMachine::covers(const IdempotencyKey &key) const
{
    // A key can be claimed before its own creation time by MaxFutureSkew, if the caller's clock runs ahead.
    return start_ <= FirstOffset || (startTime_ && key.time() - MaxFutureSkew >= *startTime_);
}

bool ClaimStateMachine::isDated() const
{
    return start_ <= FirstOffset || startTime_.has_value();
}

bool ClaimStateMachine::acceptsAge(const IdempotencyKey &key, WallTime time)
{
    return key.time() >= time - KeyWindow && key.time() <= time + MaxFutureSkew;
}

std::uint64_t ClaimStateMachine::nextOffset() const
{
    return next_;
}

std::size_t ClaimStateMachine::keyCount() const
{
    return entries_.size();
}

std::uint64_t ClaimStateMachine::malformedRecords() const
{
    return malformed_;
}

std::string ClaimStateMachine::digest() const
{
    std::map<std::string, std::string> lines;
    for (const auto &[workspace, number] : workspaces_) {
        for (const auto &[name, entry] : entries_) {
            if (name.workspace != number) {
                continue;
            }
            std::string &line = lines[workspace + '/' + name.key.toText()];
            line = std::to_string(static_cast<int>(entry.state));
            for (const Attempt &attempt : entry.attempts) {
                line += ' ' + attempt.id + '=' + std::to_string(static_cast<int>(attempt.status));
            }
        }
    }
    std::string text;
    for (const auto &[name, line] : lines) {
        text.append(name).append(" ").append(line).append("\n");
    }
    return sha256Hex(text);
}

}
