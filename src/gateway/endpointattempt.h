#pragma once

#include "gateway/callermemory.h"
#include "gateway/crashattribution.h"
#include "gateway/endpointdirectory.h"
#include "gateway/eventsplitter.h"
#include "gateway/fleetload.h"
#include "gateway/httpclientconnection.h"
#include "gateway/placement.h"
#include "gateway/reservationset.h"
#include "gateway/wireprotocol.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// One attempt to have an endpoint serve a request. When it is destroyed, it closes its connection, which makes the endpoint stop, and removes its load
/// reservations and memory.
struct EndpointAttempt {
    EndpointAttempt(FleetLoad &fleetLoad, CallerMemory &memory, int number, Placement placement, TimePoint startedAt);
    ~EndpointAttempt();
    EndpointAttempt(const EndpointAttempt &) = delete;
    EndpointAttempt &operator=(const EndpointAttempt &) = delete;

    /// Adds the expected work of the request to the load of the endpoint and of its helpers.
    void addLoad(const WorkItem &item, TimePoint now);

    /// Removes the prefill from the load, since the endpoint has begun to generate.
    void finishPrefill();

    /// Memory that the response takes, as far as it has not been passed on, in bytes.
    [[nodiscard]] std::size_t heldBytes() const;

    /// How far the run had come, if a part of its prompt may have crashed the endpoint: it has lost its connection before its first event.
    [[nodiscard]] std::optional<CrashedRunStage> stageBeforeFirstEvent() const;

    FleetLoad &fleetLoad;
    CallerMemory &memory;
    const int number; ///< Counts the attempts of the request from 1.
    const EndpointRecord endpoint;
    const Placement placement;
    const TimePoint startedAt;
    HttpClientConnectionPointer connection;
    FleetLoad::Ticket loadTicket = 0;
    std::vector<FleetLoad::Ticket> helperLoadTickets;
    std::unique_ptr<ReservationSet> reservations;
    bool isSent = false;
    bool isCountedAsRun = false; ///< It is one of the possible runs of the request.
    bool hasPartialHead = false; ///< The connection ended inside the head of the response.
    bool hasEvent = false; ///< An event of this attempt has arrived.
    bool hasEnded = false; ///< The response has ended with its connection, without an event.
    bool isRelayed = false; ///< The response is a successful stream, whose events are relayed as they arrive.
    HttpHead head;
    ResponseHead response;
    std::string body;
    EventSplitter events;
};

}
