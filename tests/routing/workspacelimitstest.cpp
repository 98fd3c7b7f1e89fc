#include "routing/workspacelimits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace Lentillock
{
namespace
{

/// Several VMs that exchange demand. A network partition divides them into sides that cannot see each other.
class LimitsFleet
{
public:
    explicit LimitsFleet(std::size_t vms, double limit = 0)
        : sides_(vms, 0)
    {
        Workspace workspace;
        workspace.id = workspace_;
        workspace.requestsPerSecond = limit;
        for (std::size_t i = 0; i < vms; ++i) {
            limits_.push_back(std::make_unique<WorkspaceLimits>(id(i), vms));
            limits_.back()->setWorkspaces({workspace});
        }
    }

    void setSide(std::size_t vm, std::size_t side)
    {
        sides_[vm] = side;
    }

    void exchange()
    {
        for (std::size_t to = 0; to < limits_.size(); ++to) {
            std::vector<VmId> visible;
            for (std::size_t from = 0; from < limits_.size(); ++from) {
                if (sides_[from] != sides_[to]) {
                    continue;
                }
                visible.push_back(id(from));
                for (const WorkspaceDemand &demand : limits_[from]->ownDemand(now_)) {
                    limits_[to]->setDemand(demand);
                }
            }
            limits_[to]->setVms(now_, visible);
        }
    }

    /// Sends @p requests requests to the VM and returns the number that were admitted.
    std::size_t offer(std::size_t vm, std::size_t requests)
    {
        std::size_t admitted = 0;
        for (std::size_t i = 0; i < requests; ++i) {
            admitted += limits_[vm]->admit(now_, workspace_, 1) ? 0 : 1;
        }
        return admitted;
    }

    void advance(Duration time)
    {
        now_ += time;
    }

    [[nodiscard]] double share(std::size_t vm) const
    {
        return limits_[vm]->share(now_, workspace_);
    }

    void setExpectedVms(std::size_t vm, std::size_t vms)
    {
        limits_[vm]->setExpectedVms(vms);
    }

    [[nodiscard]] double totalShare() const
    {
        double sum = 0;
        for (const auto &limits : limits_) {
            sum += limits->share(now_, workspace_);
        }
        return sum;
    }

private:
    static VmId id(std::size_t index)
    {
        return VmId("vm-" + std::to_string(index));
    }

    TimePoint now_{std::chrono::hours(1)};
    WorkspaceId workspace_{"workspace"};
    std::vector<std::size_t> sides_;
    std::vector<std::unique_ptr<WorkspaceLimits>> limits_;
};

// Guards against a total that grows with the number of sides of a network partition.
RC_GTEST_PROP(WorkspaceLimitsTest, AnyPartition_AnyDemand_StaysBelowStatedExcess, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(1, 13);
    LimitsFleet fleet(vms);
    for (int second = 0; second < 40; ++second) {
        if (second == 10 || second == 25) {
            for (std::size_t vm = 0; vm < vms; ++vm) {
                fleet.setSide(vm, *rc::gen::inRange<std::size_t>(0, vms));
            }
        }
        for (std::size_t vm = 0; vm < vms; ++vm) {
            fleet.offer(vm, *rc::gen::inRange<std::size_t>(0, 20));
        }
        fleet.exchange();
        fleet.advance(1s);
        // Shares are stable once every VM has learnt of the change.
        if (second < 10 || (second > 13 && second < 25) || second > 28) {
            RC_ASSERT(fleet.totalShare() <= WorkspaceLimits::MaxExcess + 0.001);
        }
    }
}

// Guards against a total above the limit when demand moves between VMs and demand updates are up to one second old.
TEST(WorkspaceLimitsTest, DemandMovesBetweenVms_TotalStaysWithinTheLimit)
{
    LimitsFleet fleet(7);
    for (int second = 0; second < 60; ++second) {
        fleet.offer(static_cast<std::size_t>(second / 10), 50);
        for (int tenth = 0; tenth < 10; ++tenth) {
            fleet.advance(100ms);
            EXPECT_LE(fleet.totalShare(), 1.05) << second;
        }
        fleet.exchange();
    }
}

// Guards against static shares: a VM that receives all requests must get most of the limit.
TEST(WorkspaceLimitsTest, OneVmHasAllDemand_AdmitsMostOfTheLimit)
{
    LimitsFleet fleet(7, 70);
    std::size_t admitted = 0;
    for (int second = 0; second < 30; ++second) {
        for (int tenth = 0; tenth < 10; ++tenth) {
            const std::size_t now = fleet.offer(0, 20);
            admitted += second >= 20 ? now : 0;
            fleet.advance(100ms);
        }
        fleet.exchange();
    }
    EXPECT_GE(admitted, 500U);
    EXPECT_LE(admitted, 710U);
}

// Guards against a VM that takes the whole limit as soon as it loses contact, and against losing capacity permanently when VMs leave.
TEST(WorkspaceLimitsTest, OtherVmsVanish_LastOneTakesWholeLimitOnlyAfterRetention)
{
    LimitsFleet fleet(8);
    fleet.exchange();
    for (std::size_t vm = 1; vm < 8; ++vm) {
        fleet.setSide(vm, 1);
    }
    for (int second = 0; second < 60; ++second) {
        fleet.offer(0, 1);
        fleet.exchange();
        fleet.advance(1s);
    }
    EXPECT_LE(fleet.share(0), WorkspaceLimits::MaxExcess / 8 + 0.001);
    fleet.setExpectedVms(0, 1);
    for (int second = 0; second < 1000; ++second) {
        fleet.offer(0, 1);
        fleet.exchange();
        fleet.advance(1s);
    }
    EXPECT_GE(fleet.share(0), 0.99);
}

}
}
