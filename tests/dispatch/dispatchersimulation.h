#pragma once

#include "dispatch/dispatcher.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lentillock
{

/// Simulates the callers, endpoints, claims and clock around a dispatcher. A number selects each step. Messages can be delayed,
/// repeated, reordered or lost, but the state that an endpoint reports is always correct.
class DispatcherSimulation
{
public:
    DispatcherSimulation();

    /// Performs the step that @p choice selects.
    void step(std::uint32_t choice);

    /// Advances time past all deadlines and returns the violations found.
    std::vector<std::string> finish();

private:
    enum class ExecutionState {
        Pending, ///< May run at any later time.
        Ran,
        NotRun,
    };

    struct Attempt {
        StartAttempt start;
        ExecutionState executionState = ExecutionState::Pending;
        std::uint64_t firstToken = 0;
        std::uint64_t nextPosition = 0; ///< Position of the next chunk to send in order.
    };

    struct Request {
        RequestSpecPtr spec;
        std::string sent;
        std::vector<FinishRequest> finishes;
        bool finishedLate = false;
        bool claimWon = false;
        std::uint64_t claimsRequested = 0;
        std::uint64_t claimsSettled = 0;
    };

    struct Allocation {
        ReserveAllocation reservation;
        std::uint64_t releases = 0;
        std::optional<bool> granted; ///< The first answer; later answers repeat it.
        bool heldByEngine = false;
    };

    void sendRequest(std::uint32_t argument);
    void sendChunk(std::uint32_t argument, bool inOrder);
    void sendEnd(std::uint32_t argument);
    void sendFailure(std::uint32_t argument);
    void sendProbeAnswer(std::uint32_t argument);
    void sendVerdict(std::uint32_t argument);
    void sendAllocationAnswer(std::uint32_t argument);
    void sendEndpointAnswer(std::uint32_t argument);
    void sendView();
    void advanceTime(Duration duration);

    void send(const DispatchInput &input);
    void execute(const std::vector<DispatchAction> &actions);
    void execute(const StartAttempt &action);
    void execute(const RequestClaim &action);
    void execute(const ReleaseClaim &action);
    void execute(const RecordOutcome &action);
    void execute(const ReserveAllocation &action);
    void execute(const ReleaseAllocation &action);
    void execute(const PrefillPart &action);
    void execute(const SendToCaller &action);
    void execute(const FinishRequest &action);
    template<typename Other>
    void execute(const Other & /*action*/)
    {
    }

    void checkOutcome(const Request &request);
    void require(bool condition, const std::string &message);
    [[nodiscard]] Attempt *pickAttempt(std::uint32_t argument);
    [[nodiscard]] static std::string expectedText(const RequestSpec &spec, std::uint64_t begin, std::uint64_t end);

    TimePoint now_{1h};
    TimePoint pauseEndedAt_; ///< End of the last simulated pause of the process.
    std::shared_ptr<ServingDocument> document_ = std::make_shared<ServingDocument>();
    std::unique_ptr<Dispatcher> dispatcher_;
    std::vector<Attempt> attempts_;
    std::set<AttemptId> startedAttempts_;
    std::map<RequestId, Request> requests_;
    std::vector<RequestClaim> pendingClaims_;
    std::map<AttemptId, RequestId> claimRequests_;
    std::map<std::string, AttemptId> keyHolders_;
    std::map<AllocationId, Allocation> allocations_;
    std::vector<AllocationId> prefills_;
    std::vector<std::string> violations_;
};

}
