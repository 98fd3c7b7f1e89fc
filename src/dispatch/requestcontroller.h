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

/// The state machine of one request, from its admission to its last action.
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

    /// Puts the request into the queue.
    void admit(TimePoint now);

    /// Ends the request before it has been admitted.
    void refuse(TimePoint now, const Failure &failure);

    [[nodiscard]] bool isReadyToPlace(TimePoint now) const;

    /// Finds an endpoint and starts the claim, the reservations or the attempt. Leaves the request queued if there is none.
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
        std::optional<TimePoint> timeoutAt = std::nullopt; ///< Services only: they cannot be probed.
        bool reachedEndpoint = false; ///< The endpoint has shown that it has the attempt.
        TimePoint startedAt = {};
        std::optional<TimePoint> firstTokenAt = std::nullopt;
        std::uint64_t prefillTokensAhead = 0; ///< Of this entry on the endpoint when the attempt began.
        int status = 200;
        std::string contentType = {};
        std::optional<std::uint64_t> resumedGapPosition = std::nullopt; ///< Position at which a gap has led to a resumption.
    };

    void enqueue(TimePoint now, TimePoint notBefore);
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
    void retry(TimePoint now, const EndpointId &failed, bool refused, const std::string &cause);
    void reportObservation(TimePoint now, const AttemptEnded &end);
    [[nodiscard]] bool isRetryAllowed() const;
    void prepareContinuation();

    void succeed(TimePoint now, const AttemptEnded &end);
    void fail(TimePoint now, const Failure &failure);
    void finish(TimePoint now, FinishRequest action);

    DispatchContext &context_;
    RequestSpecPtr spec_; ///< As it arrived.
    RequestSpecPtr remainingSpec_; ///< What is still to be generated; differs from spec_ in a continuation.
    RouteRequest routeRequest_; ///< The same for the routing policy.
    RequestTrace trace_;
    State state_ = State::Queued;
    TimePoint arrivedAt_;
    TimePoint earliestPlacement_;
    bool waitRecorded_ = false;
    ClaimController claim_;
    RunStateTracker runState_;
    AnswerAssembler assembler_;
    std::unique_ptr<GroupController> group_;
    std::optional<CurrentAttempt> attempt_;
    std::vector<EndpointId> failedEndpoints_;
};

}
