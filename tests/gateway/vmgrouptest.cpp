#include "gateway/vmgroup.h"

#include "base/hash.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace Lentillock
{

namespace
{

constexpr std::uint32_t Zone = 17;

class VmGroupTest : public testing::Test
{
protected:
    /// Sizes of the groups of a zone with @p vmCount VMs.
    static std::map<VmGroup, std::size_t> groupSizes(std::size_t vmCount)
    {
        std::map<VmGroup, std::size_t> sizes;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            ++sizes[groupOf(stableHash("vm-" + std::to_string(vm)), Zone, vmCount, 5 * vmCount)];
        }
        return sizes;
    }
};

}

TEST_F(VmGroupTest, FleetIsSmall_FormsOneGroup)
{
    EXPECT_EQ(groupOf(1, Zone, 3, 8), groupOf(2, Zone + 1, 3, 8));
}

TEST_F(VmGroupTest, ZoneIsLarge_IsDividedIntoGroupsOfLimitedSize)
{
    EXPECT_EQ(groupSizes(40).size(), 1U);
    const auto sizes = groupSizes(200);
    EXPECT_EQ(sizes.size(), 8U);
    for (const auto &[group, size] : sizes) {
        EXPECT_LE(size, 48U);
    }
}

// VMs that know different numbers of VMs must not count the same VM in two groups.
TEST_F(VmGroupTest, GroupSplits_OverlapsWithBothParts)
{
    const VmGroup whole{.zone = Zone};
    const VmGroup lower{.zone = Zone, .splitBits = 1, .part = 0};
    const VmGroup upper{.zone = Zone, .splitBits = 1, .part = 1};
    const VmGroup upperQuarter{.zone = Zone, .splitBits = 2, .part = 3};
    EXPECT_TRUE(whole.overlaps(lower) && lower.overlaps(whole) && whole.overlaps(upperQuarter));
    EXPECT_TRUE(upper.overlaps(upperQuarter));
    EXPECT_FALSE(lower.overlaps(upper));
    EXPECT_FALSE(lower.overlaps(upperQuarter));
    EXPECT_FALSE(whole.overlaps({.zone = Zone + 1}));
    EXPECT_TRUE(VmGroup{}.overlaps(upper));
}

TEST_F(VmGroupTest, VmCountGrows_NoVmMovesToAnOtherwiseUnrelatedGroup)
{
    for (std::uint64_t vm = 0; vm < 100; ++vm) {
        const std::uint64_t hash = stableHash(std::to_string(vm));
        EXPECT_TRUE(groupOf(hash, Zone, 48, 200).overlaps(groupOf(hash, Zone, 49, 200)));
        EXPECT_TRUE(groupOf(hash, Zone, 96, 400).overlaps(groupOf(hash, Zone, 300, 1200)));
    }
}

}
