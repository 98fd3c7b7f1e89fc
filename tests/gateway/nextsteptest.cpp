#include "gateway/nextstep.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Lentillock
{

namespace
{

RetryState anyRetryState()
{
    RetryState state;
    state.outcome = *rc::gen::element(AttemptOutcome::NotRun,
                                      AttemptOutcome::Replaced,
                                      AttemptOutcome::NotConnected,
                                      AttemptOutcome::Incomplete,
                                      AttemptOutcome::TimedOut,
                                      AttemptOutcome::Failed);
    state.allowsMultipleRuns = *rc::gen::arbitrary<bool>();
    state.mayHaveRun = *rc::gen::arbitrary<bool>();
    state.possibleRuns = state.mayHaveRun ? *rc::gen::inRange(1, 4) : 0;
    state.maxRuns = *rc::gen::inRange(1, 4);
    state.attempts = *rc::gen::inRange(1, 6);
    state.hasRetryBudget = *rc::gen::arbitrary<bool>();
    state.hasTimeLeft = *rc::gen::arbitrary<bool>();
    state.responseStarted = *rc::gen::arbitrary<bool>();
    state.hasErrorResponse = *rc::gen::arbitrary<bool>();
    return state;
}

}

// Guards against running a request with side effects twice, such as an issuance or an order, which would then take effect twice.
RC_GTEST_PROP(NextStepTest, AtMostOnceRequest_MayHaveRun_IsNotRetried, ())
{
    RetryState state = anyRetryState();
    state.allowsMultipleRuns = false;
    state.mayHaveRun = true;
    RC_ASSERT(nextStep(state) != NextStep::Retry);
}

RC_GTEST_PROP(NextStepTest, Request_IsReportedAsNotRun_HasNotRun, ())
{
    const RetryState state = anyRetryState();
    RC_PRE(state.mayHaveRun);
    RC_ASSERT(nextStep(state) != NextStep::ReportNotRun);
}

RC_GTEST_PROP(NextStepTest, ResponseHasStarted_IsResumedOrAborted, ())
{
    RetryState state = anyRetryState();
    state.responseStarted = true;
    const NextStep step = nextStep(state);
    RC_ASSERT(step == NextStep::Retry || step == NextStep::AbortResponse);
}

RC_GTEST_PROP(NextStepTest, RunsReachMaximum_RequestIsNotRetried, ())
{
    RetryState state = anyRetryState();
    state.mayHaveRun = true;
    state.possibleRuns = state.maxRuns;
    RC_ASSERT(nextStep(state) != NextStep::Retry);
}

TEST(NextStepTest, ConnectFailed_NeedsNoBudget)
{
    RetryState state;
    state.outcome = AttemptOutcome::NotConnected;
    state.hasTimeLeft = true;
    state.attempts = 1;
    EXPECT_EQ(nextStep(state), NextStep::Retry);
    state.outcome = AttemptOutcome::NotRun;
    EXPECT_EQ(nextStep(state), NextStep::ReportNotRun);
}

// Guards against giving up a request because its endpoint is silent and no other one takes it over: silence does not show that the endpoint has failed.
RC_GTEST_PROP(NextStepTest, EndpointIsOnlySilent_RequestIsNotGivenUp, ())
{
    RetryState state = anyRetryState();
    state.hasSilentAttempt = true;
    const NextStep step = nextStep(state);
    RC_ASSERT(step == NextStep::Retry || step == NextStep::WaitForSilentAttempt);
}

RC_GTEST_PROP(NextStepTest, SilentAttemptIsOpen_AnotherEndpointIsAsked_UnderTheSameConditions, ())
{
    RetryState state = anyRetryState();
    const bool isRetried = nextStep(state) == NextStep::Retry;
    state.hasSilentAttempt = true;
    RC_ASSERT((nextStep(state) == NextStep::Retry) == isRetried);
}

}
