#include "gateway/endpointattempt.h"

namespace Lentillock
{

EndpointAttempt::EndpointAttempt(FleetLoad &fleetLoad, CallerMemory &memory, int number, Placement placement, TimePoint startedAt)
    : fleetLoad(fleetLoad)
    , memory(memory)
    , number(number)
    , endpoint(*placement.endpoint)
    , placement(std::move(placement))
    , startedAt(startedAt)
{
}

EndpointAttempt::~EndpointAttempt()
{
    if (connection) {
        connection->close();
    }
    memory.remove(this);
    fleetLoad.end(loadTicket);
    for (const FleetLoad::Ticket helper : helperLoadTickets) {
        fleetLoad.end(helper);
    }
}

void EndpointAttempt::addLoad(const WorkItem &item, TimePoint now)
{
    loadTicket = fleetLoad.begin(endpoint.id, item, now);
    for (const EndpointRecord *helper : placement.helpers) {
        const WorkItem helperWork{.prefillMs = placement.prefillMs, .memoryTokens = static_cast<double>(placement.helperTokens), .role = WorkRole::Helper};
        helperLoadTickets.push_back(fleetLoad.begin(helper->id, helperWork, now));
    }
}

void EndpointAttempt::finishPrefill()
{
    fleetLoad.finishPrefill(loadTicket);
    for (const FleetLoad::Ticket helper : helperLoadTickets) {
        fleetLoad.finishPrefill(helper);
    }
}

std::size_t EndpointAttempt::heldBytes() const
{
    return body.capacity() + events.heldBytes();
}

std::optional<CrashedRunStage> EndpointAttempt::stageBeforeFirstEvent() const
{
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (hasPartialHead || (isSuccess && response.hasServerStamp && !hasEvent)) {
        return CrashedRunStage::ResponseStart;
    }
    return head.status == 0 ? std::optional(CrashedRunStage::Waiting) : std::nullopt;
}

}
