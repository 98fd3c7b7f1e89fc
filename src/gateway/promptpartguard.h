#pragma once

#include "base/metrics.h"
#include "gateway/crashattribution.h"
#include "gateway/crashconfirmation.h"
#include "gateway/endpointconnectionpool.h"
#include "gateway/endpointdirectory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Lentillock
{

/// Connects the crash attribution with the requests of this VM: confirms crashes, logs and counts blocks, and tells requests in progress of them.
class PromptPartGuard
{
public:
    using Subscription = std::uint64_t;
    using CrashCallback = std::function<void(bool hasCrashed)>;

    PromptPartGuard(boost::asio::io_context &context, Metrics &metrics, const EndpointConnectionPool &connections, Duration initialBlockTime);

    /// Checks whether @p endpoint has crashed while the run @p runId of @p prompt was at @p stage, and records it if so. Calls @p callback with the result.
    void confirmCrash(
        const EndpointRecord &endpoint, const std::string &runId, const PromptIdentity &prompt, CrashedRunStage stage, TimePoint at, CrashCallback callback);

    /// Records that a run of @p prompt has produced its first event.
    void recordStart(const PromptIdentity &prompt, TimePoint now);

    /// Calls @p callback whenever a block comes into force, until unsubscribe().
    Subscription subscribe(std::function<void()> callback);
    void unsubscribe(Subscription subscription);

    /// Logs and counts the changes of blocks, and calls the subscribers.
    void reportChanges(TimePoint now);

    /// Discards what is too old. Called periodically.
    void expire(TimePoint now);

    [[nodiscard]] CrashAttribution &attribution();
    [[nodiscard]] const CrashAttribution &attribution() const;

private:
    Metrics &metrics_;
    const EndpointConnectionPool &connections_;
    CrashAttribution attribution_;
    CrashConfirmation confirmation_;
    std::map<Subscription, std::function<void()>> subscribers_;
    Subscription nextSubscription_ = 1;
};

}
