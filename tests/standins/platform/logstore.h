#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// In-memory log streams with limited retention.
class LogStore
{
public:
    struct Record {
        std::uint64_t offset = 0;
        WallTime time;
        std::string data;
    };

    struct Batch {
        std::vector<Record> records;
        std::uint64_t next = 0;
        std::uint64_t earliest = 0;
    };

    LogStore(std::size_t maxRecords, milliseconds maxAge);

    /// Returns the offset of the first appended record.
    std::uint64_t append(const std::string &stream, const std::vector<std::string> &data, WallTime now);

    /// Returns up to @p maxRecords records starting at @p from.
    ///
    /// If that offset has expired, the batch is empty and its earliest offset is above @p from.
    Batch read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, WallTime now);

private:
    struct Stream {
        std::deque<Record> records;
        std::uint64_t next = 1;
        WallTime lastTime;
    };

    void expire(Stream &stream, WallTime now) const;

    std::size_t maxRecords_;
    milliseconds maxAge_;
    std::map<std::string, Stream> streams_;
};

}
