#include "config/configfollower.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lentillock
{

namespace
{

/// How long a VM may be behind a version that a peer has reported before an alarm is raised.
constexpr milliseconds BehindPeersAlarmDelay = 2s;

/// Delay before the next fetch if a peer's state could not be restored, for example because of a newer rules version.
constexpr milliseconds UnusableStateDelay = 10s;

/// Minimum interval between reads at the end of the log, in case the service returns without waiting for records.
constexpr milliseconds MinReadInterval = 20ms;

const std::string UnknownRulesAlarm = "the log has records of newer rules; this program must be updated";
const std::string NoInitialStateAlarm = "the log has no snapshot to start from";
const std::string SnapshotMismatchAlarm = "a snapshot in the log differs from the fold of the log";
const std::string BehindPeersAlarm = "the configuration is behind a version that a peer has told";

}

ConfigFollower::ConfigFollower(Settings settings)
    : settings_(std::move(settings))
    , reader_(settings_.rules)
{
}

std::vector<ConfigAction> ConfigFollower::handle(TimePoint now, const ConfigInput &input)
{
    std::visit([&](const auto &message) { on(now, message); }, input);
    std::vector<ConfigAction> actions;
    initializeFromFallback(now);
    updateVersionInForce(now, actions);
    planLogOperation(now, actions);
    planPeerFetch(now, actions);
    updateAlarms(now, actions);
    return actions;
}

void ConfigFollower::on(TimePoint, const ConfigTick &tick)
{
    wallNow_ = std::max(wallNow_, tick.wallNow);
}

void ConfigFollower::on(TimePoint now, const ConfigRead &read)
{
    isLogOperationPending_ = false;
    if (read.batch.earliest > reader_.nextOffset()) {
        restartFromEarliest(now, read.batch.earliest);
        return;
    }
    nextReadAt_ = read.batch.records.empty() ? now + MinReadInterval : now;
    for (const LogRecord &record : read.batch.records) {
        if (record.offset >= reader_.nextOffset()) {
            recordsAfterSnapshot_.push_back({record.offset, record.time, now});
            wallNow_ = std::max(wallNow_, record.time);
        }
    }
    handleDecisions(reader_.handleBatch(read.batch));
}

void ConfigFollower::handleDecisions(const std::vector<ConfigDecision> &decisions)
{
    for (const ConfigDecision &decision : decisions) {
        if (decision.verdict == ConfigVerdict::SnapshotMismatch) {
            hasSnapshotMismatch_ = true;
        }
        if (decision.verdict != ConfigVerdict::Snapshot) {
            continue;
        }
        hasSnapshotMismatch_ = false;
        missingSnapshotDue_.reset();
        while (!recordsAfterSnapshot_.empty() && recordsAfterSnapshot_.front().offset <= decision.snapshotThroughOffset) {
            recordsAfterSnapshot_.pop_front();
        }
    }
}

void ConfigFollower::on(TimePoint now, const ConfigReadFailed &failure)
{
    isLogOperationPending_ = false;
    if (failure.error == LogError::Expired) {
        restartFromEarliest(now, failure.earliest);
    } else {
        nextReadAt_ = now + settings_.retryDelay;
    }
}

void ConfigFollower::restartFromEarliest(TimePoint now, std::optional<std::uint64_t> earliest)
{
    if (reader_.stateMachine() != nullptr) {
        updateFallback(*reader_.stateMachine());
    }
    recordsAfterSnapshot_.clear();
    reader_.handleExpired(earliest);
    nextReadAt_ = now;
}

void ConfigFollower::on(TimePoint now, const SnapshotAppended &)
{
    isLogOperationPending_ = false;
    nextReadAt_ = now;
    // Allows the next reads to return the snapshot before another one is considered.
    nextAppendAt_ = now + settings_.longPollTimeout + settings_.retryDelay;
}

void ConfigFollower::on(TimePoint now, const SnapshotAppendFailed &)
{
    isLogOperationPending_ = false;
    nextAppendAt_ = now + settings_.longPollTimeout + settings_.retryDelay;
}

void ConfigFollower::on(TimePoint, const PeerVersionReceived &received)
{
    std::uint64_t &version = peerVersions_[received.peer];
    version = std::max(version, received.version);
    maxPeerVersion_ = std::max(maxPeerVersion_, received.version);
}

void ConfigFollower::on(TimePoint now, const PeerConfigFetched &fetched)
{
    isPeerFetchPending_ = false;
    Findings findings;
    const std::optional<ConfigStateMachine> stateMachine = ConfigStateMachine::restore(fetched.snapshotData, findings, settings_.rules);
    nextFetchAt_ = now + (stateMachine ? settings_.retryDelay : UnusableStateDelay);
    if (stateMachine) {
        updateFallback(*stateMachine);
    }
}

void ConfigFollower::on(TimePoint now, const PeerFetchFailed &failed)
{
    isPeerFetchPending_ = false;
    nextFetchAt_ = now + settings_.retryDelay;
    peerVersions_.erase(failed.peer);
}

void ConfigFollower::updateFallback(const ConfigStateMachine &stateMachine)
{
    if (!fallback_ || std::pair(stateMachine.version(), stateMachine.nextOffset()) > std::pair(fallback_->version(), fallback_->nextOffset())) {
        fallback_ = stateMachine;
    }
}

void ConfigFollower::initializeFromFallback(TimePoint now)
{
    if (!reader_.lacksInitialState() || !fallback_) {
        return;
    }
    handleDecisions(reader_.tryInitializeFrom(*fallback_));
    if (reader_.stateMachine() != nullptr && !missingSnapshotDue_) {
        missingSnapshotDue_ = now + jitter(MissingSnapshotMaxDelay);
    }
}

void ConfigFollower::updateVersionInForce(TimePoint now, std::vector<ConfigAction> &actions)
{
    const ConfigStateMachine *stateMachine = reader_.stateMachine();
    if (stateMachine != nullptr && fallback_ && stateMachine->version() >= fallback_->version()) {
        fallback_.reset();
    }
    const ConfigStateMachine *current = newestState();
    // The first version must not come into force before the reader has reached the end of the log. Otherwise, each old version in the log
    // would come into force in turn.
    const bool isKnown = current != nullptr && (current != stateMachine || reader_.isAtEnd() || hasVersionInForce_);
    if (isKnown && (!hasVersionInForce_ || current->version() > versionInForce_)) {
        hasVersionInForce_ = true;
        versionInForce_ = current->version();
        actions.emplace_back(ConfigChanged{current->version(), current->document()});
    }
    if (!hasVersionInForce_ || versionInForce_ < maxPeerVersion_) {
        outdatedSince_ = outdatedSince_.value_or(now);
    } else {
        outdatedSince_.reset();
        isReady_ = true;
    }
}

void ConfigFollower::planLogOperation(TimePoint now, std::vector<ConfigAction> &actions)
{
    if (isLogOperationPending_) {
        return;
    }
    if (now >= nextAppendAt_ && needsSnapshot(now)) {
        isLogOperationPending_ = true;
        actions.emplace_back(AppendSnapshot{reader_.stateMachine()->snapshotData()});
    } else if (now >= nextReadAt_) {
        isLogOperationPending_ = true;
        actions.emplace_back(ReadConfig{reader_.nextOffset(), ConfigReader::MaxRecords, reader_.isAtEnd() ? settings_.longPollTimeout : 0ms});
    }
}

bool ConfigFollower::needsSnapshot(TimePoint now) const
{
    const ConfigStateMachine *stateMachine = reader_.stateMachine();
    if (stateMachine == nullptr || !reader_.isAtEnd() || stateMachine->version() == 0 || stateMachine->unknownRulesVersion()) {
        return false;
    }
    if (missingSnapshotDue_) {
        return now >= *missingSnapshotDue_;
    }
    if (recordsAfterSnapshot_.empty()) {
        return false;
    }
    const ReceivedRecord &oldest = recordsAfterSnapshot_.front();
    const Duration age = std::max<Duration>(wallNow_ - oldest.time, now - oldest.receivedAt);
    const milliseconds dueAge = settings_.retention / EarliestSnapshotDivisor + jitter(settings_.retention / SnapshotJitterDivisor);
    const std::uint64_t dueCount = settings_.retentionRecords / EarliestSnapshotDivisor
        + static_cast<std::uint64_t>(jitter(milliseconds(settings_.retentionRecords / SnapshotJitterDivisor)).count());
    return age >= dueAge || recordsAfterSnapshot_.size() >= std::max<std::uint64_t>(dueCount, 1);
}

milliseconds ConfigFollower::jitter(milliseconds range) const
{
    constexpr std::uint64_t steps = 1024;
    return range * (stableHash("snapshot", settings_.seed) % steps) / steps;
}

void ConfigFollower::planPeerFetch(TimePoint now, std::vector<ConfigAction> &actions)
{
    if (isPeerFetchPending_ || now < nextFetchAt_ || !outdatedSince_) {
        return;
    }
    if (hasVersionInForce_ && now - *outdatedSince_ < settings_.peerFetchDelay) {
        return;
    }
    std::vector<VmId> candidates;
    for (const auto &[peer, version] : peerVersions_) {
        if (version >= maxPeerVersion_) {
            candidates.push_back(peer);
        }
    }
    if (candidates.empty()) {
        for (const auto &[peer, version] : peerVersions_) {
            if (!hasVersionInForce_ || version > versionInForce_) {
                candidates.push_back(peer);
            }
        }
    }
    if (candidates.empty()) {
        return;
    }
    isPeerFetchPending_ = true;
    // Round robin, starting with a different peer on each VM.
    actions.emplace_back(FetchPeerConfig{candidates[(settings_.seed + fetchCount_++) % candidates.size()]});
}

void ConfigFollower::updateAlarms(TimePoint now, std::vector<ConfigAction> &actions)
{
    const ConfigStateMachine *stateMachine = reader_.stateMachine();
    const std::array<std::pair<const std::string *, bool>, 4> conditions{{
        {&UnknownRulesAlarm, stateMachine != nullptr && stateMachine->unknownRulesVersion().has_value()},
        {&NoInitialStateAlarm, reader_.lacksInitialState() || missingSnapshotDue_.has_value()},
        {&SnapshotMismatchAlarm, hasSnapshotMismatch_},
        {&BehindPeersAlarm, outdatedSince_ && maxPeerVersion_ > versionInForce_ && now - *outdatedSince_ >= BehindPeersAlarmDelay},
    }};
    for (const auto &[message, isActive] : conditions) {
        if (!isActive) {
            alarms_.erase(*message);
        } else if (alarms_.insert(*message).second) {
            actions.emplace_back(ConfigAlarm{*message});
        }
    }
}

bool ConfigFollower::isReady() const
{
    return isReady_;
}

std::uint64_t ConfigFollower::version() const
{
    return versionInForce_;
}

ServingDocumentPtr ConfigFollower::document() const
{
    const ConfigStateMachine *current = stateInForce();
    return current == nullptr ? std::make_shared<const ServingDocument>() : current->document();
}

const ConfigStateMachine *ConfigFollower::stateInForce() const
{
    return hasVersionInForce_ ? newestState() : nullptr;
}

const ConfigStateMachine *ConfigFollower::newestState() const
{
    const ConfigStateMachine *stateMachine = reader_.stateMachine();
    if (stateMachine != nullptr && (!fallback_ || stateMachine->version() >= fallback_->version())) {
        return stateMachine;
    }
    return fallback_ ? &*fallback_ : nullptr;
}

std::string ConfigFollower::snapshotData() const
{
    const ConfigStateMachine *current = stateInForce();
    return current == nullptr ? std::string() : current->snapshotData();
}

const std::set<std::string> &ConfigFollower::alarms() const
{
    return alarms_;
}

}
