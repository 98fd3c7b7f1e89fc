#pragma once

#include "dispatch/answerassembler.h"
#include "dispatch/claimcontroller.h"
#include "dispatch/dispatchcontext.h"
#include "dispatch/failure.h"
#include "dispatch/groupcontroller.h"
#include "dispatch/requesttrace.h"
#include "dispatch/runstatetracker.h"
#include "dispatch/stalldetector.h"

#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// State machine of one request, from admission to its final action.
class RequestController
{
public:
    enum class State {
        Queued,
        Claiming,
        Reserving,
        Dispatching,
        Streaming,
        Done,
    };

    RequestController(DispatchContext &context, RequestSpecPtr spec, TimePoint now);

    /// Adds the request to the admission queue, or fails it if it would not be placed in time.
    void admit(TimePoint now);

    /// Fails the request without admitting it.
    void refuse(TimePoint now, const Failure &failure);

    [[nodiscard]] bool isReadyToPlace(TimePoint now) const;

    /// Selects an endpoint or a group and starts the claim, the reservations or the attempt. If none is available, the request stays queued.
    void place(TimePoint now);

    void handle(TimePoint now, const CallerDisconnected &message);
    void handle(TimePoint now, const ClaimDecided &message);
    void handle(TimePoint now, const AttemptAccepted &message);
    void handle(TimePoint now, const AttemptChunk &message);
    void handle(TimePoint now, const AttemptEnded &message);
    void handle(TimePoint now, const AttemptFailed &message);
    void handle(TimePoint now, const AttemptProbed &message);
    void handle(TimePoint now, const AllocationAnswered &message);
    void handle(TimePoint now, const PrefillAnswered &message);
    void handle(TimePoint now, const EndpointProbed &message);

    /// Performs the actions that are due at @p now.
    void advance(TimePoint now);
    void abort(TimePoint now);

    [[nodiscard]] TimePoint nextDue() const;
    [[nodiscard]] bool isDone() const;
    [[nodiscard]] bool hasFailedEndpoints() const;
    [[nodiscard]] const RequestSpec &spec() const;
    [[nodiscard]] boost::json::object toJson() const;
    [[nodiscard]] RequestTrace takeTrace();

private:
    struct CurrentAttempt {
        AttemptId id;
        EndpointId endpoint;
        std::string address;
        StallDetector stallDetector;
        std::optional<TimePoint> timeoutAt = std::nullopt; ///< Idempotent services only, because services cannot be probed.
        bool reachedEndpoint = false; ///< The endpoint is known to have received the attempt.
        TimePoint startedAt = {};
        std::optional<TimePoint> firstTokenAt = std::nullopt;
        std::uint64_t prefillTokensAhead = 0; ///< Prompt tokens this entry had in prefill on the endpoint when the attempt started.
        int status = 200;
        std::string contentType = {};
        std::optional<std::uint64_t> resumedGapPosition = std::nullopt; ///< Position of the last gap that caused a resumption.
    };

    void enqueue(TimePoint now, TimePoint earliestPlacement);
    [[nodiscard]] QueueEntry makeQueueEntry() const;
    void requestClaim(TimePoint now);
    void applyPlacement(TimePoint now, const RouteChoice &choice);
    void applyPlacement(TimePoint now, GroupPlan plan);
    void applyPlacement(TimePoint now, NotPlaced reason);
    void startAttempt(TimePoint now, StartAttempt start);
    void handleGroupProgress(TimePoint now, GroupController::Progress progress);
    void releaseGroup(TimePoint now);

    [[nodiscard]] bool isCurrentAttempt(const AttemptId &attempt);
    void handleDroppedChunk(TimePoint now, AnswerAssembler::ChunkResult result);
    void forwardChunk(TimePoint now, const AttemptChunk &chunk);
    void advanceAttempt(TimePoint now);
    void applyDecision(TimePoint now, StallDetector::Decision decision);
    void probeAttempt(TimePoint now);
    void resumeAttempt(TimePoint now);
    void resumeAfterGap(TimePoint now);
    void abandonAttempt(TimePoint now, const std::string &cause);
    void reportFailure(TimePoint now, const AttemptFailed &message);
    void closeAttempt();
    void closeAndCancelAttempt();
    void retry(TimePoint now, const EndpointId &failedEndpoint, bool delayed, const std::string &cause);
    void reportObservation(TimePoint now, const AttemptEnded &end);
    [[nodiscard]] bool isRetryAllowed() const;
    void prepareContinuation();

    void succeed(TimePoint now, const AttemptEnded &end);
    void fail(TimePoint now, const Failure &failure);
    void finish(TimePoint now, FinishRequest action);

    DispatchContext &context_;
    RequestSpecPtr spec_; ///< The request as received.
    RequestSpecPtr remainingSpec_; ///< The part that remains to be generated; differs from spec_ in a continuation.
    RouteRequest routeRequest_; ///< remainingSpec_ in the form that the routing policy takes.
    RequestTrace trace_;
    State state_ = State::Queued;
    TimePoint arrivedAt_;
    TimePoint earliestPlacement_; ///< A queued request is not placed before this time.
    bool waitRecorded_ = false;
    ClaimController claim_;
    RunStateTracker runState_;
    AnswerAssembler assembler_;
    std::unique_ptr<GroupController> group_;
    std::optional<CurrentAttempt> attempt_;
    std::vector<EndpointId> failedEndpoints_;
};

}
