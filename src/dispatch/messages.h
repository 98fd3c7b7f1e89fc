#pragma once

#include "base/identifier.h"
#include "base/time.h"
#include "dispatch/servingview.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lentillock
{

/// Whether a request may have had an effect. Callers rely on WasNotRun: it is reported only if the request was certainly not run.
enum class RunState {
    WasNotRun,
    Ran,
    Unknown,
};

enum class RequestKind {
    Completion,
    Service,
};

using SharedText = std::shared_ptr<const std::string>;

/// A request that passed the filter chain.
struct RequestSpec {
    RequestId id;
    RequestKind kind = RequestKind::Completion;
    WorkspaceId workspace;
    ModelId model; ///< Completions only.
    std::int64_t priority = 0;
    TimePoint deadline;
    bool idempotent = true;
    std::string idempotencyKey; ///< Required if the request is not idempotent.
    std::uint64_t promptTokens = 0; ///< An estimate; the engine reports the exact number with its answer.
    std::uint64_t maxTokens = 0;
    SharedText prompt; ///< Prompt of a completion or body of a service call.
    std::vector<std::uint64_t> prefixBlocks; ///< Salted hashes of the prompt's leading blocks, shortest prefix first.
    std::string cacheSalt;
    std::string method; ///< Services only.
    std::string path; ///< Services only; includes the query.
    std::string contentType; ///< Services only.
};

using RequestSpecPtr = std::shared_ptr<const RequestSpec>;

/// Part of a long prompt whose KV cache is on another endpoint.
struct KvImport {
    EndpointId endpoint;
    AllocationId allocation;

    bool operator==(const KvImport &) const = default;
};

// Messages to the dispatcher.

/// A new request. Its identifier is unique among active requests; a repeated arrival is dropped and counted.
struct RequestArrived {
    RequestSpecPtr spec;
};

/// The caller closed its connection.
struct CallerDisconnected {
    RequestId request;
};

enum class ClaimVerdict {
    Won,
    Lost, ///< Another attempt holds the key.
    Refused, ///< The key is malformed, too old or in the future.
};

struct ClaimDecided {
    RequestId request;
    AttemptId attempt;
    ClaimVerdict verdict = ClaimVerdict::Lost;
    RunState winnerState = RunState::Unknown; ///< Run state of the attempt that holds the key, if the verdict is Lost.
    std::string message;
};

/// The endpoint sent the head of its answer.
struct AttemptAccepted {
    AttemptId attempt;
    int status = 200;
    std::string contentType;
};

struct AttemptChunk {
    AttemptId attempt;
    std::uint64_t position = 0; ///< Index of the first token (completions) or byte (services) of the chunk within the attempt.
    std::uint64_t length = 0; ///< Tokens (completions) or bytes (services).
    std::string text;
};

/// The endpoint sent the end marker of its answer.
struct AttemptEnded {
    AttemptId attempt;
    std::uint64_t position = 0; ///< Length of the attempt's whole answer, in the unit of AttemptChunk::length.
    std::string finishReason;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
};

enum class AttemptFailure {
    NotConnected, ///< No byte was sent.
    RefusedNotRun, ///< The endpoint states that it did not run the request.
    Rejected, ///< The endpoint answered with an error status, for example 400.
    Broken, ///< The connection ended early or the answer was malformed.
};

struct AttemptFailed {
    AttemptId attempt;
    AttemptFailure failure = AttemptFailure::Broken;
    int status = 0;
    std::string message;
    bool draining = false; ///< The endpoint states that it is leaving.
};

enum class EngineRequestState {
    Queued,
    Running,
    Finished,
    NotKnown, ///< The engine does not know the attempt.
    NoAnswer,
};

struct AttemptProbed {
    AttemptId attempt;
    EngineRequestState state = EngineRequestState::NoAnswer;
    std::uint64_t position = 0; ///< Tokens generated so far.
};

/// Result of ProbeEndpoint.
struct EndpointProbed {
    EndpointId endpoint;
    std::optional<LoadReport> load; ///< Not set if the endpoint did not answer.
};

struct AllocationAnswered {
    AllocationId allocation;
    bool granted = false;
};

struct PrefillAnswered {
    AllocationId allocation;
    bool succeeded = false;
};

struct ViewChanged {
    ServingViewPtr view;
};

/// Heartbeat of a control process, which confirms that the view is current.
struct ViewConfirmed {
};

/// Refuse new requests from now on. Active requests finish.
struct DrainStarted {
};

/// Fail all active requests immediately with an error that states their run state.
struct AbortAll {
};

using DispatchInput = std::variant<RequestArrived,
                                   CallerDisconnected,
                                   ClaimDecided,
                                   AttemptAccepted,
                                   AttemptChunk,
                                   AttemptEnded,
                                   AttemptFailed,
                                   AttemptProbed,
                                   EndpointProbed,
                                   AllocationAnswered,
                                   PrefillAnswered,
                                   ViewChanged,
                                   ViewConfirmed,
                                   DrainStarted,
                                   AbortAll>;

// Actions that the caller of the dispatcher must execute.

struct RequestClaim {
    RequestId request;
    AttemptId attempt;
    WorkspaceId workspace;
    std::string key;
    TimePoint deadline;
};

/// Release the claim of an attempt that was not run and never will be.
struct ReleaseClaim {
    AttemptId attempt;
    WorkspaceId workspace;
    std::string key;
};

struct RecordOutcome {
    AttemptId attempt;
    WorkspaceId workspace;
    std::string key;
    RunState state = RunState::Unknown;
};

struct StartAttempt {
    AttemptId attempt;
    EndpointId endpoint;
    std::string address;
    RequestSpecPtr spec;
    std::string continuation; ///< Text that was already sent to the caller; the endpoint continues after it.
    std::optional<AllocationId> allocation; ///< Memory reserved for the last part of a long prompt.
    std::vector<KvImport> imports; ///< Earlier parts of a long prompt.
    std::uint64_t promptOffset = 0; ///< Byte offset of the last part within the prompt.
};

/// Open a new connection and continue the attempt's stream from a position. The old connection is closed.
struct ResumeAttempt {
    AttemptId attempt;
    EndpointId endpoint;
    std::string address;
    std::uint64_t position = 0;
};

struct CancelAttempt {
    AttemptId attempt;
    EndpointId endpoint;
    std::string address;
};

/// Query the state of the attempt from the endpoint, on a new connection.
struct ProbeAttempt {
    AttemptId attempt;
    EndpointId endpoint;
    std::string address;
};

struct ProbeEndpoint {
    EndpointId endpoint;
    std::string address;
};

struct ReserveAllocation {
    AllocationId allocation;
    RequestId request;
    EndpointId endpoint;
    std::string address;
    std::uint64_t tokens = 0;
    TimePoint deadline;
};

struct PrefillPart {
    AllocationId allocation;
    EndpointId endpoint;
    std::string address;
    RequestSpecPtr spec;
    std::uint64_t part = 0;
    std::uint64_t promptOffset = 0; ///< Bytes.
    std::uint64_t promptLength = 0; ///< Bytes.
    std::vector<KvImport> imports;
};

struct ReleaseAllocation {
    AllocationId allocation;
    EndpointId endpoint;
    std::string address;
};

/// Part of the answer for the caller. Parts are in order and have no gaps.
struct SendToCaller {
    RequestId request;
    std::string text;
    std::uint64_t length = 0; ///< Tokens (completions) or bytes (services).
    int status = 200; ///< HTTP status of the endpoint's answer; used only with the first part of an answer.
    std::string contentType; ///< Services only.
};

/// Final action of a request.
struct FinishRequest {
    RequestId request;
    bool succeeded = false;
    int status = 200; ///< HTTP status to send if no part of the answer has been sent yet.
    std::string contentType; ///< Services only.
    std::string code; ///< Error code for the caller, for example "deadline_exceeded".
    std::string message;
    RunState runState = RunState::Ran;
    std::optional<milliseconds> retryAfter;
    std::string finishReason;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

enum class EndpointEvent {
    ConnectFailed,
    Silent,
    Draining,
};

struct ReportEndpoint {
    EndpointId endpoint;
    EndpointEvent event = EndpointEvent::ConnectFailed;
};

using DispatchAction = std::variant<RequestClaim,
                                    ReleaseClaim,
                                    RecordOutcome,
                                    StartAttempt,
                                    ResumeAttempt,
                                    CancelAttempt,
                                    ProbeAttempt,
                                    ProbeEndpoint,
                                    ReserveAllocation,
                                    PrefillPart,
                                    ReleaseAllocation,
                                    SendToCaller,
                                    FinishRequest,
                                    ReportEndpoint>;

}
