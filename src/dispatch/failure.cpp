#include "dispatch/failure.h"

namespace Lentillock::Failures
{

Failure deadlineExceeded()
{
    return {504, "deadline_exceeded", "the request's time has passed", false};
}

Failure cannotFinishInTime()
{
    return {503, "cannot_finish_in_time", "the request is not expected to finish within its time", true};
}

Failure overloaded()
{
    return {429, "overloaded", "too many requests wait for an endpoint", true};
}

Failure overloaded(Duration retryAfter)
{
    return {429, "overloaded", "the request is not expected to get an endpoint in time", true, retryAfter};
}

Failure rateLimited(Duration retryAfter)
{
    return {429, "rate_limited", "the workspace has used up its rate of requests or tokens", true, retryAfter};
}

Failure draining()
{
    return {503, "draining", "this entry is shutting down and accepts no new requests", true};
}

Failure aborted()
{
    return {503, "shutting_down", "this entry was shut down before the request had finished", false};
}

Failure viewExpired()
{
    return {503, "view_expired", "this entry has had no current view of the fleet for too long", true};
}

Failure noEndpoint()
{
    return {404, "no_endpoint", "no endpoint of the serving document serves this request", false};
}

Failure promptTooLong()
{
    return {413, "prompt_too_long", "no availability zone has the memory for this prompt", false};
}

Failure keyInUse(const std::string &message)
{
    return {409, "key_in_use", message.empty() ? "another request holds the idempotency key" : message, false};
}

Failure keyRefused(const std::string &message)
{
    return {400, "key_refused", message.empty() ? "the idempotency key is not accepted" : message, false};
}

Failure retryLimit(const std::string &cause)
{
    return {503, "retry_limit", "not retried because too many requests are being retried; " + cause, true};
}

Failure endpointFailed(const std::string &cause)
{
    return {502, "endpoint_failed", cause, false};
}

Failure answerInconsistent()
{
    return {502, "answer_inconsistent", "the endpoint's end marker contradicts the answer that it has sent", false};
}

Failure rejected(int status, const std::string &message)
{
    return {status, "rejected", message.empty() ? "the endpoint has rejected the request" : message, false};
}

Failure callerDisconnected()
{
    return {499, "caller_gone", "the caller has closed its connection", false};
}

}
