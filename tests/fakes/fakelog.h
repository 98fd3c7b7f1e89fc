#pragma once

#include "platform/logservice.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lentillock
{

/// In-memory append-only log with a manually set clock. It injects no faults; a test models them around its calls.
class FakeLog
{
public:
    void setTime(WallTime time)
    {
        time_ = std::max(time_, time);
    }

    std::uint64_t append(const std::string &stream, const std::vector<std::string> &data)
    {
        std::vector<LogRecord> &records = streams_[stream].records;
        const std::uint64_t first = next(stream);
        for (const std::string &item : data) {
            records.push_back({next(stream), time_, item});
        }
        return first;
    }

    [[nodiscard]] LogBatch read(const std::string &stream, std::uint64_t from, std::size_t maxRecords)
    {
        LogBatch batch;
        const std::vector<LogRecord> &records = streams_[stream].records;
        auto record = std::ranges::lower_bound(records, from, {}, &LogRecord::offset);
        for (; record != records.end() && batch.records.size() < maxRecords; ++record) {
            batch.records.push_back(*record);
        }
        batch.next = batch.records.empty() ? std::max(from, next(stream)) : batch.records.back().offset + 1;
        batch.earliest = streams_[stream].earliest;
        return batch;
    }

    /// Removes the records that are older than @p retention and moves the earliest offset past them.
    void expire(const std::string &stream, milliseconds retention)
    {
        Stream &state = streams_[stream];
        std::erase_if(state.records, [&](const LogRecord &record) {
            const bool old = record.time < time_ - retention;
            state.earliest = old ? std::max(state.earliest, record.offset + 1) : state.earliest;
            return old;
        });
    }

private:
    struct Stream {
        std::vector<LogRecord> records;
        std::uint64_t earliest = 1;
    };

    std::uint64_t next(const std::string &stream)
    {
        const Stream &state = streams_[stream];
        return state.records.empty() ? state.earliest : state.records.back().offset + 1;
    }

    WallTime time_;
    std::map<std::string, Stream> streams_;
};

}
