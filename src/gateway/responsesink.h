#pragma once

#include "gateway/httphead.h"

#include <string>

namespace Lentillock
{

/// Where the answer to one request goes. Exactly one of answer(), endStream() and cut() ends it.
class ResponseSink
{
public:
    ResponseSink() = default;
    ResponseSink(const ResponseSink &) = delete;
    ResponseSink &operator=(const ResponseSink &) = delete;
    virtual ~ResponseSink() = default;

    virtual void answer(const HttpHead &head, std::string body) = 0;
    virtual void beginStream(const HttpHead &head) = 0;
    virtual void continueStream(std::string bytes) = 0;
    virtual void endStream() = 0;

    /// Closes the channel, so that an answer that has begun does not look complete.
    virtual void cut() = 0;
};

}
