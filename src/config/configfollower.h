#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "config/configreader.h"
#include "platform/logservice.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Lentillock
{

// Inputs of ConfigFollower.

/// Time has passed.
struct ConfigTick {
    WallTime wallNow; ///< Used only to determine the age of records.
};

struct ConfigRead {
    LogBatch batch;
};

struct ConfigReadFailed {
    LogError error = LogError::Unavailable;
    std::optional<std::uint64_t> earliest; ///< Oldest retained offset; only for LogError::Expired, if the service has reported it.
};

struct SnapshotAppended {
};

/// The append has failed or its outcome is unknown.
struct SnapshotAppendFailed {
};

/// A peer has reported its configuration version.
struct PeerVersionReceived {
    VmId peer;
    std::uint64_t version = 0;
};

struct PeerConfigFetched {
    std::string snapshotData; ///< Result of ConfigFollower::snapshotData() on the peer.
};

struct PeerFetchFailed {
    VmId peer;
};

using ConfigInput
    = std::variant<ConfigTick, ConfigRead, ConfigReadFailed, SnapshotAppended, SnapshotAppendFailed, PeerVersionReceived, PeerConfigFetched, PeerFetchFailed>;

// Actions that ConfigFollower requests of its caller. At most one of ReadConfig and AppendSnapshot is outstanding.

/// Requests that the caller read the log and report the result as ConfigRead or ConfigReadFailed.
struct ReadConfig {
    std::uint64_t from = 0;
    std::size_t maxRecords = 0;
    milliseconds wait{0};

    bool operator==(const ReadConfig &) const = default;
};

/// Requests that the caller append a snapshot record and report the result as SnapshotAppended or SnapshotAppendFailed.
struct AppendSnapshot {
    std::string data;

    bool operator==(const AppendSnapshot &) const = default;
};

/// Requests that the caller fetch the peer's snapshot and report the result as PeerConfigFetched or PeerFetchFailed.
struct FetchPeerConfig {
    VmId peer;

    bool operator==(const FetchPeerConfig &) const = default;
};

/// A new version has come into force.
struct ConfigChanged {
    std::uint64_t version = 0;
    ServingDocumentPtr document;

    bool operator==(const ConfigChanged &) const = default;
};

/// A condition that needs an operator's attention. Raised once when the condition begins.
struct ConfigAlarm {
    std::string message;

    bool operator==(const ConfigAlarm &) const = default;
};

using ConfigAction = std::variant<ReadConfig, AppendSnapshot, FetchPeerConfig, ConfigChanged, ConfigAlarm>;

/// Keeps the configuration of a control process up to date from the log and from peers, and writes snapshots before records expire.
///
/// The version in force never decreases. The follower becomes ready once a version is in force that is not below any version that peers have
/// reported. It then stays ready, so that an outage of the log does not take running VMs out of service.
class ConfigFollower
{
public:
    struct Settings {
        milliseconds retention = 24h; ///< How long the log retains records.
        std::uint64_t retentionRecords = 1'000'000; ///< How many records the log retains.
        milliseconds longPollTimeout = 1s; ///< Maximum wait of a read at the end of the log.
        milliseconds retryDelay = 500ms; ///< Delay between a failure and the next attempt of the same operation.
        milliseconds peerFetchDelay = 1s; ///< How long to wait for the log to deliver a newer version before it is fetched from a peer.
        std::uint64_t seed = 0; ///< Different on each VM, so that the VMs write snapshots at different times.
        std::vector<ConfigRules> rules = knownConfigRules();
    };

    /// A snapshot is due when the oldest record that no snapshot covers reaches an age between 1/4 and 3/8 of the retention, or when the
    /// number of such records reaches that part of the retained number. The time differs between VMs, so that several writers can fail
    /// before the record reaches half of the retention.
    static constexpr int EarliestSnapshotDivisor = 4;
    static constexpr int SnapshotJitterDivisor = 8;

    /// If the log lacks an initial state, each VM with a known state writes a snapshot within this time unless another VM does so first.
    static constexpr milliseconds MissingSnapshotMaxDelay = 10s;

    explicit ConfigFollower(Settings settings);

    /// Handles an input and returns the actions to perform.
    std::vector<ConfigAction> handle(TimePoint now, const ConfigInput &input);

    [[nodiscard]] bool isReady() const;

    /// Version of the configuration in force; 0 if there is none.
    [[nodiscard]] std::uint64_t version() const;

    /// Never null.
    [[nodiscard]] ServingDocumentPtr document() const;

    /// State in force, for peers and entry processes; null if there is none.
    [[nodiscard]] const ConfigStateMachine *stateInForce() const;

    /// Snapshot record of the state in force, for peers that have none; empty if there is none.
    [[nodiscard]] std::string snapshotData() const;

    /// Messages of the conditions that are present now.
    [[nodiscard]] const std::set<std::string> &alarms() const;

private:
    /// What determines the age of a record.
    struct ReceivedRecord {
        std::uint64_t offset = 0;
        WallTime time;
        TimePoint receivedAt;
    };

    void on(TimePoint now, const ConfigTick &tick);
    void on(TimePoint now, const ConfigRead &read);
    void on(TimePoint now, const ConfigReadFailed &failure);
    void on(TimePoint now, const SnapshotAppended &);
    void on(TimePoint now, const SnapshotAppendFailed &);
    void on(TimePoint now, const PeerVersionReceived &received);
    void on(TimePoint now, const PeerConfigFetched &fetched);
    void on(TimePoint now, const PeerFetchFailed &failed);

    void restartFromEarliest(TimePoint now, std::optional<std::uint64_t> earliest);
    void handleDecisions(const std::vector<ConfigDecision> &decisions);
    void initializeFromFallback(TimePoint now);
    void updateFallback(const ConfigStateMachine &stateMachine);
    void updateVersionInForce(TimePoint now, std::vector<ConfigAction> &actions);
    void planLogOperation(TimePoint now, std::vector<ConfigAction> &actions);
    void planPeerFetch(TimePoint now, std::vector<ConfigAction> &actions);
    void updateAlarms(TimePoint now, std::vector<ConfigAction> &actions);
    [[nodiscard]] const ConfigStateMachine *newestState() const;
    [[nodiscard]] bool needsSnapshot(TimePoint now) const;

    /// A part of @p range that depends only on the seed.
    [[nodiscard]] milliseconds jitter(milliseconds range) const;

    Settings settings_;
    ConfigReader reader_;
    std::optional<ConfigStateMachine> fallback_; ///< Newest state from a peer or from before a restart of the reader, while the log is behind it.
    std::uint64_t versionInForce_ = 0;
    bool hasVersionInForce_ = false;
    bool isReady_ = false;

    bool isLogOperationPending_ = false;
    TimePoint nextReadAt_;
    TimePoint nextAppendAt_;
    std::deque<ReceivedRecord> recordsAfterSnapshot_; ///< Records that the newest snapshot does not include, oldest first.
    std::optional<TimePoint> missingSnapshotDue_; ///< Set while the log lacks an initial state: when this VM writes a snapshot.
    WallTime wallNow_;
    bool hasSnapshotMismatch_ = false;

    std::map<VmId, std::uint64_t> peerVersions_;
    std::uint64_t maxPeerVersion_ = 0; ///< Highest version that any peer has ever reported.
    std::optional<TimePoint> outdatedSince_; ///< Since when no version has been in force, or a lower one than a peer has reported.
    bool isPeerFetchPending_ = false;
    TimePoint nextFetchAt_;
    std::size_t fetchCount_ = 0;
    std::set<std::string> alarms_;
};

}
