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

// Messages to the publisher.

struct PublishTick {
};

struct PublishRead {
    LogBatch batch;
};

struct PublishReadFailed {
    LogError error = LogError::Unavailable;
    std::optional<std::uint64_t> earliest; ///< When expired and told by the service.
};

struct PublishAppended {
};

struct PublishAppendFailed {
    LogError error = LogError::OutcomeUnknown;
};

using PublishInput = std::variant<PublishTick, PublishRead, PublishReadFailed, PublishAppended, PublishAppendFailed>;

// Actions that the publisher asks its shell to carry out. At most one is outstanding.

struct PublishReadLog {
    std::uint64_t from = 0;
    std::size_t maxRecords = 0;
    milliseconds wait{0};

    bool operator==(const PublishReadLog &) const = default;
};

struct PublishAppend {
    std::string data;

    bool operator==(const PublishAppend &) const = default;
};

enum class PublishOutcome {
    Accepted,
    Conflict,
    Invalid,
    NotPublished, ///< The log could not be used in time, and no record was or will be appended.
    Unknown, ///< The record may have been appended, but was not found in time.
    NewerRules, ///< The log has records of rules that this program does not know.
};

/// The last action.
struct PublishDone {
    PublishOutcome outcome = PublishOutcome::Unknown;
    ConfigDecision decision; ///< What the fold decided, or would decide, unless the outcome says that this is not known.

    bool operator==(const PublishDone &) const = default;
};

using PublishAction = std::variant<PublishReadLog, PublishAppend, PublishDone>;

/// Publishes one section.
///
/// It reads the log to its end, appends a record and reads forward until it finds the record's id. An append whose outcome is unknown
/// is repeated with the same id once the log has been read without finding it; a second copy in the log changes nothing.
class ConfigPublisher
{
public:
    struct Settings {
        milliseconds longPoll = 1s; ///< Longest wait of a read at the end of the log.
        milliseconds retryDelay = 200ms; ///< Between a failure and the next attempt.
        milliseconds repeatDelay = 3s; ///< After an append of unknown outcome, before it is repeated.
        milliseconds timeout = 30s; ///< Must stay far below ConfigStateMachine::DeduplicationWindow.
    };

    /// Without @p base, the current version is the base. The rules version of @p record is set from the log.
    ConfigPublisher(TimePoint now, PublishRecord record, std::optional<std::uint64_t> base, Settings settings);

    /// After PublishDone no more actions are returned.
    std::vector<PublishAction> handle(TimePoint now, const PublishInput &input);

private:
    void on(TimePoint now, const PublishTick &);
    void on(TimePoint now, const PublishRead &read);
    void on(TimePoint now, const PublishReadFailed &failure);
    void on(TimePoint now, const PublishAppended &);
    void on(TimePoint now, const PublishAppendFailed &failure);

    void checkBeforeAppend();
    [[nodiscard]] PublishAction nextOperation(TimePoint now);
    void finish(PublishOutcome outcome, ConfigDecision decision = {});

    PublishRecord record_;
    std::optional<std::uint64_t> base_;
    Settings settings_;
    TimePoint deadline_;
    ConfigReader reader_;
    bool busy_ = false;
    TimePoint nextOperationAt_;
    bool isChecked_ = false; ///< The record would be accepted now.
    bool mayBeAppended_ = false; ///< An append has taken effect or may take effect.
    std::optional<TimePoint> appendAgainAt_;
    std::optional<PublishDone> done_;
    bool isReported_ = false;
};

}
