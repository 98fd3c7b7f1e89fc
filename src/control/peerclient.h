#pragma once

#include "claims/claimcoordinator.h"
#include "control/memoryreclaimer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// Calls other processes over gRPC. Every call has a timeout; a channel on which a call failed is not used again.
///
/// Callbacks run on gRPC's threads and get nothing if the call failed.
class PeerClient
{
public:
    PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;
    /// Cancels running calls and waits for their callbacks.
    ~PeerClient();

    void forwardClaim(const std::string &address,
                      const ClaimProposal &proposal,
                      milliseconds remaining,
                      milliseconds timeout,
                      std::function<void(const std::optional<AnswerClaim> &)> callback);
    void forwardUpdate(const std::string &address, const ClaimRecord &record, milliseconds timeout, std::function<void(std::optional<bool>)> callback);
    void askActive(const std::string &address,
                   const std::vector<RequestId> &requests,
                   milliseconds timeout,
                   std::function<void(const std::optional<OwnerReply> &)> callback);

    /// Snapshot record of the peer's configuration, if it is newer than @p knownVersion. Blocks for up to @p timeout.
    std::optional<std::string> fetchConfig(const std::string &address, std::uint64_t knownVersion, milliseconds timeout);

private:
    class Calls;
    std::unique_ptr<Calls> calls_;
};

}
