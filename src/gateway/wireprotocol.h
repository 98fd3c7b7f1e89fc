#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "gateway/endpointdirectory.h"
#include "gateway/httphead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// What the head of a caller's request says, decoded once.
struct CallerHead {
    RequestId id;
    std::string host;
    std::optional<milliseconds> timeLeft; ///< How long the caller waits.
    std::string key;
    double promptTokens = 0;
    double answerTokens = 0; ///< Upper bound.
    std::optional<double> expectedAnswerTokens; ///< The caller's estimate.
    std::optional<std::uint64_t> lastEventId; ///< The stream continues after this event.
};

/// Another endpoint that reads a part of a prompt, with a memory reservation or without.
struct Helper {
    std::string address;
    std::string reservation{}; ///< Empty for none.

    auto operator<=>(const Helper &) const = default;
};

/// What the system tells an endpoint about one send of a request.
struct EndpointRequestOptions {
    EndpointId expectedEndpoint;
    WorkspaceId workspace;
    std::optional<milliseconds> timeLeft{};
    std::optional<std::uint64_t> lastEventId{};
    std::vector<Helper> helpers{};
    std::optional<int> priorityClass{}; ///< 0 (first) to 9.
};

/// What the head of an endpoint's answer says.
struct ResponseHead {
    RequestId requestId; ///< Of the request that it answers; empty if the endpoint did not say.
    bool hasServerStamp = false; ///< Whether the endpoint vouches for the answer.
    bool wasNotRun = false; ///< The request has not run and never will at this endpoint.
    bool isReplaced = false; ///< Another endpoint than the expected one has answered.
    std::string endpointAtFault; ///< Address of another endpoint that caused a refusal; may be empty.
};

/// A reservation of memory at an endpoint.
struct ReservationRequest {
    std::string id;
    std::uint64_t tokens = 0;
    milliseconds hold{0};
};

/// Translates between the wire and the product's types. Holds no state.
class WireProtocol
{
public:
    WireProtocol() = default;
    WireProtocol(const WireProtocol &) = delete;
    WireProtocol &operator=(const WireProtocol &) = delete;
    virtual ~WireProtocol() = default;

    [[nodiscard]] virtual CallerHead callerHead(const HttpHead &head) const = 0;
    [[nodiscard]] virtual ResponseHead responseHead(const HttpHead &head) const = 0;

    /// Bytes of the request to an endpoint, head and body.
    [[nodiscard]] virtual std::string endpointRequest(const HttpHead &head, const std::string &body, const EndpointRequestOptions &order) const = 0;

    [[nodiscard]] virtual std::string reserveRequest(const std::string &address, const ReservationRequest &order) const = 0;
    [[nodiscard]] virtual std::string releaseRequest(const std::string &address, const std::string &reservation) const = 0;
    /// Whether the answer to a reservation grants it.
    [[nodiscard]] virtual bool isReserved(const HttpHead &head) const = 0;

    /// Name of the field with which a request is identified towards the caller.
    [[nodiscard]] virtual std::string_view requestIdField() const = 0;

    /// Path on which the load balancer asks whether this VM is ready.
    [[nodiscard]] virtual std::string_view readinessPath() const = 0;
};

}
