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

/// gRPC client for control and entry processes. Every call has a timeout. If a call fails, its channel is replaced.
///
/// Callbacks run on gRPC's threads and receive nothing if the call failed.
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
    void queryActive(const std::string &address,
                     const std::vector<RequestId> &requests,
                     milliseconds timeout,
                     std::function<void(const std::optional<OwnerReply> &)> callback);

    /// Returns the snapshot record of the peer's configuration, or nothing if it is not newer than @p knownVersion or the call failed. Blocks for up to
    /// @p timeout.
    std::optional<std::string> fetchConfig(const std::string &address, std::uint64_t knownVersion, milliseconds timeout);

private:
    class Calls;
    std::unique_ptr<Calls> calls_;
};

}
