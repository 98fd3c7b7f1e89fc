#pragma once

#include "dispatch/dispatchcontext.h"
#include "dispatch/groupplanner.h"

#include <optional>
#include <vector>

namespace Lentillock
{

/// Reserves memory on all endpoints of a group or on none, and prefills all parts but the last. Its allocations count as work in flight.
class GroupController
{
public:
    enum class Progress {
        Waiting,
        Ready, ///< All parts but the last are prefilled; the attempt may be started on the last endpoint.
        Refused, ///< An endpoint has no memory now.
        Failed, ///< failedEndpoint() does not work.
    };

    GroupController(DispatchContext &context, RequestSpecPtr spec, GroupPlan plan);

    void start(TimePoint now);

    Progress allocationAnswered(TimePoint now, const AllocationAnswered &answer);
    Progress prefillAnswered(TimePoint now, const PrefillAnswered &answer);
    Progress endpointProbed(TimePoint now, const EndpointProbed &answer);
    Progress advance(TimePoint now);

    [[nodiscard]] TimePoint nextDue() const;
    [[nodiscard]] const EndpointId &failedEndpoint() const;

    /// The last endpoint with its memory and the imports of the earlier parts. The attempt's identifier is left empty.
    [[nodiscard]] StartAttempt makeStartAttempt() const;

    /// The last endpoint has generated the first token.
    void firstTokenReceived();

    /// Releases everything that was or may have been reserved. To be called exactly once.
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
    std::vector<Member> members_; ///< In the order of the prompt.
    std::vector<std::size_t> reservationOrder_; ///< Indexes of members_ by ascending endpoint.
    std::size_t reservationIndex_ = 0; ///< Index into reservationOrder_ of the reservation that is asked for.
    std::size_t prefillIndex_ = 0; ///< Index into members_ of the part that is prefilled.
    bool prefilling_ = false;
    TimePoint stepDeadline_; ///< When the current step counts as failed.
    TimePoint probeDue_;
    bool probePending_ = false;
    EndpointId failedEndpoint_;
};

}
