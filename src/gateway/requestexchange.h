#pragma once

#include "base/timerservice.h"
#include "gateway/answersink.h"
#include "gateway/gatewaycontext.h"
#include "gateway/nextstep.h"
#include "gateway/placement.h"
#include "gateway/relayedstream.h"
#include "gateway/requestadmission.h"
#include "gateway/reservationset.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Lentillock
{

/// A request that has been read whole.
struct CallerRequest {
    HttpHead head;
    std::string body;
    TimePoint receivedAt;
};

/// Answers one request of a caller: matches it against the plan, sends it to endpoints, relays the answer, and ends by the deadline.
class RequestExchange : public std::enable_shared_from_this<RequestExchange>
{
public:
    RequestExchange(GatewayContext &context, AnswerSink &sink, CallerRequest request);
    ~RequestExchange();
    RequestExchange(const RequestExchange &) = delete;
    RequestExchange &operator=(const RequestExchange &) = delete;

    void start();

    /// The caller has gone; its endpoint is told to stop.
    void callerGone();

private:
    /// One send of the request to an endpoint.
    struct Send {
        EndpointRecord endpoint;
        HttpChannelPointer channel;
        FleetLoad::Ticket load = 0;
        std::vector<FleetLoad::Ticket> helperLoads;
        Placement placement;
        std::unique_ptr<ReservationSet> reservations;
        TimePoint sentAt;
        bool written = false;
        bool isRelayed = false; ///< The head of a success has arrived.
        HttpHead head;
        AnswerHead answer;
        std::string body;
        EventSplitter events;
    };

    void admitWhenReady(TimePoint now);
    bool admit(TimePoint now);
    void send(TimePoint now);
    bool hold(const Placement &placement, TimePoint now);
    void transmit(TimePoint now);
    std::vector<PlacementCandidate> candidates(TimePoint now) const;
    Placement place(TimePoint now) const;
    AnswerDisposition onHead(const HttpHead &head);
    void onBody(std::string_view bytes);
    void onFinished();
    void onFailed(ChannelFailure failure);
    void relayEvents(std::string_view bytes);
    void sendEnded(SendOutcome outcome, bool mayHaveRun);
    void armSilenceTimer(TimePoint now);
    void sendHeld(TimePoint now);
    void onSilence(TimePoint now);
    void onDeadline(TimePoint now);

    /// Calls @p step at @p due, unless the exchange is gone by then.
    TimerService::Subscription callAt(TimePoint due, void (RequestExchange::*step)(TimePoint));
    void closeSend();
    void finish(std::string_view outcome);
    void refuse(unsigned status, std::string_view code, std::string_view message, std::optional<milliseconds> retryAfter);
    [[nodiscard]] bool mayRepeat() const;
    [[nodiscard]] Duration silenceLimit() const;

    GatewayContext &context_;
    AnswerSink &sink_;
    CallerRequest request_;
    CallerHead caller_;
    ServingPlanPointer plan_;
    const RouteEntry *route_ = nullptr;
    const ServiceEntry *service_ = nullptr;
    WorkspaceId workspace_;
    TimePoint deadline_{};
    TimerService::Subscription deadlineTimer_ = 0;
    TimerService::Subscription silenceTimer_ = 0;
    std::unique_ptr<Send> send_;
    std::set<EndpointId> tried_;
    RetryState facts_;
    bool finished_ = false;
    RelayedStream stream_;
    bool held_ = false;
};

}
