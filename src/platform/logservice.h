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
    Unavailable, ///< The operation had no effect.
    OutcomeUnknown, ///< The operation may have taken effect.
    Expired, ///< The offset precedes the oldest retained record.
};

/// Additional error object of LogError::Expired: the oldest retained offset, if the service reported it.
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
    std::uint64_t next = 0; ///< Offset at which the next read continues.
    std::uint64_t earliest = 0; ///< Oldest retained offset.

    bool operator==(const LogBatch &) const = default;
};

/// The platform's append-only log. Calls block, so each thread uses its own instance. Errors are LogError values.
class LogService
{
public:
    LogService() = default;
    LogService(const LogService &) = delete;
    LogService &operator=(const LogService &) = delete;
    virtual ~LogService() = default;

    /// Appends @p records in order, with no other records in between, and returns the offset of the first.
    virtual leaf::result<std::uint64_t> append(const std::string &stream, const std::vector<std::string> &records, milliseconds timeout) = 0;

    /// Reads up to @p maxRecords records from offset @p from on. Waits up to @p wait if there is none yet.
    virtual leaf::result<LogBatch> read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, milliseconds wait, milliseconds timeout) = 0;
};

}
