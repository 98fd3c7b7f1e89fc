#include "gateway/reportorder.h"

#include <gtest/gtest.h>

namespace Lentillock
{

namespace
{

class ReportOrderTest : public testing::Test
{
protected:
    ReportOrder order_;
};

}

TEST_F(ReportOrderTest, Report_IsRepeatedOrDelayed_IsRejected)
{
    EXPECT_TRUE(order_.accept({1, 5}));
    EXPECT_FALSE(order_.accept({1, 5}));
    EXPECT_FALSE(order_.accept({1, 4}));
    EXPECT_TRUE(order_.accept({1, 7}));
}

// The number of an incarnation is random: a clock that is set back must not make the reports of a new process look old.
TEST_F(ReportOrderTest, VmRestarts_NewProcessIsAccepted_EarlierOneIsRejected)
{
    EXPECT_TRUE(order_.accept({9, 1000}));
    EXPECT_TRUE(order_.accept({3, 1}));
    EXPECT_TRUE(order_.isNewIncarnation());
    EXPECT_FALSE(order_.accept({9, 1001}));
    EXPECT_TRUE(order_.accept({3, 2}));
    EXPECT_FALSE(order_.isNewIncarnation());
}

TEST_F(ReportOrderTest, VmRestartsSeveralTimes_DelayedReportsOfAllProcesses_AreRejected)
{
    for (std::uint32_t incarnation = 1; incarnation <= 4; ++incarnation) {
        EXPECT_TRUE(order_.accept({incarnation, 1}));
    }
    for (std::uint32_t incarnation = 1; incarnation <= 3; ++incarnation) {
        EXPECT_FALSE(order_.accept({incarnation, 2}));
    }
    EXPECT_TRUE(order_.accept({4, 2}));
}

}
