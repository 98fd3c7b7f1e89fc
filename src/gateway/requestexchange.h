#pragma once

#include "base/timerservice.h"
#include "gateway/endpointattempt.h"
#include "gateway/gatewaycontext.h"
#include "gateway/nextstep.h"
#include "gateway/placement.h"
#include "gateway/relayedstream.h"
#include "gateway/requestadmission.h"
#include "gateway/responsesink.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lentillock
{

/// A completely received request.
struct CallerRequest {
    HttpHead head;
    std::shared_ptr<const std::string> body; ///< Never null.
    TimePoint receivedAt;
};

/// Handles one request of a caller: selects a route of the serving plan, forwards the request to endpoints, relays the response, and
/// completes by the deadline.
class RequestExchange : public std::enable_shared_from_this<RequestExchange>
{
public:
    RequestExchange(GatewayContext &context, ResponseSink &sink, CallerRequest request);
    ~RequestExchange();
    RequestExchange(const RequestExchange &) = delete;
    RequestExchange &operator=(const RequestExchange &) = delete;

    void start();

    /// Rejects the request, instead of start(), because this VM has no memory for it.
    void rejectForMemory();

    /// Called when this VM stops before the request has ended. The caller gets an error response, unless its response has begun.
    void onVmStopping();

    /// Called when the caller has disconnected. Closes the connection to the endpoint, which makes the endpoint stop.
    void onCallerDisconnected();

private:
    void admitWhenReady(TimePoint now);
    bool admit(TimePoint now);

    /// Places the request and sends it to the chosen endpoint, or holds, rejects or fails it.
    void startAttempt(TimePoint now);

    /// Rejects the request if its prompt, or parts of it, crash endpoints. Returns whether it did.
    bool rejectIfBlocked(TimePoint now);
    void sendBlockedResponse(Duration retryAfter);

    /// Ends the request if it is waiting or has been sent, and its prompt is blocked since.
    void onPromptsBlocked();

    /// Postpones the attempt if the endpoints have to process smaller prompts first or may accept a long prompt later. Returns whether it did.
    bool holdIfNeeded(const Placement &placement, TimePoint now);
    void sendRequest(TimePoint now);
    std::vector<PlacementCandidate> candidates(TimePoint now) const;
    Placement place(TimePoint now) const;

    /// Handles what arrives for the attempt @p number from its connection, whether or not the attempt is the current one.
    HttpClientConnection::Handlers responseHandlers(int number);
    ResponseDisposition onHead(EndpointAttempt &attempt, const HttpHead &head);
    void onBody(EndpointAttempt &attempt, std::string_view bytes);
    /// Accounts for the memory that the response of @p attempt takes.
    void updateMemory(EndpointAttempt &attempt);
    /// Breaks off the response of the attempt @p number, because the responses and requests of this VM take too much memory.
    void onResponseEvicted(int number);
    void onFinished(EndpointAttempt &attempt);
    void onFailed(EndpointAttempt &attempt, ExchangeFailure failure);
    void relayEvents(EndpointAttempt &attempt, std::string_view bytes);
    void finishStream(EndpointAttempt &attempt, TimePoint now);

    /// Handles the loss of an attempt that may have crashed its endpoint.
    void onLostBeforeFirstEvent(EndpointAttempt &attempt, CrashedRunStage stage);

    /// Whether the end of @p endpoint is planned, or it has been removed from the list.
    [[nodiscard]] bool isLeaving(const EndpointRecord &endpoint) const;
    [[nodiscard]] LostRun lostRun(const EndpointAttempt &attempt, CrashedRunStage stage) const;

    /// Finds out whether the endpoint has crashed before the request is sent again.
    void confirmCrash(EndpointAttempt &attempt, CrashedRunStage stage);

    /// Ends @p attempt. The request goes on with another one if there is one, or can be started; otherwise the caller gets an error.
    void failAttempt(EndpointAttempt &attempt, AttemptOutcome outcome, bool mayHaveRun);

    /// Decides how to go on after the current attempt has failed or is silent, or none could be started.
    void onAttemptFailed(AttemptOutcome outcome, bool mayHaveRun);
    void logFailedAttempt(const EndpointAttempt &attempt, AttemptOutcome outcome, bool isRetried, TimePoint now);

    /// The attempt with this number, or null if it has ended.
    [[nodiscard]] EndpointAttempt *findAttempt(int number) const;
    /// Makes @p attempt, which may be silent, the current one. There must be no other current one.
    void makeCurrent(EndpointAttempt &attempt);
    /// Ends all attempts but @p attempt, whose response is relayed.
    void keepOnly(EndpointAttempt &attempt);
    void countRun(EndpointAttempt &attempt);
    /// Ends the silent attempts because the current endpoint has not rejected the request.
    void onRequestAccepted(TimePoint now);
    void startInactivityTimer(TimePoint now);
    void retryHeldRequest(TimePoint now);
    void onInactivityTimeout(TimePoint now);
    void onDeadline(TimePoint now);

    /// Calls @p method at @p due, unless the exchange has been destroyed by then.
    TimerService::TimerId scheduleAt(TimePoint due, void (RequestExchange::*method)(TimePoint));

    void endAttempts();
    void finish(std::string_view outcome);
    void sendErrorResponse(unsigned status, std::string_view code, std::string_view message, std::optional<milliseconds> retryAfter);

    /// Whether an endpoint may have run the request, or may be running it.
    [[nodiscard]] bool mayHaveRun() const;

    /// Whether the request may run more than once, because its route is idempotent or its stream can be resumed.
    [[nodiscard]] bool allowsMultipleRuns() const;
    [[nodiscard]] Duration inactivityTimeout() const;
    [[nodiscard]] std::string runId(const EndpointAttempt &attempt) const;

    GatewayContext &context_;
    ResponseSink &responseSink_;
    CallerRequest request_;
    CallerHead caller_;
    PromptIdentity prompt_;
    ServingPlanPointer plan_;
    const RouteEntry *route_ = nullptr;
    const ServiceEntry *service_ = nullptr;
    WorkspaceId workspace_;
    TimePoint deadline_{};
    TimerService::TimerId deadlineTimer_ = 0;
    TimerService::TimerId inactivityTimer_ = 0;
    TimerService::TimerId acceptanceTimer_ = 0;
    std::unique_ptr<EndpointAttempt> attempt_; ///< The current one; null while the request waits for an endpoint or for silent attempts only.
    /// Attempts whose endpoints have been silent for so long that another one is asked. They stay open until another one has taken the request over.
    std::vector<std::unique_ptr<EndpointAttempt>> silentAttempts_;
    std::set<EndpointId> triedEndpoints_;
    RetryState retryState_;
    bool finished_ = false;
    RelayedStream stream_;
    bool wasHeld_ = false;
    bool isTrial_ = false; ///< The request is sent although its parts are blocked, to find out whether they still crash endpoints.
    int startCrashes_ = 0; ///< Attempts that ended with a crash of the endpoint before their first event.
    PromptPartGuard::Subscription blockSubscription_ = 0;
};

}
