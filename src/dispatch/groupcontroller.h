#pragma once

#include "dispatch/dispatchcontext.h"
#include "dispatch/groupplanner.h"

#include <optional>
#include <vector>

namespace Lentillock
{

/// Reserves memory on all endpoints of a group or on none, and prefills all parts except the last. Its allocations count as work in flight.
class GroupController
{
public:
    enum class Progress {
        Waiting,
        Ready, ///< All parts except the last are prefilled; the attempt can be started on the last endpoint.
        Refused, ///< An endpoint has no free memory at present.
        Failed, ///< failedEndpoint() failed or did not respond.
    };

    GroupController(DispatchContext &context, RequestSpecPtr spec, GroupPlan plan);

    void start(TimePoint now);

    Progress allocationAnswered(TimePoint now, const AllocationAnswered &answer);
    Progress prefillAnswered(TimePoint now, const PrefillAnswered &answer);
    Progress endpointProbed(TimePoint now, const EndpointProbed &answer);
    Progress advance(TimePoint now);

    [[nodiscard]] TimePoint nextDue() const;
    [[nodiscard]] const EndpointId &failedEndpoint() const;

    /// Returns the attempt on the last endpoint, with its allocation and the imports of the earlier parts. The attempt's identifier is left empty.
    [[nodiscard]] StartAttempt makeStartAttempt() const;

    /// The last endpoint generated its first token.
    void firstTokenReceived();

    /// Releases all memory that was or may have been reserved. Must be called exactly once.
    void release(TimePoint now);

private:
    enum class Reservation {
        None,
        Requested,
        Granted,
    };

    struct Member {
        GroupPart part;
        AllocationId allocation;
        Reservation reservation = Reservation::None;
    };

    void reserveNext(TimePoint now);
    void prefillNext(TimePoint now);
    Progress probePrefill(TimePoint now);
    Progress fail(const EndpointId &endpoint, Progress progress);
    void releaseMember(Member &member);
    [[nodiscard]] std::vector<KvImport> importsBefore(std::size_t part) const;
    [[nodiscard]] bool isLast(const Member &member) const;

    DispatchContext &context_;
    RequestSpecPtr spec_;
    std::vector<Member> members_; ///< In prompt order.
    std::vector<std::size_t> reservationOrder_; ///< Indexes into members_ in ascending order of endpoint.
    std::size_t reservationIndex_ = 0; ///< Index into reservationOrder_ of the pending reservation.
    std::size_t prefillIndex_ = 0; ///< Index into members_ of the part in prefill.
    bool prefilling_ = false;
    TimePoint stepDeadline_; ///< Time at which the current step counts as failed.
    TimePoint probeDue_;
    bool probePending_ = false;
    EndpointId failedEndpoint_;
};

}
