#include "entry/controlselector.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

using Kind = ControlSelector::Kind;
using Actions = std::vector<ControlSelector::Action>;

class ControlSelectorTest : public testing::Test
{
protected:
    TimePoint start_;
    ControlSelector selector_{{"own", "second"}};
};

TEST_F(ControlSelectorTest, Start_OpensTheOwnControl)
{
    EXPECT_EQ(selector_.advance(start_), (Actions{{Kind::Open, 1, "own"}}));
    EXPECT_TRUE(selector_.updateReceived(start_, 1).empty());
    EXPECT_TRUE(selector_.isConnected());
    EXPECT_TRUE(selector_.advance(start_ + 1499ms).empty());
}

// Guards against an entry that stays connected to an unresponsive control process.
TEST_F(ControlSelectorTest, OwnControlSilent_OpensTheNextAfterTheLimit)
{
    selector_.advance(start_);
    selector_.updateReceived(start_, 1);
    EXPECT_EQ(selector_.nextDue(), start_ + 1500ms);
    EXPECT_EQ(selector_.advance(start_ + 1500ms), (Actions{{Kind::Close, 1, "own"}, {Kind::Open, 2, "second"}}));
    EXPECT_FALSE(selector_.isConnected());
}

TEST_F(ControlSelectorTest, OwnControlAnswersAgain_TakesOver)
{
    selector_.advance(start_);
    selector_.advance(start_ + 1500ms);
    selector_.updateReceived(start_ + 1600ms, 2);
    EXPECT_EQ(selector_.advance(start_ + 3500ms), (Actions{{Kind::Close, 2, "second"}, {Kind::Open, 3, "own"}}));
}

TEST_F(ControlSelectorTest, OwnControlProbed_WhileTheSecondServes_ReplacesIt)
{
    selector_.advance(start_);
    selector_.advance(start_ + 1500ms);
    for (int i = 0; i < 25; ++i) {
        selector_.updateReceived(start_ + 1500ms + i * 100ms, 2);
    }
    EXPECT_EQ(selector_.advance(start_ + 3900ms), (Actions{{Kind::Open, 3, "own"}}));
    EXPECT_TRUE(selector_.isCurrent(2));
    EXPECT_EQ(selector_.updateReceived(start_ + 3950ms, 3), (Actions{{Kind::Close, 2, "second"}}));
    EXPECT_TRUE(selector_.isCurrent(3));
}

TEST_F(ControlSelectorTest, AllControlsFail_AsksForTheVmListAndGoesOn)
{
    selector_.advance(start_);
    EXPECT_TRUE(selector_.streamEnded(start_ + 1ms, 1).empty());
    EXPECT_EQ(selector_.advance(start_ + 100ms), (Actions{{Kind::Open, 2, "second"}}));
    EXPECT_EQ(selector_.streamEnded(start_ + 300ms, 2), (Actions{{Kind::AllFailed, 0, ""}, {Kind::Open, 3, "own"}}));
}

TEST_F(ControlSelectorTest, MembersOfTheView_BecomeCandidates)
{
    selector_.setMembers({"second", "third", ""});
    EXPECT_EQ(selector_.preferenceOrder(), (std::vector<std::string>{"own", "second", "third"}));
}

// Guards against treating a late update of a closed stream as a sign of a working connection.
TEST_F(ControlSelectorTest, UpdateOfAnOldStream_DoesNotCount)
{
    selector_.advance(start_);
    selector_.advance(start_ + 1500ms);
    selector_.updateReceived(start_ + 1501ms, 1);
    EXPECT_FALSE(selector_.isConnected());
}

}
}
