#pragma once

#include "platform/logservice.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Lentillock
{

/// In-memory LogService with a manually set clock and injectable faults.
class FakeLogService : public LogService
{
public:
    enum class AppendFault {
        None,
        LoseResponse, ///< The records are appended, but the outcome is reported as unknown.
        DropRequest, ///< Nothing is appended, and the outcome is reported as unknown.
        Delay, ///< The records are appended by flushDelayed(), and the outcome is reported as unknown.
    };

    leaf::result<std::uint64_t> append(const std::string &stream, const std::vector<std::string> &records, milliseconds) override
    {
        if (outage_) {
            return leaf::new_error(LogError::Unavailable);
        }
        const AppendFault fault = appendFaults_.empty() ? AppendFault::None : appendFaults_.front();
        if (!appendFaults_.empty()) {
            appendFaults_.pop_front();
        }
        if (fault == AppendFault::Delay) {
            delayed_.emplace_back(stream, records);
        }
        const std::uint64_t first = streams_[stream].history.size() + 1;
        if (fault == AppendFault::None || fault == AppendFault::LoseResponse) {
            add(stream, records);
        }
        if (fault != AppendFault::None) {
            return leaf::new_error(LogError::OutcomeUnknown);
        }
        return first;
    }

    leaf::result<LogBatch> read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, milliseconds, milliseconds) override
    {
        if (outage_) {
            return leaf::new_error(LogError::Unavailable);
        }
        const Stream &source = streams_[stream];
        if (from < source.earliest) {
            return leaf::new_error(LogError::Expired, EarliestOffset{source.earliest});
        }
        LogBatch batch;
        batch.earliest = source.earliest;
        batch.next = from;
        for (std::uint64_t offset = from; offset <= source.history.size() && batch.records.size() < maxRecords; ++offset) {
            batch.records.push_back(source.history[offset - 1]);
            batch.next = offset + 1;
        }
        return batch;
    }

    void setTime(WallTime time)
    {
        time_ = time;
    }

    void setOutage(bool outage)
    {
        outage_ = outage;
    }

    /// Queues a fault. The following appends consume one fault each, in order; appends during an outage consume none.
    void addAppendFault(AppendFault fault)
    {
        appendFaults_.push_back(fault);
    }

    void flushDelayed()
    {
        for (const auto &[stream, records] : std::exchange(delayed_, {})) {
            add(stream, records);
        }
    }

    /// Expires all records before @p offset.
    void expireBelow(const std::string &stream, std::uint64_t offset)
    {
        Stream &target = streams_[stream];
        target.earliest = std::max(target.earliest, std::min<std::uint64_t>(offset, target.history.size() + 1));
    }

    /// Expires all records that are older than @p age.
    void expireOlderThan(const std::string &stream, milliseconds age)
    {
        Stream &target = streams_[stream];
        while (target.earliest <= target.history.size() && target.history[target.earliest - 1].time + age < time_) {
            ++target.earliest;
        }
    }

    /// All records ever appended, including expired ones.
    [[nodiscard]] const std::vector<LogRecord> &history(const std::string &stream)
    {
        return streams_[stream].history;
    }

private:
    struct Stream {
        std::vector<LogRecord> history;
        std::uint64_t earliest = 1;
    };

    void add(const std::string &stream, const std::vector<std::string> &records)
    {
        Stream &target = streams_[stream];
        for (const std::string &data : records) {
            target.history.push_back({target.history.size() + 1, time_, data});
        }
    }

    WallTime time_{1h};
    bool outage_ = false;
    std::deque<AppendFault> appendFaults_;
    std::vector<std::pair<std::string, std::vector<std::string>>> delayed_;
    std::map<std::string, Stream> streams_;
};

}
