#include "gateway/nextstep.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Lentillock
{

namespace
{

RetryState anyFacts()
{
    RetryState facts;
    facts.outcome = *rc::gen::element(
        SendOutcome::NoCapacity, SendOutcome::Replaced, SendOutcome::NotConnected, SendOutcome::Incomplete, SendOutcome::TimedOut, SendOutcome::Failed);
    facts.mayRepeat = *rc::gen::arbitrary<bool>();
    facts.mayHaveRun = *rc::gen::arbitrary<bool>();
    facts.possibleRuns = facts.mayHaveRun ? *rc::gen::inRange(1, 4) : 0;
    facts.maxRuns = *rc::gen::inRange(1, 4);
    facts.sends = *rc::gen::inRange(1, 6);
    facts.hasRetryBudget = *rc::gen::arbitrary<bool>();
    facts.hasTimeLeft = *rc::gen::arbitrary<bool>();
    facts.responseStarted = *rc::gen::arbitrary<bool>();
    facts.hasErrorResponse = *rc::gen::arbitrary<bool>();
    return facts;
}

}

// An issuance or an order that ran twice promises the same money or wire twice.
RC_GTEST_PROP(NextStepTest, AtMostOnceRequest_MayHaveRun_IsNotSentAgain, ())
{
    RetryState facts = anyFacts();
    facts.mayRepeat = false;
    facts.mayHaveRun = true;
    RC_ASSERT(nextStep(facts) != NextStep::Retry);
}

RC_GTEST_PROP(NextStepTest, Request_IsRefusedAsNotRun_HasNotRun, ())
{
    const RetryState facts = anyFacts();
    RC_PRE(facts.mayHaveRun);
    RC_ASSERT(nextStep(facts) != NextStep::RefuseNotRun);
}

RC_GTEST_PROP(NextStepTest, Answer_HasStarted_IsContinuedOrCut, ())
{
    RetryState facts = anyFacts();
    facts.responseStarted = true;
    const NextStep step = nextStep(facts);
    RC_ASSERT(step == NextStep::Retry || step == NextStep::AbortResponse);
}

RC_GTEST_PROP(NextStepTest, RunsReachMaximum_RequestIsNotSentAgain, ())
{
    RetryState facts = anyFacts();
    facts.mayHaveRun = true;
    facts.possibleRuns = facts.maxRuns;
    RC_ASSERT(nextStep(facts) != NextStep::Retry);
}

TEST(NextStepTest, Connect_Failed_NeedsNoBudget)
{
    RetryState facts;
    facts.outcome = SendOutcome::NotConnected;
    facts.hasTimeLeft = true;
    facts.sends = 1;
    EXPECT_EQ(nextStep(facts), NextStep::Retry);
    facts.outcome = SendOutcome::NoCapacity;
    EXPECT_EQ(nextStep(facts), NextStep::RefuseNotRun);
}

}
