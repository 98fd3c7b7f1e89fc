#pragma once

#include "base/metrics.h"
#include "entry/answerwriter.h"
#include "entry/bufferbudget.h"
#include "entry/filterchain.h"
#include "entry/httprequestparser.h"

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
    std::size_t maxPipelinedBytes = 64UL * 1024; ///< Received while a request is being answered.
    std::size_t maxAnswerBytes = 16UL * 1024 * 1024; ///< Of an answer that is not streamed.
    Duration headTimeout = 10s; ///< From the first byte of a request to the end of its head.
    Duration bodyTimeout = 30s; ///< From the end of the head to the end of the body.
    Duration idleTimeout = 75s; ///< Between two requests of a connection.
};

/// What all sessions of an entry share. The referenced objects outlive the sessions.
struct SessionEnvironment {
    /// Answer to a request for diagnostics, for example /healthz.
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

enum class ConnectionFate {
    Keep,
    Close, ///< After the bytes have been sent.
    Abort, ///< At once, so that the caller sees that the answer is not complete.
};

/// What the shell of a session is to do, in this order.
struct SessionOutput {
    std::string bytes; ///< To send to the caller.
    std::optional<RequestSpecPtr> admitted{}; ///< To give to the dispatcher.
    std::optional<RequestId> abandoned{}; ///< The caller of this request has gone.
    ConnectionFate fate = ConnectionFate::Keep;
};

/// One caller's connection: reads requests one after the other, has them filtered and writes their answers. Performs no I/O and reads no clock.
class HttpSession
{
public:
    explicit HttpSession(const SessionEnvironment &environment, TimePoint now);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    SessionOutput receive(TimePoint now, std::string_view bytes);

    /// Part of the answer to the current request. Parts for another request are ignored.
    SessionOutput write(TimePoint now, const SendToCaller &part);

    /// End of the answer to the current request. Goes on with the next request if that has been received.
    SessionOutput finish(TimePoint now, const FinishRequest &end);

    /// The connection has ended, or its caller reads too slowly.
    SessionOutput disconnect(std::string_view reason);

    /// Ends the connection when the caller takes too long to send a request.
    SessionOutput advance(TimePoint now);

private:
    enum class Phase {
        Idle, ///< Waits for the first byte of a request.
        Head,
        Body,
        Answering,
        Closed, ///< Further input is ignored.
    };

    void process(TimePoint now, SessionOutput &output);
    bool beginRequest(TimePoint now, SessionOutput &output);
    void admit(TimePoint now, SessionOutput &output);
    bool accountBody(SessionOutput &output);
    void refuse(const ErrorReply &error, bool keepAlive, SessionOutput &output);
    void endRequest(TimePoint now, SessionOutput &output);
    void enter(Phase phase, TimePoint now);

    const SessionEnvironment &environment_;
    HttpRequestParser parser_;
    Phase phase_ = Phase::Idle;
    TimePoint since_; ///< Start of the current phase.
    RequestContext context_;
    BufferLease lease_;
    std::optional<AnswerWriter> writer_;
    bool keepAlive_ = true;
    bool answered_ = false; ///< The first part of the answer has come.
    bool overflow_ = false; ///< More was pipelined than is kept.
};

}
