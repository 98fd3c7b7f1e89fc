#pragma once

#include "base/time.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Lentillock
{

namespace leaf = boost::leaf;

enum class LogError {
    Unavailable, ///< The operation certainly had no effect.
    OutcomeUnknown, ///< The operation may or may not have taken effect.
    Expired, ///< The offset is older than the oldest record that is kept.
};

/// Accompanies LogError::Expired when the service has told which offset is the oldest that is kept.
struct EarliestOffset {
    std::uint64_t value = 0;
};

struct LogRecord {
    std::uint64_t offset = 0;
    WallTime time; ///< Assigned by the log service; never decreases within a stream.
    std::string data;

    auto operator<=>(const LogRecord &) const = default;
};

struct LogBatch {
    std::vector<LogRecord> records;
    std::uint64_t next = 0; ///< Offset to read from next.
    std::uint64_t earliest = 0; ///< Oldest offset that is kept.

    bool operator==(const LogBatch &) const = default;
};

/// The platform's append-only log. Calls block, so each task that uses it has its own instance. Errors are LogError values.
class LogService
{
public:
    LogService() = default;
    LogService(const LogService &) = delete;
    LogService &operator=(const LogService &) = delete;
    virtual ~LogService() = default;

    /// Appends records in order and without others in between; returns the offset of the first.
    virtual leaf::result<std::uint64_t> append(const std::string &stream, const std::vector<std::string> &records, milliseconds timeout) = 0;

    /// Reads from @p from; waits up to @p wait for the first record.
    virtual leaf::result<LogBatch> read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, milliseconds wait, milliseconds timeout) = 0;
};

}
