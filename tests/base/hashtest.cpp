#include "base/hash.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Lentillock
{
namespace
{

class RendezvousTest : public testing::Test
{
protected:
    std::vector<std::string> nodes_{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7"};
};

// Guards against a hash that changes between versions: old and new binaries would select different writers.
TEST_F(RendezvousTest, StableHash_OfFixedBytes_HasRecordedValue)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(stableHash("lentillock"), stableHash("lentillock", 0));
    EXPECT_NE(stableHash("lentillock"), stableHash("lentillock", 1));
}

// Guards against reassigning keys of the remaining VMs when one VM leaves.
TEST_F(RendezvousTest, OneNodeRemoved_OrderIsComputedAgain_OtherKeysKeepTheirNode)
{
    std::vector<std::string> fewer = nodes_;
    std::erase(fewer, "vm4");
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "key" + std::to_string(i);
        const std::string before = rendezvousOrder(key, nodes_, 1).front();
        if (before != "vm4") {
            EXPECT_EQ(rendezvousOrder(key, fewer, 1).front(), before);
        }
    }
}

}
}
