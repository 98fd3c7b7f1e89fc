#pragma once

#include "base/timerservice.h"
#include "gateway/gatewaycontext.h"
#include "gateway/nextstep.h"
#include "gateway/placement.h"
#include "gateway/relayedstream.h"
#include "gateway/requestadmission.h"
#include "gateway/reservationset.h"
#include "gateway/responsesink.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Lentillock
{

/// A completely received request.
struct CallerRequest {
    HttpHead head;
    std::string body;
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

    /// Called when the caller has disconnected. Closes the connection to the endpoint, which makes the endpoint stop.
    void onCallerDisconnected();

private:
    /// One attempt to have an endpoint serve the request.
    struct Attempt {
        EndpointRecord endpoint;
        HttpClientConnectionPointer connection;
        FleetLoad::Ticket loadTicket = 0;
        std::vector<FleetLoad::Ticket> helperLoadTickets;
        Placement placement;
        std::unique_ptr<ReservationSet> reservations;
        TimePoint startedAt;
        bool isSent = false;
        bool hasPartialHead = false; ///< The connection ended inside the head of the response.
        bool hasEvent = false; ///< An event of this attempt has arrived.
        bool hasEnded = false; ///< The response has ended with its connection, without an event.
        bool isRelayed = false; ///< The response is a successful stream, whose events are relayed as they arrive.
        HttpHead head;
        ResponseHead response;
        std::string body;
        EventSplitter events;
    };

    void admitWhenReady(TimePoint now);
    bool admit(TimePoint now);

    /// Places the request and sends it to the chosen endpoint, or holds, rejects or fails it.
    void startAttempt(TimePoint now);

    /// Rejects the request if it contains prompt parts that crash endpoints. Returns whether it did.
    bool rejectIfBlocked(TimePoint now);
    void sendBlockedResponse(Duration retryAfter);

    /// Ends the request if it is waiting or has been sent, and its parts are blocked since.
    void onPartsBlocked();

    /// Postpones the attempt if the endpoints have to process smaller prompts first or may accept a long prompt later. Returns whether it did.
    bool holdIfNeeded(const Placement &placement, TimePoint now);
    void sendRequest(TimePoint now);
    std::vector<PlacementCandidate> candidates(TimePoint now) const;
    Placement place(TimePoint now) const;
    ResponseDisposition onHead(const HttpHead &head);
    void onBody(std::string_view bytes);
    void onFinished();
    void finishStream(TimePoint now);
    void onFailed(ExchangeFailure failure);

    /// Whether the attempt ended at the start of its response, when a part of the prompt may have crashed the endpoint.
    [[nodiscard]] bool endedAtStart() const;
    /// Finds out whether the endpoint has crashed before the request is sent again.
    void confirmCrash();
    void relayEvents(std::string_view bytes);
    void onAttemptFailed(AttemptOutcome outcome, bool mayHaveRun);
    void startInactivityTimer(TimePoint now);
    void retryHeldRequest(TimePoint now);
    void onInactivityTimeout(TimePoint now);
    void onDeadline(TimePoint now);

    /// Calls @p method at @p due, unless the exchange has been destroyed by then.
    TimerService::TimerId scheduleAt(TimePoint due, void (RequestExchange::*method)(TimePoint));

    /// Closes the connection of the attempt and removes its load and reservations.
    void endAttempt();
    void finish(std::string_view outcome);
    void sendErrorResponse(unsigned status, std::string_view code, std::string_view message, std::optional<milliseconds> retryAfter);

    /// Whether the request may run more than once, because its route is idempotent or its stream can be resumed.
    [[nodiscard]] bool allowsMultipleRuns() const;
    [[nodiscard]] Duration inactivityTimeout() const;
    [[nodiscard]] std::string runId() const;

    GatewayContext &context_;
    ResponseSink &responseSink_;
    CallerRequest request_;
    CallerHead caller_;
    ServingPlanPointer plan_;
    const RouteEntry *route_ = nullptr;
    const ServiceEntry *service_ = nullptr;
    WorkspaceId workspace_;
    TimePoint deadline_{};
    TimerService::TimerId deadlineTimer_ = 0;
    TimerService::TimerId inactivityTimer_ = 0;
    std::unique_ptr<Attempt> attempt_;
    std::set<EndpointId> triedEndpoints_;
    RetryState retryState_;
    bool finished_ = false;
    RelayedStream stream_;
    bool wasHeld_ = false;
    bool isTrial_ = false; ///< The request is sent although its parts are blocked, to find out whether they still crash endpoints.
    int startCrashes_ = 0; ///< Attempts that ended with a crash of the endpoint at the start of the response.
    PromptPartGuard::Subscription blockSubscription_ = 0;
};

}
