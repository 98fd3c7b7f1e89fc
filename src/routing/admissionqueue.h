#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "routing/workclass.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Lentillock
{

struct QueueEntry {
    RequestId request;
    WorkspaceId workspace;
    std::int64_t priority = 0;
    std::uint64_t promptTokens = 0;
    TimePoint arrival;
    TimePoint deadline;
};

/// Queue of requests that wait for an endpoint.
///
/// Requests that have waited for a quarter of the time from arrival to deadline come first, ordered by deadline, so that long prompts do not
/// starve. The others are ordered by priority, then by length class, shortest first, then by the virtual start time of start-time fair
/// queueing between workspaces: each queued prompt token of a workspace delays the virtual start of its next request.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t maxLength);

    /// Returns false if the queue is full; the caller must then refuse the request as not run.
    bool push(const QueueEntry &entry);
    void remove(const RequestId &request);

    /// Returns the waiting requests in the order in which to try to place them.
    [[nodiscard]] std::vector<RequestId> order(TimePoint now) const;

    [[nodiscard]] std::size_t size() const;

    /// Prompt tokens of all waiting requests of a class.
    [[nodiscard]] std::uint64_t waitingTokens(WorkClass workClass) const;
    /// Prompt tokens of the waiting requests of a class that belong to one workspace.
    [[nodiscard]] std::uint64_t waitingTokens(WorkClass workClass, const WorkspaceId &workspace) const;
    /// Number of workspaces with waiting requests of the class.
    [[nodiscard]] std::size_t waitingWorkspaces(WorkClass workClass) const;

private:
    /// Fraction of the time from arrival to deadline after which a request takes precedence over newer ones.
    static constexpr double AgingThreshold = 0.25;

    struct QueuedRequest {
        QueueEntry entry;
        WorkClass workClass = WorkClass::Short;
        double virtualStart = 0;
    };

    using TokensByWorkspace = std::map<WorkspaceId, std::uint64_t>;

    [[nodiscard]] static bool isAged(const QueueEntry &entry, TimePoint now);
    void updateAfterRemoval(const QueuedRequest &queued);

    std::size_t maxLength_;
    std::vector<QueuedRequest> entries_;
    std::array<TokensByWorkspace, WorkClassCount> waitingTokens_;
    std::map<WorkspaceId, double> virtualFinish_; ///< Virtual finish time of the last request queued by each workspace.
    double virtualTime_ = 0;
};

}
