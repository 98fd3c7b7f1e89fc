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

/// Requests that wait for an endpoint.
///
/// Requests that have waited for a quarter of their time come first, by deadline, so that long work does not starve. The others come by
/// priority, then short work before long work, then in an order that is fair to workspaces: by virtual start time, which runs ahead for
/// a workspace with the prompt tokens that it has queued.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t maxLength);

    /// Returns false when the queue is full; the request is then to be refused as not run.
    bool push(const QueueEntry &entry);
    void remove(const RequestId &request);

    /// The waiting requests in the order in which they are to be tried now.
    [[nodiscard]] std::vector<RequestId> order(TimePoint now) const;

    [[nodiscard]] std::size_t size() const;

    /// Prompt tokens that wait, by class.
    [[nodiscard]] std::uint64_t waitingTokens(WorkClass workClass) const;
    /// Of one workspace.
    [[nodiscard]] std::uint64_t waitingTokens(WorkClass workClass, const WorkspaceId &workspace) const;
    /// Number of workspaces with waiting requests of the class.
    [[nodiscard]] std::size_t waitingWorkspaces(WorkClass workClass) const;

private:
    /// Part of the time from arrival to deadline after which a request goes before those that have just come.
    static constexpr double AgedShare = 0.25;

    struct Waiting {
        QueueEntry entry;
        WorkClass workClass = WorkClass::Short;
        double virtualStart = 0;
    };

    using TokensByWorkspace = std::map<WorkspaceId, std::uint64_t>;

    [[nodiscard]] static bool isAged(const QueueEntry &entry, TimePoint now);
    void forget(const Waiting &waiting);

    std::size_t maxLength_;
    std::vector<Waiting> entries_;
    std::array<TokensByWorkspace, WorkClasses> waitingTokens_;
    std::map<WorkspaceId, double> virtualEnd_; ///< Of the last request of each workspace that has requests waiting.
    double virtualTime_ = 0;
};

}
