#pragma once

#include "base/metrics.h"
#include "gateway/crashattribution.h"
#include "gateway/crashconfirmation.h"
#include "gateway/endpointconnectionpool.h"
#include "gateway/endpointdirectory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Lentillock
{

/// A run whose connection the endpoint has closed before its first event.
struct LostRun {
    EndpointRecord endpoint;
    std::string id; ///< Identifies the run in the fleet.
    PromptIdentity prompt;
    CrashedRunStage stage = CrashedRunStage::ResponseStart;
    TimePoint at{};
    bool isEndpointLeaving = false; ///< The end of the endpoint is planned, so that its removal from the list shows no crash.

    auto operator<=>(const LostRun &) const = default;
};

/// Connects the crash attribution with the requests of this VM: confirms crashes, logs and counts blocks, and tells requests in progress of them.
class PromptPartGuard
{
public:
    using Subscription = std::uint64_t;
    using CrashCallback = std::function<void(bool hasCrashed)>;

    PromptPartGuard(boost::asio::io_context &context, Metrics &metrics, const EndpointConnectionPool &connections, Duration initialBlockTime);

    /// Checks whether the endpoint of @p run has crashed, and records it if so. Calls @p callback with the result. An endpoint of which this is not known yet
    /// is remembered for some seconds, in which the methods below may show it.
    void confirmCrash(const LostRun &run, CrashCallback callback);

    /// Called when @p endpoint refuses connections, or another endpoint answers at its address.
    void onEndpointGone(const EndpointRecord &endpoint, TimePoint now);
    /// Called when the list of endpoints has changed.
    void onEndpointsChanged(const EndpointDirectory &directory, TimePoint now);

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
    void recordCrash(const LostRun &run, TimePoint now);
    /// Records a crash for those of the unconfirmed runs for which @p isEnded is true. @p evidence is logged.
    void recordUnconfirmed(const std::function<bool(const LostRun &)> &isEnded, std::string_view evidence, TimePoint now);

    Metrics &metrics_;
    const EndpointConnectionPool &connections_;
    CrashAttribution attribution_;
    CrashConfirmation confirmation_;
    std::map<Subscription, std::function<void()>> subscribers_;
    Subscription nextSubscription_ = 1;
    std::deque<LostRun> unconfirmedRuns_; ///< Oldest first.
};

}
