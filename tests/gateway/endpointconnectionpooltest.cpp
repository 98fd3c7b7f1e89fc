#include "gateway/endpointconnectionpool.h"

#include <gtest/gtest.h>

namespace Lentillock
{

// An endpoint resets connections beyond its limit. With 16 idle connections from each of 73 VMs, an endpoint with a limit of 110 would reset new
// connections, and the requests on them would fail.
TEST(IdleConnectionLimitTest, ManyVms_KeepIdleConnections_LeaveRoomForBusyOnes)
{
    for (const std::size_t maxConnections : {1U, 49U, 110U, 264U, 568U}) {
        for (const std::size_t vmCount : {1U, 7U, 73U, 300U, 810U}) {
            EXPECT_LE(2 * vmCount * idleConnectionLimit(maxConnections, vmCount), maxConnections) << maxConnections << " connections, " << vmCount << " VMs";
        }
    }
}

TEST(IdleConnectionLimitTest, FewVms_KeepSome)
{
    EXPECT_EQ(idleConnectionLimit(49, 7), 3U);
    EXPECT_EQ(idleConnectionLimit(568, 68), 4U);
}

TEST(IdleConnectionLimitTest, LimitIsNotStated_KeepsDefaultNumber)
{
    EXPECT_GT(idleConnectionLimit(0, 73), 0U);
}

}
