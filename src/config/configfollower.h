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

// Messages to the follower.

struct ConfigTick {
    WallTime wallNow; ///< Used only to judge the age of records.
};

struct ConfigRead {
    LogBatch batch;
};

struct ConfigReadFailed {
    LogError error = LogError::Unavailable;
    std::optional<std::uint64_t> earliest; ///< When expired and told by the service.
};

struct SnapshotAppended {
};

/// The append failed or its outcome is unknown.
struct SnapshotAppendFailed {
};

/// A message of a peer has told its configuration version.
struct PeerVersionReceived {
    VmId peer;
    std::uint64_t version = 0;
};

struct PeerConfigFetched {
    std::string snapshotData; ///< From ConfigFollower::snapshotData() of the peer.
};

struct PeerFetchFailed {
    VmId peer;
};

using ConfigInput
    = std::variant<ConfigTick, ConfigRead, ConfigReadFailed, SnapshotAppended, SnapshotAppendFailed, PeerVersionReceived, PeerConfigFetched, PeerFetchFailed>;

// Actions that the follower asks its shell to carry out. At most one of ReadConfig and AppendSnapshot is outstanding.

struct ReadConfig {
    std::uint64_t from = 0;
    std::size_t maxRecords = 0;
    milliseconds wait{0};

    bool operator==(const ReadConfig &) const = default;
};

struct AppendSnapshot {
    std::string data;

    bool operator==(const AppendSnapshot &) const = default;
};

struct FetchPeerConfig {
    VmId peer;

    bool operator==(const FetchPeerConfig &) const = default;
};

/// The document in force has changed.
struct ConfigChanged {
    std::uint64_t version = 0;
    ServingDocumentPtr document;

    bool operator==(const ConfigChanged &) const = default;
};

/// A condition that people have to look at. Raised once while it lasts.
struct ConfigAlarm {
    std::string message;

    bool operator==(const ConfigAlarm &) const = default;
};

using ConfigAction = std::variant<ReadConfig, AppendSnapshot, FetchPeerConfig, ConfigChanged, ConfigAlarm>;

/// Keeps a control process's configuration current from the log and from peers, and writes snapshots before records expire.
///
/// The version in force never goes down. It becomes ready when the configuration is known and not below any version that it has
/// heard of, and then stays ready: an outage of the log must not take running VMs out of service.
class ConfigFollower
{
public:
    struct Settings {
        milliseconds retention = 24h; ///< Of the log.
        std::uint64_t retentionRecords = 1'000'000; ///< Of the log.
        milliseconds longPollTimeout = 1s; ///< Longest wait of a read at the end of the log.
        milliseconds retryDelay = 500ms; ///< Between a failure and the next attempt of the same operation.
        milliseconds peerDelay = 1s; ///< How long the log has to deliver a version that was heard of before a peer is asked.
        std::uint64_t seed = 0; ///< Different on each VM; spreads the writing of snapshots.
        std::vector<ConfigRules> rules = knownConfigRules();
    };

    /// Snapshots are written when the oldest record that a new reader depends on has reached an age between 1/4 and 3/8 of the
    /// retention, so that several writers have failed before it reaches the half.
    static constexpr int EarliestSnapshotDivisor = 4;
    static constexpr int SnapshotSpreadDivisor = 8;

    /// When the log offers no start, the VMs write a snapshot within this time.
    static constexpr milliseconds MissingSnapshotSpread = 10s;

    explicit ConfigFollower(Settings settings);

    std::vector<ConfigAction> handle(TimePoint now, const ConfigInput &input);

    [[nodiscard]] bool isReady() const;

    /// Version of the configuration in force; 0 while none is known.
    [[nodiscard]] std::uint64_t version() const;

    /// Never null.
    [[nodiscard]] ServingDocumentPtr document() const;

    /// State in force, for peers and entries; null while none is known.
    [[nodiscard]] const ConfigStateMachine *stateInForce() const;

    /// Record data of the state in force, for peers that start; empty while none is known.
    [[nodiscard]] std::string snapshotData() const;

    /// Conditions that last now.
    [[nodiscard]] const std::set<std::string> &alarms() const;

private:
    struct ReadRecord {
        std::uint64_t offset = 0;
        WallTime time;
        TimePoint readAt;
    };

    void on(TimePoint now, const ConfigTick &tick);
    void on(TimePoint now, const ConfigRead &read);
    void on(TimePoint now, const ConfigReadFailed &failure);
    void on(TimePoint now, const SnapshotAppended &);
    void on(TimePoint now, const SnapshotAppendFailed &);
    void on(TimePoint now, const PeerVersionReceived &heard);
    void on(TimePoint now, const PeerConfigFetched &fetched);
    void on(TimePoint now, const PeerFetchFailed &failed);

    void restartSearch(TimePoint now, std::optional<std::uint64_t> earliest);
    void handleDecisions(const std::vector<ConfigDecision> &decisions);
    void offerPeerState(TimePoint now);
    void keepAsFallback(const ConfigStateMachine &stateMachine);
    void updateInForce(TimePoint now, std::vector<ConfigAction> &actions);
    void planLogOperation(TimePoint now, std::vector<ConfigAction> &actions);
    void planPeerFetch(TimePoint now, std::vector<ConfigAction> &actions);
    void updateAlarms(TimePoint now, std::vector<ConfigAction> &actions);
    [[nodiscard]] const ConfigStateMachine *newestState() const;
    [[nodiscard]] bool needsSnapshot(TimePoint now) const;
    [[nodiscard]] milliseconds spread(milliseconds range) const;

    Settings settings_;
    ConfigReader reader_;
    std::optional<ConfigStateMachine> fallback_; ///< Newest state from a peer or from before the log expired, while the log is behind it.
    std::uint64_t announcedVersion_ = 0;
    bool hasAnnounced_ = false;
    bool isReady_ = false;

    bool logBusy_ = false;
    TimePoint nextReadAt_;
    TimePoint nextAppendAt_;
    std::deque<ReadRecord> dependencies_; ///< Records that a new reader needs, oldest first: those after the newest snapshot's state.
    std::optional<TimePoint> missingSnapshotDue_;
    WallTime wallNow_;
    bool hasMismatch_ = false;

    std::map<VmId, std::uint64_t> peerVersions_;
    std::uint64_t heardVersion_ = 0;
    std::optional<TimePoint> behindSince_;
    bool peerBusy_ = false;
    TimePoint nextFetchAt_;
    std::size_t fetches_ = 0;
    std::set<std::string> alarms_;
};

}
