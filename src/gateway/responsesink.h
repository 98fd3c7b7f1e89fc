#pragma once

#include "gateway/httphead.h"

#include <string>

namespace Lentillock
{

/// Receives the response to one request. Exactly one of sendResponse(), endStream() and abort() completes it.
class ResponseSink
{
public:
    ResponseSink() = default;
    ResponseSink(const ResponseSink &) = delete;
    ResponseSink &operator=(const ResponseSink &) = delete;
    virtual ~ResponseSink() = default;

    virtual void sendResponse(const HttpHead &head, std::string body) = 0;
    virtual void startStream(const HttpHead &head) = 0;
    virtual void writeStream(std::string bytes) = 0;
    virtual void endStream() = 0;

    /// Closes the connection, so that the caller does not take a partial response for a complete one.
    virtual void abort() = 0;
};

}
