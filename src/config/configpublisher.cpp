#include "config/configpublisher.h"

#include <utility>

namespace Lentillock
{

ConfigPublisher::ConfigPublisher(TimePoint now, PublishRecord record, std::optional<std::uint64_t> base, Settings settings)
    : record_(std::move(record))
    , base_(base)
    , settings_(settings)
    , deadline_(now + settings.timeout)
    , nextOperationAt_(now)
{
}

std::vector<PublishAction> ConfigPublisher::handle(TimePoint now, const PublishInput &input)
{
    if (isResultReturned_) {
        return {};
    }
    std::visit([&](const auto &message) { on(now, message); }, input);
    if (!result_ && now >= deadline_) {
        finish(mayBeAppended_ ? PublishOutcome::Unknown : PublishOutcome::NotPublished);
    }
    if (result_) {
        isResultReturned_ = true;
        return {*result_};
    }
    if (isOperationPending_ || now < nextOperationAt_) {
        return {};
    }
    isOperationPending_ = true;
    return {nextOperation(now)};
}

void ConfigPublisher::on(TimePoint, const PublishTick &)
{
}

void ConfigPublisher::on(TimePoint now, const PublishRead &read)
{
    isOperationPending_ = false;
    nextOperationAt_ = now;
    for (ConfigDecision &decision : reader_.handleBatch(read.batch)) {
        if (result_ || decision.record.id != record_.id) {
            continue;
        }
        const bool wasAccepted = decision.verdict == ConfigVerdict::Accepted;
        const bool isConflict = decision.verdict == ConfigVerdict::Conflict;
        finish(wasAccepted ? PublishOutcome::Accepted : isConflict ? PublishOutcome::Conflict : PublishOutcome::Invalid, std::move(decision));
    }
    if (result_ || reader_.stateMachine() == nullptr) {
        return;
    }
    if (reader_.stateMachine()->unknownRulesVersion()) {
        finish(mayBeAppended_ ? PublishOutcome::Unknown : PublishOutcome::NewerRules);
    } else if (reader_.isAtEnd() && !mayBeAppended_) {
        validateBeforeAppend();
    }
}

void ConfigPublisher::validateBeforeAppend()
{
    ConfigStateMachine stateMachine = *reader_.stateMachine();
    record_.rulesVersion = stateMachine.state().rulesVersion;
    if (!base_) {
        // Determined only once, so that a later change by another operator results in a conflict.
        base_ = stateMachine.section(record_.section).version;
    }
    record_.base = *base_;
    // Apply the record to a copy of the state first, so that records that would be rejected are not appended.
    ConfigDecision decision = stateMachine.apply({stateMachine.nextOffset(), WallTime(), encodeRecord(record_)});
    decision.offset = 0;
    if (decision.verdict == ConfigVerdict::Conflict) {
        finish(PublishOutcome::Conflict, std::move(decision));
    } else if (decision.verdict != ConfigVerdict::Accepted) {
        finish(PublishOutcome::Invalid, std::move(decision));
    } else {
        isValidated_ = true;
    }
}

void ConfigPublisher::on(TimePoint now, const PublishReadFailed &failure)
{
    isOperationPending_ = false;
    nextOperationAt_ = now + settings_.retryDelay;
    if (failure.error == LogError::Expired) {
        reader_.handleExpired(failure.earliest);
        isValidated_ = false;
    }
}

void ConfigPublisher::on(TimePoint now, const PublishAppended &)
{
    isOperationPending_ = false;
    nextOperationAt_ = now;
    retryAppendAt_.reset();
}

void ConfigPublisher::on(TimePoint now, const PublishAppendFailed &failure)
{
    isOperationPending_ = false;
    nextOperationAt_ = now + settings_.retryDelay;
    if (failure.error == LogError::OutcomeUnknown) {
        retryAppendAt_ = now + settings_.appendRetryDelay;
        return;
    }
    if (retryAppendAt_) {
        // The outcome of an earlier append is still unknown.
        retryAppendAt_ = now + settings_.retryDelay;
        return;
    }
    mayBeAppended_ = false;
    isValidated_ = false;
}

PublishAction ConfigPublisher::nextOperation(TimePoint now)
{
    const bool isFirstAppend = isValidated_ && !mayBeAppended_;
    const bool isAppendRetry = retryAppendAt_ && now >= *retryAppendAt_ && reader_.isAtEnd();
    if (isFirstAppend || isAppendRetry) {
        mayBeAppended_ = true;
        return PublishAppend{encodeRecord(record_)};
    }
    return PublishReadLog{reader_.nextOffset(), ConfigReader::MaxRecords, reader_.isAtEnd() && mayBeAppended_ ? settings_.longPollTimeout : 0ms};
}

void ConfigPublisher::finish(PublishOutcome outcome, ConfigDecision decision)
{
    result_ = PublishDone{outcome, std::move(decision)};
}

}
