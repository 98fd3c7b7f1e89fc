#include "dispatch/groupcontroller.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Lentillock
{

GroupController::GroupController(DispatchContext &context, RequestSpecPtr spec, GroupPlan plan)
    : context_(context)
    , spec_(std::move(spec))
{
    for (GroupPart &part : plan.parts) {
        members_.push_back({std::move(part), context_.identifiers.nextAllocation()});
    }
    reservationOrder_.resize(members_.size());
    std::iota(reservationOrder_.begin(), reservationOrder_.end(), std::size_t{0});
    // All groups reserve in the same order, which prevents deadlocks between them.
    std::sort(reservationOrder_.begin(), reservationOrder_.end(), [this](std::size_t left, std::size_t right) {
        return members_[left].part.endpoint < members_[right].part.endpoint;
    });
}

void GroupController::start(TimePoint now)
{
    context_.counters.groups += 1;
    reserveNext(now);
}

GroupController::Progress GroupController::allocationAnswered(TimePoint now, const AllocationAnswered &answer)
{
    if (prefilling_ || members_[reservationOrder_[reservationIndex_]].allocation != answer.allocation) {
        context_.counters.foreignMessages += 1;
        return Progress::Waiting;
    }
    Member &member = members_[reservationOrder_[reservationIndex_]];
    // A refusal is also reported when the answer was lost, so a refused reservation is released as well.
    member.reservation = Reservation::Granted;
    if (!answer.granted) {
        context_.counters.groupsRefused += 1;
        return fail(member.part.endpoint, Progress::Refused);
    }
    reservationIndex_ += 1;
    if (reservationIndex_ < members_.size()) {
        reserveNext(now);
        return Progress::Waiting;
    }
    prefilling_ = true;
    context_.prefillingRequests.insert(spec_->id);
    prefillNext(now);
    return members_.size() == 1 ? Progress::Ready : Progress::Waiting;
}

GroupController::Progress GroupController::prefillAnswered(TimePoint now, const PrefillAnswered &answer)
{
    if (!prefilling_ || members_[prefillIndex_].allocation != answer.allocation) {
        context_.counters.foreignMessages += 1;
        return Progress::Waiting;
    }
    if (!answer.succeeded) {
        return fail(members_[prefillIndex_].part.endpoint, Progress::Failed);
    }
    context_.chooser.fleet().firstTokenArrived(AttemptId(answer.allocation.value()));
    prefillIndex_ += 1;
    prefillNext(now);
    return isLast(members_[prefillIndex_]) ? Progress::Ready : Progress::Waiting;
}

GroupController::Progress GroupController::endpointProbed(TimePoint now, const EndpointProbed &answer)
{
    if (!probePending_ || members_[prefillIndex_].part.endpoint != answer.endpoint) {
        return Progress::Waiting;
    }
    probePending_ = false;
    probeDue_ = now + context_.settings.stallTimeout;
    return answer.load ? Progress::Waiting : fail(answer.endpoint, Progress::Failed);
}

GroupController::Progress GroupController::advance(TimePoint now)
{
    if (now >= stepDeadline_) {
        const std::size_t member = prefilling_ ? prefillIndex_ : reservationOrder_[reservationIndex_];
        return fail(members_[member].part.endpoint, Progress::Failed);
    }
    return prefilling_ && now >= probeDue_ ? probePrefill(now) : Progress::Waiting;
}

TimePoint GroupController::nextDue() const
{
    return prefilling_ ? std::min(stepDeadline_, probeDue_) : stepDeadline_;
}

const EndpointId &GroupController::failedEndpoint() const
{
    return failedEndpoint_;
}

StartAttempt GroupController::makeStartAttempt() const
{
    const Member &last = members_.back();
    return {{}, last.part.endpoint, last.part.address, spec_, {}, last.allocation, importsBefore(members_.size() - 1), last.part.promptOffset};
}

void GroupController::firstTokenReceived()
{
    context_.chooser.fleet().firstTokenArrived(AttemptId(members_.back().allocation.value()));
}

void GroupController::release(TimePoint now)
{
    context_.prefillingRequests.erase(spec_->id);
    for (Member &member : members_) {
        if (member.reservation == Reservation::Requested) {
            const ReleaseAllocation release{member.allocation, member.part.endpoint, member.part.address};
            context_.abandonedReservations.add(release, std::max(now, spec_->deadline) + context_.settings.allocationGrace);
        }
        releaseMember(member);
    }
    context_.placementPending = true;
}

void GroupController::reserveNext(TimePoint now)
{
    Member &member = members_[reservationOrder_[reservationIndex_]];
    member.reservation = Reservation::Requested;
    stepDeadline_ = now + context_.settings.reservationTimeout;
    context_.allocations[member.allocation] = spec_->id;
    const std::uint64_t otherTokens = member.part.reservedTokens - member.part.promptTokens;
    context_.chooser.fleet().attemptStarted(AttemptId(member.allocation.value()), member.part.endpoint, member.part.promptTokens, otherTokens);
    context_.actions.emplace_back(
        ReserveAllocation{member.allocation, spec_->id, member.part.endpoint, member.part.address, member.part.reservedTokens, spec_->deadline});
}

void GroupController::prefillNext(TimePoint now)
{
    const Member &member = members_[prefillIndex_];
    // Uses half of the remaining time, so that a group that hangs leaves time to retry with another.
    stepDeadline_ = now + (spec_->deadline - now) / 2;
    probeDue_ = now + context_.settings.stallTimeout;
    probePending_ = false;
    if (isLast(member)) {
        return;
    }
    context_.actions.emplace_back(PrefillPart{member.allocation,
                                              member.part.endpoint,
                                              member.part.address,
                                              spec_,
                                              prefillIndex_,
                                              member.part.promptOffset,
                                              member.part.promptLength,
                                              importsBefore(prefillIndex_)});
}

GroupController::Progress GroupController::probePrefill(TimePoint now)
{
    const GroupPart &part = members_[prefillIndex_].part;
    if (probePending_) {
        return fail(part.endpoint, Progress::Failed);
    }
    probePending_ = true;
    probeDue_ = now + context_.settings.probeTimeout;
    context_.counters.probes += 1;
    context_.actions.emplace_back(ProbeEndpoint{part.endpoint, part.address});
    return Progress::Waiting;
}

GroupController::Progress GroupController::fail(const EndpointId &endpoint, Progress progress)
{
    failedEndpoint_ = endpoint;
    return progress;
}

void GroupController::releaseMember(Member &member)
{
    if (member.reservation == Reservation::None) {
        return;
    }
    member.reservation = Reservation::None;
    context_.allocations.erase(member.allocation);
    context_.chooser.fleet().attemptEnded(AttemptId(member.allocation.value()));
    context_.actions.emplace_back(ReleaseAllocation{member.allocation, member.part.endpoint, member.part.address});
}

std::vector<KvImport> GroupController::importsBefore(std::size_t part) const
{
    std::vector<KvImport> imports;
    for (std::size_t i = 0; i < part; ++i) {
        imports.push_back({members_[i].part.endpoint, members_[i].allocation});
    }
    return imports;
}

bool GroupController::isLast(const Member &member) const
{
    return &member == &members_.back();
}

}
