#include "gateway/nextstep.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Lentillock
{

namespace
{

SendFacts anyFacts()
{
    SendFacts facts;
    facts.outcome
        = *rc::gen::element(SendOutcome::Full, SendOutcome::Replaced, SendOutcome::NotConnected, SendOutcome::Broken, SendOutcome::Silent, SendOutcome::Failed);
    facts.mayRepeat = *rc::gen::arbitrary<bool>();
    facts.mayHaveRun = *rc::gen::arbitrary<bool>();
    facts.runs = facts.mayHaveRun ? *rc::gen::inRange(1, 4) : 0;
    facts.maxRuns = *rc::gen::inRange(1, 4);
    facts.sends = *rc::gen::inRange(1, 6);
    facts.budgetLeft = *rc::gen::arbitrary<bool>();
    facts.timeLeft = *rc::gen::arbitrary<bool>();
    facts.answerStarted = *rc::gen::arbitrary<bool>();
    facts.hasFailureAnswer = *rc::gen::arbitrary<bool>();
    return facts;
}

}

// An issuance or an order that ran twice promises the same money or wire twice.
RC_GTEST_PROP(NextStepTest, AtMostOnceRequest_MayHaveRun_IsNotSentAgain, ())
{
    SendFacts facts = anyFacts();
    facts.mayRepeat = false;
    facts.mayHaveRun = true;
    RC_ASSERT(nextStep(facts) != NextStep::SendAgain);
}

RC_GTEST_PROP(NextStepTest, Request_IsRefusedAsNotRun_HasNotRun, ())
{
    const SendFacts facts = anyFacts();
    RC_PRE(facts.mayHaveRun);
    RC_ASSERT(nextStep(facts) != NextStep::RefuseNotRun);
}

RC_GTEST_PROP(NextStepTest, Answer_HasStarted_IsContinuedOrCut, ())
{
    SendFacts facts = anyFacts();
    facts.answerStarted = true;
    const NextStep step = nextStep(facts);
    RC_ASSERT(step == NextStep::SendAgain || step == NextStep::CutAnswer);
}

RC_GTEST_PROP(NextStepTest, RunsReachMaximum_RequestIsNotSentAgain, ())
{
    SendFacts facts = anyFacts();
    facts.mayHaveRun = true;
    facts.runs = facts.maxRuns;
    RC_ASSERT(nextStep(facts) != NextStep::SendAgain);
}

TEST(NextStepTest, Connect_Failed_NeedsNoBudget)
{
    SendFacts facts;
    facts.outcome = SendOutcome::NotConnected;
    facts.timeLeft = true;
    facts.sends = 1;
    EXPECT_EQ(nextStep(facts), NextStep::SendAgain);
    facts.outcome = SendOutcome::Full;
    EXPECT_EQ(nextStep(facts), NextStep::RefuseNotRun);
}

}
