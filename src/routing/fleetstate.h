#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/servingview.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Lentillock
{

/// Unfinished work of this entry on one endpoint.
struct InFlightWork {
    std::uint64_t requests = 0;
    std::uint64_t prefillTokens = 0; ///< Prompt tokens of attempts whose first token has not arrived.
    std::uint64_t heldTokens = 0; ///< Prompt tokens plus maximum answer tokens of all attempts.

    auto operator<=>(const InFlightWork &) const = default;
};

/// The latest serving view combined with the work that this entry has in flight.
class FleetState
{
public:
    /// An endpoint of the serving document with its observed state. Pointers are valid until the next setView().
    struct Candidate {
        const Endpoint *endpoint = nullptr;
        const EndpointState *state = nullptr; ///< Null when nothing has been observed yet.
        InFlightWork inFlight;
    };

    void setView(ServingViewPtr view);
    [[nodiscard]] const ServingViewPtr &view() const;

    void attemptStarted(const AttemptId &attempt, const EndpointId &endpoint, std::uint64_t promptTokens, std::uint64_t maxTokens);
    void firstTokenArrived(const AttemptId &attempt);
    void attemptEnded(const AttemptId &attempt);

    /// Returns the engines that serve @p model and accept new work, that is, are not leaving, draining or dead.
    [[nodiscard]] std::vector<Candidate> candidatesForModel(const ModelId &model) const;

    /// Returns the services with the longest path prefix that matches @p path, without those that accept no new work.
    [[nodiscard]] std::vector<Candidate> candidatesForPath(const std::string &path) const;

    [[nodiscard]] const Endpoint *endpoint(const EndpointId &id) const;
    [[nodiscard]] InFlightWork inFlight(const EndpointId &id) const;

private:
    struct TrackedAttempt {
        EndpointId endpoint;
        std::uint64_t promptTokens = 0;
        std::uint64_t maxTokens = 0;
        bool prefilling = true;
    };

    using Indices = std::vector<std::size_t>;

    void addCandidate(const Endpoint &endpoint);
    void updateInFlight(const EndpointId &id, const InFlightWork &work);
    [[nodiscard]] std::vector<Candidate> usable(const Indices &indices) const;
    [[nodiscard]] static bool acceptsWork(const Candidate &candidate);

    ServingViewPtr view_;
    std::vector<Candidate> candidates_; ///< All endpoints of the document, in its order.
    std::map<EndpointId, std::size_t> indices_;
    std::map<ModelId, Indices> engines_;
    std::map<std::string, Indices> services_;
    std::map<EndpointId, InFlightWork> inFlight_;
    std::map<AttemptId, TrackedAttempt> attempts_;
};

}
