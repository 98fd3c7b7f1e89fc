#pragma once

#include "gateway/endpointhealth.h"

namespace Lentillock
{

/// State of a request after an attempt has ended without a complete response to relay.
struct RetryState {
    AttemptOutcome outcome = AttemptOutcome::Incomplete;
    bool allowsMultipleRuns = false; ///< The request may run more than once.
    bool mayHaveRun = false; ///< At least one attempt may have run the request.
    int possibleRuns = 0; ///< Number of attempts that may have run the request.
    int maxRuns = 1; ///< Maximum of possibleRuns, from the route.
    int attempts = 0; ///< Number of all attempts, including those that cannot have run the request.
    bool hasRetryBudget = false; ///< The fleet's retry budget allows another retry.
    bool hasTimeLeft = false;
    bool responseStarted = false; ///< The caller has received a part of the response.
    bool hasSilentAttempt = false; ///< An attempt is open whose endpoint has been silent for long, and may still respond.
    bool mayCrashEndpoint = false; ///< The last run ended with a crash of its endpoint, and the next one probably would, too.
    bool hasErrorResponse = false; ///< The endpoint's own error response can be relayed.
};

enum class NextStep {
    Retry, ///< Send the request to another endpoint.
    WaitForSilentAttempt, ///< Wait until an endpoint that has been silent responds.
    RelayErrorResponse, ///< Relay the error response of the endpoint.
    ReportNotRun, ///< Send an error response with the statement that the request has not run.
    ReportMayHaveRun, ///< Send an error response with the statement that the request may have run.
    AbortResponse, ///< Close the connection so that the response does not look complete.
};

/// Maximum number of attempts for one request, regardless of their outcomes.
inline constexpr int MaxAttempts = 4;

/// Decides how to proceed after an attempt has failed or is silent. A request that must not run twice is retried only if no attempt may have run it. A
/// request whose endpoint is only silent is not given up, because the endpoint may be processing it.
NextStep nextStep(const RetryState &state);

}
