#include "lease/orderreconciler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{
namespace
{

/// An engine that carries out orders like the deployments do, with or without a check of fencing numbers.
struct SimulatedEngine {
    EngineState state;
    bool checksFencing = true;
    std::uint64_t highestFencing = 0;
    std::uint64_t cutOff = 0; ///< Requests that were ended by an order.

    bool order(const EngineOrder &order)
    {
        const bool isOld = checksFencing && order.fencing < highestFencing;
        if (isOld || order.generation != state.generation || (order.ifIdle && state.running > 0)) {
            return false;
        }
        highestFencing = std::max(highestFencing, order.fencing);
        if (!order.model.isEmpty() && (order.model != state.model || order.version != state.version)) {
            cutOff += state.running;
            state.running = 0;
            state.model = order.model;
            state.version = order.version;
        }
        state.role = order.role;
        return true;
    }
};

/// Engines of one model and their reconcilers. Each reconciler stands for one VM.
class SimulatedFleet
{
public:
    SimulatedFleet(std::size_t engines, std::int64_t minEndpoints, bool checksFencing)
        : minEndpoints_(minEndpoints)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            SimulatedEngine engine;
            engine.state = {EndpointId("e" + std::to_string(i)), "g1", ModelId("m"), "1", EngineRole::Serve, 2, now_};
            engine.checksFencing = checksFencing;
            engines_.push_back(engine);
        }
        setVersion("1");
    }

    void setVersion(const std::string &version)
    {
        auto document = std::make_shared<ServingDocument>();
        document->models.push_back({ModelId("m"), version, minEndpoints_, 1000});
        for (const SimulatedEngine &engine : engines_) {
            Endpoint endpoint;
            endpoint.id = engine.state.endpoint;
            endpoint.model = ModelId("m");
            endpoint.checksFencing = engine.checksFencing;
            document->endpoints.push_back(endpoint);
        }
        document_ = document;
    }

    /// Time passes; draining engines finish their work and serving ones get some.
    void advance(milliseconds time)
    {
        now_ += time;
        for (SimulatedEngine &engine : engines_) {
            if (engine.state.role == EngineRole::Serve && !engine.state.model.isEmpty()) {
                engine.state.running = 2;
            } else if (engine.state.running > 0) {
                --engine.state.running;
            }
            engine.state.measuredAt = now_;
        }
        leastServing_ = std::min(leastServing_, serving());
    }

    void report(OrderReconciler &reconciler) const
    {
        reconciler.setDocument(document_);
        for (const SimulatedEngine &engine : engines_) {
            reconciler.setEngine(engine.state);
        }
    }

    /// One round of a VM that holds the lease.
    void run(OrderReconciler &reconciler, std::uint64_t fencing)
    {
        report(reconciler);
        const ReconcileActions actions = reconciler.next(now_, fencing);
        if (actions.weights) {
            answerWeights(reconciler, *actions.weights);
        }
        if (actions.order) {
            const bool accepted = send(*actions.order);
            reconciler.orderEnded(now_, actions.order->endpoint, accepted);
        }
    }

    bool send(const EngineOrder &order)
    {
        for (SimulatedEngine &engine : engines_) {
            if (engine.state.endpoint == order.endpoint) {
                const bool accepted = engine.order(order);
                leastServing_ = std::min(leastServing_, serving());
                return accepted;
            }
        }
        return false;
    }

    void answerWeights(OrderReconciler &reconciler, const WeightRequest &request)
    {
        ++weightRequests_;
        if (now_ < weightsFrom_) {
            reconciler.weightsRefused(now_, std::chrono::ceil<milliseconds>(weightsFrom_ - now_));
        } else {
            reconciler.weightsStarted(request);
        }
    }

    [[nodiscard]] std::int64_t serving() const
    {
        return std::count_if(engines_.begin(), engines_.end(), [](const SimulatedEngine &engine) {
            return engine.state.role == EngineRole::Serve && !engine.state.model.isEmpty();
        });
    }

    [[nodiscard]] std::int64_t onVersion(const std::string &version) const
    {
        return std::count_if(engines_.begin(), engines_.end(), [&](const SimulatedEngine &engine) {
            return engine.state.role == EngineRole::Serve && engine.state.version == version;
        });
    }

    [[nodiscard]] std::uint64_t cutOff() const
    {
        std::uint64_t sum = 0;
        for (const SimulatedEngine &engine : engines_) {
            sum += engine.cutOff;
        }
        return sum;
    }

    std::vector<SimulatedEngine> engines_;
    std::int64_t minEndpoints_;
    ServingDocumentPtr document_;
    TimePoint now_{1h};
    TimePoint weightsFrom_; ///< The weight store refuses requests before this time.
    int weightRequests_ = 0;
    std::int64_t leastServing_ = 1000;
};

class OrderReconcilerTest : public testing::Test
{
protected:
    static void runRounds(SimulatedFleet &fleet, OrderReconciler &reconciler, std::uint64_t fencing, int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            fleet.advance(500ms);
            fleet.run(reconciler, fencing);
        }
    }

    OrderReconciler reconciler_{{}};
};

TEST_F(OrderReconcilerTest, NewVersion_IsLoadedEverywhere_WithoutCuttingOffWork)
{
    SimulatedFleet fleet(4, 3, true);
    fleet.setVersion("2");
    runRounds(fleet, reconciler_, 5, 100);
    EXPECT_EQ(fleet.onVersion("2"), 4);
    EXPECT_EQ(fleet.cutOff(), 0U);
    EXPECT_EQ(fleet.leastServing_, 3);
    EXPECT_TRUE(reconciler_.waiting().empty());
}

// Guards against giving up the last spare capacity, and against a silent standstill.
TEST_F(OrderReconcilerTest, NoSpareEndpoint_KeepsAllAndSaysWhy)
{
    SimulatedFleet fleet(3, 3, true);
    fleet.setVersion("2");
    runRounds(fleet, reconciler_, 5, 50);
    EXPECT_EQ(fleet.onVersion("1"), 3);
    EXPECT_EQ(reconciler_.waiting().at(EndpointId("e0")), "draining it would leave 2 endpoints for m, which needs 3");
}

// Guards against draining engines that then stand idle because the weight store limits the rate.
TEST_F(OrderReconcilerTest, WeightStoreLimited_KeepsCapacityInUseAndWaits)
{
    SimulatedFleet fleet(4, 1, true);
    fleet.setVersion("2");
    fleet.weightsFrom_ = fleet.now_ + 30s;
    runRounds(fleet, reconciler_, 5, 50);
    EXPECT_EQ(fleet.leastServing_, 4);
    EXPECT_LE(fleet.weightRequests_, 2);
    runRounds(fleet, reconciler_, 5, 100);
    EXPECT_EQ(fleet.onVersion("2"), 4);
}

TEST_F(OrderReconcilerTest, EngineWithoutReport_IsNeitherOrderedNorCounted)
{
    SimulatedFleet fleet(4, 3, true);
    fleet.setVersion("2");
    fleet.report(reconciler_);
    fleet.now_ += 6s;
    EXPECT_EQ(reconciler_.next(fleet.now_, 5), ReconcileActions());
}

// Guards against counting on an engine that the previous holder has ordered to drain: its older report does not show the order.
TEST_F(OrderReconcilerTest, ReportFromBeforeTakeover_IsNotUsed)
{
    SimulatedFleet fleet(5, 3, false);
    fleet.setVersion("2");
    fleet.report(reconciler_);
    fleet.now_ += 1s;
    EXPECT_EQ(reconciler_.next(fleet.now_, 5), ReconcileActions());
    fleet.advance(1s);
    fleet.report(reconciler_);
    EXPECT_NE(reconciler_.next(fleet.now_, 5), ReconcileActions());
}

// Guards against a second drain that is decided on a report from before the first one.
TEST_F(OrderReconcilerTest, ReportFromBeforeOwnOrder_IsNotUsed)
{
    SimulatedFleet fleet(5, 3, false);
    fleet.setVersion("2");
    int orders = 0;
    for (int i = 0; i < 10; ++i) {
        // The reports stay those of the beginning.
        fleet.report(reconciler_);
        const ReconcileActions actions = reconciler_.next(fleet.now_, 5);
        if (actions.weights) {
            reconciler_.weightsStarted(*actions.weights);
        }
        if (actions.order) {
            ++orders;
            reconciler_.orderEnded(fleet.now_, actions.order->endpoint, true);
        }
    }
    EXPECT_EQ(orders, 1);
}

TEST_F(OrderReconcilerTest, WithoutLease_GivesNoOrders)
{
    SimulatedFleet fleet(4, 1, true);
    fleet.setVersion("2");
    fleet.report(reconciler_);
    EXPECT_EQ(reconciler_.next(fleet.now_, std::nullopt), ReconcileActions());
}

// Guards against harm by a holder that was paused between the check of its lease and the sending of its order, and is woken after another
// holder has taken over: its order must not cut off work, leave too few endpoints or last.
class PausedHolderTest : public testing::TestWithParam<bool>
{
protected:
    /// The first holder is paused with an order in its hands, and sends it while the second one brings the fleet to version 3.
    static void pauseAndWake(std::size_t engines, int pauseAfter, int wakeAfter)
    {
        SimulatedFleet fleet(engines, 3, GetParam());
        OrderReconciler first({});
        OrderReconciler second({});
        fleet.setVersion("2");
        for (int round = 1; round < pauseAfter; ++round) {
            fleet.advance(500ms);
            fleet.run(first, 5);
        }
        fleet.advance(500ms);
        fleet.report(first);
        const std::optional<EngineOrder> held = first.next(fleet.now_, 5).order;
        fleet.setVersion("3");
        for (int round = 0; round < 140; ++round) {
            fleet.advance(500ms);
            fleet.run(second, 9);
            if (round == wakeAfter && held) {
                fleet.send(*held);
            }
        }
        const bool hasSpare = GetParam() || engines > 4;
        EXPECT_TRUE(!hasSpare || fleet.onVersion("3") == static_cast<std::int64_t>(engines));
        EXPECT_EQ(fleet.cutOff(), 0U);
        EXPECT_GE(fleet.leastServing_, 3);
    }
};

TEST_P(PausedHolderTest, OrderOfPausedHolder_IsSentAfterTakeover_DoesNoHarm)
{
    for (int pauseAfter = 1; pauseAfter < 40; ++pauseAfter) {
        for (int wakeAfter = 0; wakeAfter < 60; wakeAfter += 2) {
            SCOPED_TRACE(testing::Message() << "paused after " << pauseAfter << ", woken after " << wakeAfter);
            pauseAndWake(5, pauseAfter, wakeAfter);
            pauseAndWake(4, pauseAfter, wakeAfter);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Engines, PausedHolderTest, testing::Bool(), [](const testing::TestParamInfo<bool> &info) {
    return info.param ? "CheckFencing" : "IgnoreFencing";
});

// Guards against too little capacity or work that is cut off, for any order of versions and weight store limits.
RC_GTEST_PROP(OrderReconcilerProperty, ChangesAndLimits_KeepCapacityInUse, ())
{
    SimulatedFleet fleet(5, 3, *rc::gen::arbitrary<bool>());
    OrderReconciler reconciler({});
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 10)));
    for (const auto &[kind, choice] : steps) {
        if (kind == 0) {
            fleet.setVersion(std::to_string(choice));
        } else if (kind == 1) {
            fleet.weightsFrom_ = fleet.now_ + choice * 1s;
        }
        for (int i = 0; i < choice; ++i) {
            fleet.advance(500ms);
            fleet.run(reconciler, 5);
        }
        RC_ASSERT(fleet.leastServing_ >= fleet.minEndpoints_);
        RC_ASSERT(fleet.cutOff() == 0U);
    }
    fleet.setVersion("final");
    for (int i = 0; i < 200; ++i) {
        fleet.advance(500ms);
        fleet.run(reconciler, 5);
    }
    RC_ASSERT(fleet.onVersion("final") == 5);
}

}
}
