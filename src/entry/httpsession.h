#pragma once

#include "base/metrics.h"
#include "entry/bufferbudget.h"
#include "entry/filterchain.h"
#include "entry/httprequestparser.h"
#include "entry/responsewriter.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

struct SessionLimits {
    HttpLimits http;
    std::size_t maxPipelinedBytes = 64UL * 1024; ///< Received before the response to the current request is complete.
    std::size_t maxAnswerBytes = 16UL * 1024 * 1024; ///< Size of a response that is not streamed.
    Duration headTimeout = 10s; ///< From the first byte of a request to the end of its header section.
    Duration bodyTimeout = 30s; ///< From the end of the header section to the end of the body.
    Duration idleTimeout = 75s; ///< Between two requests on a connection.
};

/// State and services shared by all sessions of an entry. The referenced objects must outlive the sessions.
struct SessionEnvironment {
    /// Response to a diagnostics request, for example /healthz.
    struct Diagnostics {
        int status = 200;
        std::string contentType;
        std::string body;
    };

    SessionLimits limits;
    const FilterChain &filters;
    BufferBudget &budget;
    Metrics &metrics;
    std::function<EntryViewPtr()> view;
    std::function<RequestId()> newRequestId; ///< Never returns the same identifier twice.
    std::function<std::optional<Diagnostics>(std::string_view path)> diagnostics;
};

/// What happens to the connection after the output of a session has been processed.
enum class ConnectionAction {
    Keep,
    Close, ///< Close after the bytes have been sent.
    Abort, ///< Reset at once, so that the caller can tell that the response is incomplete.
};

/// Output of a session for CallerConnection to apply.
struct SessionOutput {
    std::string bytes; ///< Bytes for the caller.
    std::optional<RequestSpecPtr> admitted{}; ///< Request for the dispatcher.
    std::optional<RequestId> abandoned{}; ///< Request whose response can no longer be delivered.
    ConnectionAction connectionAction = ConnectionAction::Keep;
};

/// HTTP state machine of one caller's connection: parses requests in sequence, applies the filters and writes the responses. Performs no I/O and reads no
/// clock.
class HttpSession
{
public:
    explicit HttpSession(const SessionEnvironment &environment, TimePoint now);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    SessionOutput receive(TimePoint now, std::string_view bytes);

    /// Adds a part of the response to the current request. Parts for another request are ignored.
    SessionOutput write(TimePoint now, const SendToCaller &part);

    /// Completes the response to the current request, then processes the next request if it has been received.
    SessionOutput finish(TimePoint now, const FinishRequest &end);

    /// Ends the session because the connection was closed or the caller reads too slowly.
    SessionOutput disconnect(std::string_view reason);

    /// Checks the timeouts for idle connections and for incomplete requests.
    SessionOutput advance(TimePoint now);

private:
    enum class Phase {
        Idle, ///< Waiting for the first byte of a request.
        Head,
        Body,
        Responding,
        Closed, ///< Further input is ignored.
    };

    void process(TimePoint now, SessionOutput &output);
    bool beginRequest(TimePoint now, SessionOutput &output);
    void admit(TimePoint now, SessionOutput &output);
    bool reserveBodyBytes(SessionOutput &output);
    void refuse(const ErrorReply &error, bool keepAlive, SessionOutput &output);
    void endRequest(TimePoint now, SessionOutput &output);
    void setPhase(Phase phase, TimePoint now);

    const SessionEnvironment &environment_;
    HttpRequestParser parser_;
    Phase phase_ = Phase::Idle;
    TimePoint phaseStart_; ///< Time at which the current phase began.
    RequestContext context_;
    BufferReservation reservation_;
    std::optional<ResponseWriter> writer_;
    bool keepAlive_ = true;
    bool responseStarted_ = false; ///< The first part of the response has arrived.
    bool pipelineOverflow_ = false; ///< The pipelined bytes exceed SessionLimits::maxPipelinedBytes.
};

}
