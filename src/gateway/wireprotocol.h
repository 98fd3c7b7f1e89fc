#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "gateway/endpointdirectory.h"
#include "gateway/httphead.h"
#include "gateway/promptpart.h"
#include "gateway/retrydelay.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// Decoded head of a caller's request.
struct CallerHead {
    RequestId id;
    std::string host;
    std::optional<milliseconds> timeLeft; ///< Time for which the caller waits for the response.
    std::string apiKey;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    std::optional<double> expectedOutputTokens; ///< Estimate of the caller.
    std::optional<std::uint64_t> lastEventId; ///< Resume the stream after this event.
    std::uint64_t promptHash = 0; ///< Equal for requests with equal prompts; 0 without a prompt.
    PromptParts sharedParts; ///< At most MaxPromptParts. Without the part that belongs to this request alone.
};

/// Another endpoint that computes a part of the prefill, optionally with a memory reservation.
struct Helper {
    std::string address;
    std::string reservation{}; ///< Empty for none.

    auto operator<=>(const Helper &) const = default;
};

/// Metadata that the gateway adds to a request when it forwards it to an endpoint.
struct EndpointRequestOptions {
    EndpointId expectedEndpoint;
    WorkspaceId workspace;
    std::optional<milliseconds> timeLeft{};
    std::optional<std::uint64_t> lastEventId{};
    std::vector<Helper> helpers{};
    std::optional<int> priorityClass{}; ///< 0 (highest) to 9.
};

/// Decoded head of an endpoint's response.
struct ResponseHead {
    RequestId requestId; ///< ID of the request that the response belongs to; empty if not stated.
    bool hasServerStamp = false; ///< Whether the endpoint confirms the response with its stamp. A response without it counts as incomplete.
    bool wasNotRun = false; ///< The endpoint has not run the request and never will.
    bool isReplaced = false; ///< The response comes from an endpoint other than the expected one.
    std::string endpointAtFault; ///< Address of another endpoint that caused the rejection; may be empty.
    bool isLeaving = false; ///< The endpoint finishes its requests in progress and accepts no new ones.
    RetryDelay retryDelay{}; ///< Time for which the endpoint wants no requests.
};

/// Request to reserve memory at an endpoint.
struct ReservationRequest {
    std::string id;
    std::uint64_t tokens = 0;
    milliseconds leaseTime{0};
};

/// Translates between HTTP messages and the types of the gateway. Stateless.
class WireProtocol
{
public:
    WireProtocol() = default;
    WireProtocol(const WireProtocol &) = delete;
    WireProtocol &operator=(const WireProtocol &) = delete;
    virtual ~WireProtocol() = default;

    [[nodiscard]] virtual CallerHead callerHead(const HttpHead &head) const = 0;
    [[nodiscard]] virtual ResponseHead responseHead(const HttpHead &head) const = 0;

    /// Serializes the head of the request to an endpoint, whose body has @p bodyBytes.
    [[nodiscard]] virtual std::string endpointRequestHead(const HttpHead &head, std::size_t bodyBytes, const EndpointRequestOptions &options) const = 0;

    [[nodiscard]] virtual std::string reserveRequest(const std::string &address, const ReservationRequest &request) const = 0;
    [[nodiscard]] virtual std::string releaseRequest(const std::string &address, const std::string &reservation) const = 0;
    /// Whether @p head is the response that grants a reservation.
    [[nodiscard]] virtual bool isReserved(const HttpHead &head) const = 0;

    /// Name of the header field that carries the request ID.
    [[nodiscard]] virtual std::string_view requestIdField() const = 0;

    /// Path of the readiness check of the load balancer.
    [[nodiscard]] virtual std::string_view readinessPath() const = 0;
};

}
