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

/// Stands for callers, endpoints, claims and time around a dispatcher. Each step is chosen by a number: messages arrive late,
/// repeated, reordered or never, but what an endpoint says about itself is true.
class Adversary
{
public:
    Adversary();

    void step(std::uint32_t choice);

    /// Lets all deadlines pass and returns what is wrong.
    std::vector<std::string> finish();

private:
    enum class Fate {
        Sent, ///< May still run at any time.
        Ran,
        NotRun,
    };

    struct Attempt {
        StartAttempt start;
        Fate fate = Fate::Sent;
        std::uint64_t firstToken = 0;
        std::uint64_t next = 0; ///< Position of the next chunk in order.
    };

    struct Request {
        RequestSpecPtr spec;
        std::string sent;
        std::vector<FinishRequest> finishes;
        bool endedLate = false;
        bool won = false;
        std::uint64_t claimsAsked = 0;
        std::uint64_t claimsSettled = 0;
    };

    struct Allocation {
        ReserveAllocation reserve;
        std::uint64_t releases = 0;
        std::optional<bool> granted; ///< Later answers repeat the first.
        bool heldByEngine = false;
    };

    void arrive(std::uint32_t argument);
    void sendChunk(std::uint32_t argument, bool inOrder);
    void sendEnd(std::uint32_t argument);
    void sendFailure(std::uint32_t argument);
    void sendProbeAnswer(std::uint32_t argument);
    void sendVerdict(std::uint32_t argument);
    void sendAllocationAnswer(std::uint32_t argument);
    void sendEndpointAnswer(std::uint32_t argument);
    void sendView();
    void passTime(Duration duration);

    void give(const DispatchInput &input);
    void take(const std::vector<DispatchAction> &actions);
    void take(const StartAttempt &action);
    void take(const RequestClaim &action);
    void take(const ReleaseClaim &action);
    void take(const RecordOutcome &action);
    void take(const ReserveAllocation &action);
    void take(const ReleaseAllocation &action);
    void take(const PrefillPart &action);
    void take(const SendToCaller &action);
    void take(const FinishRequest &action);
    template<typename Other>
    void take(const Other & /*action*/)
    {
    }

    void checkEnd(const Request &request);
    void require(bool condition, const std::string &message);
    [[nodiscard]] Attempt *pickAttempt(std::uint32_t argument);
    [[nodiscard]] static std::string rightText(const RequestSpec &spec, std::uint64_t begin, std::uint64_t end);

    TimePoint now_{1h};
    TimePoint resumedAt_; ///< End of the last pause of the process.
    std::shared_ptr<ServingDocument> document_ = std::make_shared<ServingDocument>();
    std::unique_ptr<Dispatcher> dispatcher_;
    std::vector<Attempt> attempts_;
    std::set<AttemptId> identifiers_;
    std::map<RequestId, Request> requests_;
    std::vector<RequestClaim> claims_;
    std::map<AttemptId, RequestId> claimOwners_;
    std::map<std::string, AttemptId> holders_;
    std::map<AllocationId, Allocation> allocations_;
    std::vector<AllocationId> prefills_;
    std::vector<std::string> problems_;
};

}
