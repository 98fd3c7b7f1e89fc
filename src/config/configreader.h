#pragma once

#include "base/findings.h"
#include "config/configstatemachine.h"
#include "platform/logservice.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Lentillock
{

/// Finds a start in the log stream "config" and folds the stream from there.
///
/// While nothing has expired the start is the first record. Otherwise it is the first snapshot whose tail is still in the log; until
/// one has been found, records are kept back.
class ConfigReader
{
public:
    /// Records that are asked for in one read.
    static constexpr std::size_t MaxRecords = 500;

    /// A read from this offset serves only to learn the oldest offset that is kept.
    static constexpr std::uint64_t BeyondEnd = 1ULL << 62U;

    explicit ConfigReader(std::vector<ConfigRules> rules = knownConfigRules());

    /// Offset of the next read.
    [[nodiscard]] std::uint64_t nextOffset() const;

    /// Returns the decisions on all records that were judged.
    std::vector<ConfigDecision> handleBatch(const LogBatch &batch);

    /// The offset of the last read has expired. @p earliest is empty when the service has not told it.
    void handleExpired(std::optional<std::uint64_t> earliest);

    /// Continues from @p stateMachine, which came from a peer, if the log still has all later records and the log offers no start itself.
    std::vector<ConfigDecision> offerStart(const ConfigStateMachine &stateMachine);

    /// Null until a start has been found.
    [[nodiscard]] const ConfigStateMachine *stateMachine() const;

    /// The end of the log was reached by the last read.
    [[nodiscard]] bool isAtEnd() const;

    /// The whole log was read and offers no start.
    [[nodiscard]] bool lacksInitialState() const;

    /// Problems of snapshots that could not be used.
    [[nodiscard]] const Findings &findings() const;

private:
    std::vector<ConfigDecision> search(const LogRecord &record);
    std::vector<ConfigDecision> startFrom(ConfigStateMachine stateMachine);

    std::vector<ConfigRules> rules_;
    std::optional<ConfigStateMachine> stateMachine_;
    std::uint64_t nextOffset_ = FirstOffset;
    std::uint64_t searchStart_ = FirstOffset;
    std::vector<LogRecord> pending_; ///< Records read before a start was found.
    bool isAtEnd_ = false;
    Findings findings_;
};

}
