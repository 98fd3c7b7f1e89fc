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
    if (isReported_) {
        return {};
    }
    std::visit([&](const auto &message) { on(now, message); }, input);
    if (!done_ && now >= deadline_) {
        finish(mayBeAppended_ ? PublishOutcome::Unknown : PublishOutcome::NotPublished);
    }
    if (done_) {
        isReported_ = true;
        return {*done_};
    }
    if (busy_ || now < nextOperationAt_) {
        return {};
    }
    busy_ = true;
    return {nextOperation(now)};
}

void ConfigPublisher::on(TimePoint, const PublishTick &)
{
}

void ConfigPublisher::on(TimePoint now, const PublishRead &read)
{
    busy_ = false;
    nextOperationAt_ = now;
    for (ConfigDecision &decision : reader_.handleBatch(read.batch)) {
        if (done_ || decision.record.id != record_.id) {
            continue;
        }
        const bool wasAccepted = decision.verdict == ConfigVerdict::Accepted;
        const bool isConflict = decision.verdict == ConfigVerdict::Conflict;
        finish(wasAccepted ? PublishOutcome::Accepted : isConflict ? PublishOutcome::Conflict : PublishOutcome::Invalid, std::move(decision));
    }
    if (done_ || reader_.stateMachine() == nullptr) {
        return;
    }
    if (reader_.stateMachine()->unknownRulesVersion()) {
        finish(mayBeAppended_ ? PublishOutcome::Unknown : PublishOutcome::NewerRules);
    } else if (reader_.isAtEnd() && !mayBeAppended_) {
        checkBeforeAppend();
    }
}

void ConfigPublisher::checkBeforeAppend()
{
    ConfigStateMachine stateMachine = *reader_.stateMachine();
    record_.rulesVersion = stateMachine.state().rulesVersion;
    if (!base_) {
        // Fixed at the first read: a later change by another operator must end in a conflict.
        base_ = stateMachine.section(record_.section).version;
    }
    record_.base = *base_;
    // The verdict on a copy spares the log records that are bound to be refused.
    ConfigDecision decision = stateMachine.apply({stateMachine.nextOffset(), WallTime(), encodeRecord(record_)});
    decision.offset = 0;
    if (decision.verdict == ConfigVerdict::Conflict) {
        finish(PublishOutcome::Conflict, std::move(decision));
    } else if (decision.verdict != ConfigVerdict::Accepted) {
        finish(PublishOutcome::Invalid, std::move(decision));
    } else {
        isChecked_ = true;
    }
}

void ConfigPublisher::on(TimePoint now, const PublishReadFailed &failure)
{
    busy_ = false;
    nextOperationAt_ = now + settings_.retryDelay;
    if (failure.error == LogError::Expired) {
        reader_.handleExpired(failure.earliest);
        isChecked_ = false;
    }
}

void ConfigPublisher::on(TimePoint now, const PublishAppended &)
{
    busy_ = false;
    nextOperationAt_ = now;
    appendAgainAt_.reset();
}

void ConfigPublisher::on(TimePoint now, const PublishAppendFailed &failure)
{
    busy_ = false;
    nextOperationAt_ = now + settings_.retryDelay;
    if (failure.error == LogError::OutcomeUnknown) {
        appendAgainAt_ = now + settings_.repeatDelay;
        return;
    }
    if (appendAgainAt_) {
        // An earlier append may still appear.
        appendAgainAt_ = now + settings_.retryDelay;
        return;
    }
    mayBeAppended_ = false;
    isChecked_ = false;
}

PublishAction ConfigPublisher::nextOperation(TimePoint now)
{
    const bool isFirst = isChecked_ && !mayBeAppended_;
    const bool isRepeat = appendAgainAt_ && now >= *appendAgainAt_ && reader_.isAtEnd();
    if (isFirst || isRepeat) {
        mayBeAppended_ = true;
        return PublishAppend{encodeRecord(record_)};
    }
    return PublishReadLog{reader_.nextOffset(), ConfigReader::MaxRecords, reader_.isAtEnd() && mayBeAppended_ ? settings_.longPoll : 0ms};
}

void ConfigPublisher::finish(PublishOutcome outcome, ConfigDecision decision)
{
    done_ = PublishDone{outcome, std::move(decision)};
}

}
