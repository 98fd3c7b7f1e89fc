#include "config/configfollower.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lentillock
{

namespace
{

/// How long a VM may be behind a version that it has heard of before people are told.
constexpr milliseconds MaxBehind = 2s;

/// Before the next fetch when a peer's state cannot be used, for example because its rules are newer.
constexpr milliseconds UnusableStateDelay = 10s;

/// Between reads at the end of the log, in case the service does not wait for records.
constexpr milliseconds MinReadInterval = 20ms;

const std::string UnknownRulesAlarm = "the log has records of newer rules; this program must be updated";
const std::string NoStartAlarm = "the log has no snapshot to start from";
const std::string MismatchAlarm = "a snapshot in the log differs from the fold of the log";
const std::string BehindAlarm = "the configuration is behind a version that a peer has told";

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
    offerPeerState(now);
    updateInForce(now, actions);
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
    logBusy_ = false;
    if (read.batch.earliest > reader_.nextOffset()) {
        restartSearch(now, read.batch.earliest);
        return;
    }
    nextReadAt_ = read.batch.records.empty() ? now + MinReadInterval : now;
    for (const LogRecord &record : read.batch.records) {
        if (record.offset >= reader_.nextOffset()) {
            dependencies_.push_back({record.offset, record.time, now});
            wallNow_ = std::max(wallNow_, record.time);
        }
    }
    handleDecisions(reader_.handleBatch(read.batch));
}

void ConfigFollower::handleDecisions(const std::vector<ConfigDecision> &decisions)
{
    for (const ConfigDecision &decision : decisions) {
        if (decision.verdict == ConfigVerdict::SnapshotMismatch) {
            hasMismatch_ = true;
        }
        if (decision.verdict != ConfigVerdict::Snapshot) {
            continue;
        }
        hasMismatch_ = false;
        missingSnapshotDue_.reset();
        while (!dependencies_.empty() && dependencies_.front().offset <= decision.snapshotThroughOffset) {
            dependencies_.pop_front();
        }
    }
}

void ConfigFollower::on(TimePoint now, const ConfigReadFailed &failure)
{
    logBusy_ = false;
    if (failure.error == LogError::Expired) {
        restartSearch(now, failure.earliest);
    } else {
        nextReadAt_ = now + settings_.retryDelay;
    }
}

void ConfigFollower::restartSearch(TimePoint now, std::optional<std::uint64_t> earliest)
{
    if (reader_.stateMachine() != nullptr) {
        keepAsFallback(*reader_.stateMachine());
    }
    dependencies_.clear();
    reader_.handleExpired(earliest);
    nextReadAt_ = now;
}

void ConfigFollower::on(TimePoint now, const SnapshotAppended &)
{
    logBusy_ = false;
    nextReadAt_ = now;
    // The next reads show the snapshot.
    nextAppendAt_ = now + settings_.longPollTimeout + settings_.retryDelay;
}

void ConfigFollower::on(TimePoint now, const SnapshotAppendFailed &)
{
    logBusy_ = false;
    nextAppendAt_ = now + settings_.longPollTimeout + settings_.retryDelay;
}

void ConfigFollower::on(TimePoint, const PeerVersionReceived &heard)
{
    std::uint64_t &version = peerVersions_[heard.peer];
    version = std::max(version, heard.version);
    heardVersion_ = std::max(heardVersion_, heard.version);
}

void ConfigFollower::on(TimePoint now, const PeerConfigFetched &fetched)
{
    peerBusy_ = false;
    Findings findings;
    const std::optional<ConfigStateMachine> stateMachine = ConfigStateMachine::restore(fetched.snapshotData, findings, settings_.rules);
    nextFetchAt_ = now + (stateMachine ? settings_.retryDelay : UnusableStateDelay);
    if (stateMachine) {
        keepAsFallback(*stateMachine);
    }
}

void ConfigFollower::on(TimePoint now, const PeerFetchFailed &failed)
{
    peerBusy_ = false;
    nextFetchAt_ = now + settings_.retryDelay;
    peerVersions_.erase(failed.peer);
}

void ConfigFollower::keepAsFallback(const ConfigStateMachine &stateMachine)
{
    if (!fallback_ || std::pair(stateMachine.version(), stateMachine.nextOffset()) > std::pair(fallback_->version(), fallback_->nextOffset())) {
        fallback_ = stateMachine;
    }
}

void ConfigFollower::offerPeerState(TimePoint now)
{
    if (!reader_.lacksInitialState() || !fallback_) {
        return;
    }
    handleDecisions(reader_.tryInitializeFrom(*fallback_));
    if (reader_.stateMachine() != nullptr && !missingSnapshotDue_) {
        missingSnapshotDue_ = now + spread(MissingSnapshotSpread);
    }
}

void ConfigFollower::updateInForce(TimePoint now, std::vector<ConfigAction> &actions)
{
    const ConfigStateMachine *stateMachine = reader_.stateMachine();
    if (stateMachine != nullptr && fallback_ && stateMachine->version() >= fallback_->version()) {
        fallback_.reset();
    }
    const ConfigStateMachine *current = newestState();
    // A fold that has not reached the end of the log yet would put old versions in force one after the other.
    const bool isKnown = current != nullptr && (current != stateMachine || reader_.isAtEnd() || hasAnnounced_);
    if (isKnown && (!hasAnnounced_ || current->version() > announcedVersion_)) {
        hasAnnounced_ = true;
        announcedVersion_ = current->version();
        actions.emplace_back(ConfigChanged{current->version(), current->document()});
    }
    if (!hasAnnounced_ || announcedVersion_ < heardVersion_) {
        behindSince_ = behindSince_.value_or(now);
    } else {
        behindSince_.reset();
        isReady_ = true;
    }
}

void ConfigFollower::planLogOperation(TimePoint now, std::vector<ConfigAction> &actions)
{
    if (logBusy_) {
        return;
    }
    if (now >= nextAppendAt_ && needsSnapshot(now)) {
        logBusy_ = true;
        actions.emplace_back(AppendSnapshot{reader_.stateMachine()->snapshotData()});
    } else if (now >= nextReadAt_) {
        logBusy_ = true;
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
    if (dependencies_.empty()) {
        return false;
    }
    const ReadRecord &oldest = dependencies_.front();
    const Duration age = std::max<Duration>(wallNow_ - oldest.time, now - oldest.readAt);
    const milliseconds dueAge = settings_.retention / EarliestSnapshotDivisor + spread(settings_.retention / SnapshotSpreadDivisor);
    const std::uint64_t dueCount = settings_.retentionRecords / EarliestSnapshotDivisor
        + static_cast<std::uint64_t>(spread(milliseconds(settings_.retentionRecords / SnapshotSpreadDivisor)).count());
    return age >= dueAge || dependencies_.size() >= std::max<std::uint64_t>(dueCount, 1);
}

milliseconds ConfigFollower::spread(milliseconds range) const
{
    constexpr std::uint64_t steps = 1024;
    return range * (stableHash("snapshot", settings_.seed) % steps) / steps;
}

void ConfigFollower::planPeerFetch(TimePoint now, std::vector<ConfigAction> &actions)
{
    if (peerBusy_ || now < nextFetchAt_ || !behindSince_) {
        return;
    }
    if (hasAnnounced_ && now - *behindSince_ < settings_.peerDelay) {
        return;
    }
    std::vector<VmId> candidates;
    for (const auto &[peer, version] : peerVersions_) {
        if (version >= heardVersion_) {
            candidates.push_back(peer);
        }
    }
    if (candidates.empty()) {
        for (const auto &[peer, version] : peerVersions_) {
            if (!hasAnnounced_ || version > announcedVersion_) {
                candidates.push_back(peer);
            }
        }
    }
    if (candidates.empty()) {
        return;
    }
    peerBusy_ = true;
    // Peers are asked in turn, beginning with a different one on each VM.
    actions.emplace_back(FetchPeerConfig{candidates[(settings_.seed + fetches_++) % candidates.size()]});
}

void ConfigFollower::updateAlarms(TimePoint now, std::vector<ConfigAction> &actions)
{
    const ConfigStateMachine *stateMachine = reader_.stateMachine();
    const std::array<std::pair<const std::string *, bool>, 4> conditions{{
        {&UnknownRulesAlarm, stateMachine != nullptr && stateMachine->unknownRulesVersion().has_value()},
        {&NoStartAlarm, reader_.lacksInitialState() || missingSnapshotDue_.has_value()},
        {&MismatchAlarm, hasMismatch_},
        {&BehindAlarm, behindSince_ && heardVersion_ > announcedVersion_ && now - *behindSince_ >= MaxBehind},
    }};
    for (const auto &[message, lasts] : conditions) {
        if (!lasts) {
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
    return announcedVersion_;
}

ServingDocumentPtr ConfigFollower::document() const
{
    const ConfigStateMachine *current = stateInForce();
    return current == nullptr ? std::make_shared<const ServingDocument>() : current->document();
}

const ConfigStateMachine *ConfigFollower::stateInForce() const
{
    return hasAnnounced_ ? newestState() : nullptr;
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
