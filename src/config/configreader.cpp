#include "config/configreader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lentillock
{

ConfigReader::ConfigReader(std::vector<ConfigRules> rules)
    : rules_(std::move(rules))
{
}

std::uint64_t ConfigReader::nextOffset() const
{
    return nextOffset_;
}

std::vector<ConfigDecision> ConfigReader::handleBatch(const LogBatch &batch)
{
    if (nextOffset_ == BeyondEnd) {
        handleExpired(batch.earliest);
        return {};
    }
    if (batch.earliest > nextOffset_) {
        handleExpired(batch.earliest);
        return {};
    }
    if (!stateMachine_ && searchStartOffset_ == FirstOffset) {
        stateMachine_.emplace(rules_);
    }
    std::vector<ConfigDecision> decisions;
    for (const LogRecord &record : batch.records) {
        if (record.offset < nextOffset_) {
            continue;
        }
        nextOffset_ = record.offset + 1;
        if (stateMachine_) {
            decisions.push_back(stateMachine_->apply(record));
        } else {
            std::vector<ConfigDecision> found = searchSnapshot(record);
            decisions.insert(decisions.end(), std::make_move_iterator(found.begin()), std::make_move_iterator(found.end()));
        }
    }
    isAtEnd_ = batch.records.size() < MaxRecords;
    return decisions;
}

std::vector<ConfigDecision> ConfigReader::searchSnapshot(const LogRecord &record)
{
    pendingRecords_.push_back(record);
    const ConfigRecord decoded = decodeRecord(record.data, [](std::uint64_t) { return true; });
    const auto *snapshot = std::get_if<SnapshotRecord>(&decoded);
    if (snapshot == nullptr || snapshot->snapshot.throughOffset >= record.offset) {
        return {};
    }
    if (snapshot->snapshot.throughOffset + 1 < searchStartOffset_) {
        // Records between the snapshot's state and the start of the log have expired.
        return {};
    }
    std::optional<ConfigStateMachine> stateMachine = ConfigStateMachine::restore(record.data, findings_, rules_);
    return stateMachine ? initializeFrom(std::move(*stateMachine)) : std::vector<ConfigDecision>();
}

std::vector<ConfigDecision> ConfigReader::initializeFrom(ConfigStateMachine stateMachine)
{
    stateMachine_ = std::move(stateMachine);
    std::vector<ConfigDecision> decisions;
    for (const LogRecord &record : std::exchange(pendingRecords_, {})) {
        if (record.offset >= stateMachine_->nextOffset()) {
            decisions.push_back(stateMachine_->apply(record));
        }
    }
    return decisions;
}

void ConfigReader::handleExpired(std::optional<std::uint64_t> earliest)
{
    stateMachine_.reset();
    pendingRecords_.clear();
    isAtEnd_ = false;
    searchStartOffset_ = earliest.value_or(BeyondEnd);
    nextOffset_ = searchStartOffset_;
}

std::vector<ConfigDecision> ConfigReader::tryInitializeFrom(const ConfigStateMachine &stateMachine)
{
    if (!lacksInitialState() || stateMachine.nextOffset() < searchStartOffset_) {
        return {};
    }
    nextOffset_ = std::max(nextOffset_, stateMachine.nextOffset());
    return initializeFrom(stateMachine);
}

const ConfigStateMachine *ConfigReader::stateMachine() const
{
    return stateMachine_ ? &*stateMachine_ : nullptr;
}

bool ConfigReader::isAtEnd() const
{
    return isAtEnd_;
}

bool ConfigReader::lacksInitialState() const
{
    return isAtEnd_ && !stateMachine_;
}

const Findings &ConfigReader::findings() const
{
    return findings_;
}

}
