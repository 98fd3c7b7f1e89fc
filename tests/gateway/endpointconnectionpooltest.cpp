#include "gateway/endpointconnectionpool.h"

#include <gtest/gtest.h>

namespace Lentillock
{

// An endpoint resets channels beyond its bound: 16 idle ones of each of 73 VMs would exceed the 110 of an endpoint, and requests on new ones
// would fail.
TEST(IdleConnectionLimitTest, ManyVms_KeepIdleChannels_LeaveRoomForBusyOnes)
{
    for (const std::size_t maxConnections : {1U, 49U, 110U, 264U, 568U}) {
        for (const std::size_t vmCount : {1U, 7U, 73U, 300U, 810U}) {
            EXPECT_LE(2 * vmCount * idleConnectionLimit(maxConnections, vmCount), maxConnections) << maxConnections << " channels, " << vmCount << " VMs";
        }
    }
}

TEST(IdleConnectionLimitTest, FewVms_KeepSome)
{
    EXPECT_EQ(idleConnectionLimit(49, 7), 3U);
    EXPECT_EQ(idleConnectionLimit(568, 68), 4U);
}

TEST(IdleConnectionLimitTest, BoundIsNotStated_KeepsTheUsualNumber)
{
    EXPECT_GT(idleConnectionLimit(0, 73), 0U);
}

}
