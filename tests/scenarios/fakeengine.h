#pragma once

#include "dispatch/messages.h"
#include "scenarios/eventqueue.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Lentillock::Scenarios
{

/// Text of the token at @p index in the complete answer to @p request.
std::string tokenText(const RequestId &request, std::uint64_t index);

/// Fake endpoint that handles dispatch actions and replies with dispatch inputs. Generates tokens at a fixed rate, and queues the actions
/// that arrive while it is frozen.
class FakeEngine
{
public:
    using Post = std::function<void(DispatchInput)>;

    FakeEngine(EventQueue &events, Endpoint endpoint, Post post);

    void execute(const DispatchAction &action);

    void kill();
    void restart();
    void freeze();
    void thaw();
    void silenceConnections();
    void forgetRequests();

    bool draining = false;
    bool full = false; ///< Refuses new attempts and reservations.
    bool repeatChunks = false;
    bool swapChunks = false; ///< Delays every other chunk so that chunks arrive out of order.
    bool foreignChunks = false; ///< Adds chunks of an attempt that does not exist.
    bool delayGrants = false; ///< Reservations take effect at once, but the replies arrive 3 s late.
    bool loseNextChunk = false;

    [[nodiscard]] bool isResponsive() const;
    [[nodiscard]] bool isDead() const;
    [[nodiscard]] LoadReport load() const;
    [[nodiscard]] bool isMemoryFree() const;
    [[nodiscard]] std::uint64_t runCount(const RequestId &request) const;
    [[nodiscard]] const std::vector<TimePoint> &workStartTimes() const;
    [[nodiscard]] const Endpoint &endpoint() const;

private:
    struct Run {
        RequestSpecPtr spec;
        std::uint64_t firstToken = 0; ///< Index in the complete answer; greater than 0 for a continuation.
        std::uint64_t generated = 0;
        std::uint64_t sent = 0;
        TimePoint prefilledAt;
        bool silent = false;
        bool ended = false;
    };

    void receive(const DispatchAction &action);
    void process(const StartAttempt &action);
    void process(const ResumeAttempt &action);
    void process(const CancelAttempt &action);
    void process(const ProbeAttempt &action);
    void process(const ProbeEndpoint &action);
    void process(const ReserveAllocation &action);
    void process(const PrefillPart &action);
    void process(const ReleaseAllocation &action);
    template<typename Other>
    void process(const Other & /*action*/)
    {
    }

    void refuseConnection(const DispatchAction &action);
    void generate(const AttemptId &attempt);
    void sendChunks(const AttemptId &attempt, Run &run);
    void sendChunk(const AttemptId &attempt, const Run &run, std::uint64_t token);
    void reply(DispatchInput input, Duration delay = 2ms);
    [[nodiscard]] AttemptChunk makeChunk(const AttemptId &attempt, const Run &run, std::uint64_t token) const;
    /// Chunk position after @p tokens of the run: in bytes for a plain service, in tokens for an engine.
    [[nodiscard]] std::uint64_t positionAfter(const Run &run, std::uint64_t tokens) const;
    [[nodiscard]] std::uint64_t usedTokens() const;

    EventQueue &events_;
    Endpoint endpoint_;
    Post post_;
    bool dead_ = false;
    bool frozen_ = false;
    int generation_ = 1;
    std::vector<DispatchAction> deferredActions_;
    std::map<AttemptId, Run> runs_;
    std::map<AllocationId, std::uint64_t> allocations_;
    std::map<RequestId, std::uint64_t> runCounts_;
    std::vector<TimePoint> workStartTimes_;
};

}
