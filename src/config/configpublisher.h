#pragma once

#include "base/time.h"
#include "config/configreader.h"
#include "platform/logservice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lentillock
{

// Inputs of ConfigPublisher.

/// Time has passed.
struct PublishTick {
};

struct PublishRead {
    LogBatch batch;
};

struct PublishReadFailed {
    LogError error = LogError::Unavailable;
    std::optional<std::uint64_t> earliest; ///< Oldest retained offset; only for LogError::Expired, if the service has reported it.
};

struct PublishAppended {
};

struct PublishAppendFailed {
    LogError error = LogError::OutcomeUnknown;
};

using PublishInput = std::variant<PublishTick, PublishRead, PublishReadFailed, PublishAppended, PublishAppendFailed>;

// Actions that ConfigPublisher requests of its caller. At most one is outstanding.

/// Requests that the caller read the log and report the result as PublishRead or PublishReadFailed.
struct PublishReadLog {
    std::uint64_t from = 0;
    std::size_t maxRecords = 0;
    milliseconds wait{0};

    bool operator==(const PublishReadLog &) const = default;
};

/// Requests that the caller append a record and report the result as PublishAppended or PublishAppendFailed.
struct PublishAppend {
    std::string data;

    bool operator==(const PublishAppend &) const = default;
};

enum class PublishOutcome {
    Accepted,
    Conflict,
    Invalid,
    NotPublished, ///< The log was not available before the timeout; the record has not been appended and will not be.
    Unknown, ///< The record may have been appended, but was not found in the log before the timeout.
    NewerRules, ///< The log has a record with a rules version that this binary does not support.
};

/// Reports the result to the caller. This is the last action.
struct PublishDone {
    PublishOutcome outcome = PublishOutcome::Unknown;
    /// Decision on the record, or the expected one if the record was rejected before the append. Set for Accepted, Conflict and Invalid only.
    ConfigDecision decision;

    bool operator==(const PublishDone &) const = default;
};

using PublishAction = std::variant<PublishReadLog, PublishAppend, PublishDone>;

/// Publishes one section.
///
/// Reads the log to its end, validates and appends a record, and reads on until it finds the record's id. An append with unknown outcome is
/// retried with the same id if the log has been read to its end without finding it; a second copy in the log has no effect.
class ConfigPublisher
{
public:
    struct Settings {
        milliseconds longPollTimeout = 1s; ///< Maximum wait of a read at the end of the log.
        milliseconds retryDelay = 200ms; ///< Delay between a failure and the next operation.
        milliseconds appendRetryDelay = 3s; ///< Delay before an append with unknown outcome is retried.
        milliseconds timeout = 30s; ///< Must be much shorter than ConfigStateMachine::DeduplicationWindow.
    };

    /// @p base is the version that the operator edited; without it, the version at the first complete read of the log is used. The base and
    /// rules version of @p record are overwritten.
    ConfigPublisher(TimePoint now, PublishRecord record, std::optional<std::uint64_t> base, Settings settings);

    /// Handles an input and returns the actions to perform; none after PublishDone.
    std::vector<PublishAction> handle(TimePoint now, const PublishInput &input);

private:
    void on(TimePoint now, const PublishTick &);
    void on(TimePoint now, const PublishRead &read);
    void on(TimePoint now, const PublishReadFailed &failure);
    void on(TimePoint now, const PublishAppended &);
    void on(TimePoint now, const PublishAppendFailed &failure);

    void validateBeforeAppend();
    [[nodiscard]] PublishAction nextOperation(TimePoint now);
    void finish(PublishOutcome outcome, ConfigDecision decision = {});

    PublishRecord record_;
    std::optional<std::uint64_t> base_;
    Settings settings_;
    TimePoint deadline_;
    ConfigReader reader_;
    bool isOperationPending_ = false;
    TimePoint nextOperationAt_;
    bool isValidated_ = false; ///< The record would be accepted by the state read so far.
    bool mayBeAppended_ = false; ///< An append is pending, has succeeded or has an unknown outcome.
    std::optional<TimePoint> retryAppendAt_; ///< Set while the outcome of an append is unknown.
    std::optional<PublishDone> result_;
    bool isResultReturned_ = false;
};

}
