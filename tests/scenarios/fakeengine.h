#pragma once

#include "dispatch/messages.h"
#include "scenarios/eventqueue.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Lentillock::Scenarios
{

/// The text of one token of the right answer to a request.
std::string tokenText(const RequestId &request, std::uint64_t index);

/// An endpoint at the dispatcher's interface. Has a fixed speed, and keeps what reaches it while it is frozen.
class FakeEngine
{
public:
    using Post = std::function<void(DispatchInput)>;

    FakeEngine(EventQueue &events, Endpoint endpoint, Post post);

    void carryOut(const DispatchAction &action);

    void kill();
    void restart();
    void freeze();
    void thaw();
    void silenceConnections();
    void forgetRequests();

    bool draining = false;
    bool full = false;
    bool repeatChunks = false;
    bool swapChunks = false;
    bool foreignChunks = false;
    bool loseGrants = false;
    bool loseNextChunk = false;

    [[nodiscard]] bool answers() const;
    [[nodiscard]] bool isDead() const;
    [[nodiscard]] LoadReport load() const;
    [[nodiscard]] bool isMemoryFree() const;
    [[nodiscard]] std::uint64_t runsOf(const RequestId &request) const;
    [[nodiscard]] const std::vector<TimePoint> &workStarted() const;
    [[nodiscard]] const Endpoint &endpoint() const;

private:
    struct Run {
        RequestSpecPtr spec;
        std::uint64_t firstToken = 0; ///< Index in the whole answer.
        std::uint64_t generated = 0;
        std::uint64_t sent = 0;
        TimePoint prefilledAt;
        bool silent = false;
        bool ended = false;
    };

    void carryOutLater(const DispatchAction &action);
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
    void answer(DispatchInput input, Duration delay = 2ms);
    [[nodiscard]] AttemptChunk chunkOf(const AttemptId &attempt, const Run &run, std::uint64_t token) const;
    [[nodiscard]] std::uint64_t lengthOf(const Run &run, std::uint64_t tokens) const;
    [[nodiscard]] std::uint64_t usedTokens() const;

    EventQueue &events_;
    Endpoint endpoint_;
    Post post_;
    bool dead_ = false;
    bool frozen_ = false;
    int generation_ = 1;
    std::vector<DispatchAction> whileFrozen_;
    std::map<AttemptId, Run> runs_;
    std::map<AllocationId, std::uint64_t> allocations_;
    std::map<RequestId, std::uint64_t> runCounts_;
    std::vector<TimePoint> workStarted_;
};

}
