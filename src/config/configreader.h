#pragma once

#include "base/findings.h"
#include "config/configstatemachine.h"
#include "platform/logservice.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Lentillock
{

/// Computes the configuration state from the log stream "config", beginning at a suitable initial state.
///
/// If no record has expired, the initial state is empty and all records are applied. Otherwise it is the first snapshot in the log whose
/// later records are all retained; records that are read before such a snapshot are buffered.
class ConfigReader
{
public:
    /// Maximum number of records in one read.
    static constexpr std::size_t MaxRecords = 500;

    /// Offset above that of any record. A read from it returns no records, only the oldest retained offset.
    static constexpr std::uint64_t BeyondEnd = 1ULL << 62U;

    explicit ConfigReader(std::vector<ConfigRules> rules = knownConfigRules());

    /// Offset of the next read.
    [[nodiscard]] std::uint64_t nextOffset() const;

    /// Handles the result of the last read. Returns the decisions on all records that were applied.
    std::vector<ConfigDecision> handleBatch(const LogBatch &batch);

    /// Discards the state and searches for a new initial state, because the offset of the last read has expired. @p earliest is the oldest
    /// retained offset, if the service has reported it.
    void handleExpired(std::optional<std::uint64_t> earliest);

    /// Uses @p stateMachine as the initial state if the log lacks one and has retained all later records. Returns the decisions on the
    /// buffered records that were applied to it.
    std::vector<ConfigDecision> tryInitializeFrom(const ConfigStateMachine &stateMachine);

    /// Null until an initial state has been found.
    [[nodiscard]] const ConfigStateMachine *stateMachine() const;

    /// Whether the last read reached the end of the log.
    [[nodiscard]] bool isAtEnd() const;

    /// Whether the whole log has been read and contains neither its first record nor a usable snapshot.
    [[nodiscard]] bool lacksInitialState() const;

    /// Errors of snapshots that could not be restored.
    [[nodiscard]] const Findings &findings() const;

private:
    std::vector<ConfigDecision> searchSnapshot(const LogRecord &record);
    std::vector<ConfigDecision> initializeFrom(ConfigStateMachine stateMachine);

    std::vector<ConfigRules> rules_;
    std::optional<ConfigStateMachine> stateMachine_;
    std::uint64_t nextOffset_ = FirstOffset;
    std::uint64_t searchStartOffset_ = FirstOffset; ///< Oldest retained offset, at which the search for an initial state began.
    std::vector<LogRecord> pendingRecords_; ///< Records read before an initial state was found.
    bool isAtEnd_ = false;
    Findings findings_;
};

}
