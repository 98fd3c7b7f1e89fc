#pragma once

#include "dispatch/dispatcher.h"
#include "scenarios/eventqueue.h"
#include "scenarios/fakeclaimservice.h"
#include "scenarios/fakeengine.h"
#include "scenarios/scenario.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock::Scenarios
{

/// Runs a scenario in virtual time and checks its expectations and the invariants that every scenario must satisfy.
class ScenarioRunner
{
public:
    explicit ScenarioRunner(Scenario scenario);

    /// Returns the messages of the failed checks; empty if the scenario passes.
    std::vector<std::string> run();

private:
    struct RequestRecord {
        RequestSpecPtr spec;
        std::uint64_t output = 0;
        std::string sent;
        std::vector<FinishRequest> finishes;
        TimePoint finishedAt;
    };

    void addEndpoint(const EndpointDeclaration &declaration);
    void apply(const RequestStep &step);
    void apply(const FaultStep &step);
    void applyToEngine(FakeEngine &engine, Fault fault);
    void applyToSystem(const FaultStep &step);

    void publishViews();
    [[nodiscard]] ServingViewPtr makeView();
    [[nodiscard]] EndpointState observe(const FakeEngine &engine);

    void post(const DispatchInput &input);
    void execute(const std::vector<DispatchAction> &actions);
    void execute(const DispatchAction &action);
    void send(const EndpointId &endpoint, const DispatchAction &action);

    void checkInvariants();
    void checkRequest(const RequestRecord &record);
    void checkMemory();
    void checkKeys();
    void check(const ExpectOutcome &expected);
    void check(const ExpectCode &expected);
    void check(const ExpectAnsweredBy &expected);
    void check(const ExpectRuns &expected);
    void check(const ExpectMemoryFree &expected);
    void check(const ExpectNoWorkAfter &expected);
    void check(const ExpectCounter &expected);
    void require(bool condition, const std::string &message);
    [[nodiscard]] const FinishRequest &firstFinish(const std::string &request);
    [[nodiscard]] std::uint64_t runCount(const RequestId &request) const;
    [[nodiscard]] Duration sinceStart(TimePoint at) const;

    Scenario scenario_;
    EventQueue events_;
    TimePoint start_;
    std::shared_ptr<ServingDocument> document_ = std::make_shared<ServingDocument>();
    std::map<EndpointId, std::unique_ptr<FakeEngine>> engines_;
    std::map<EndpointId, EndpointState> observed_;
    std::map<EndpointId, EndpointState> initialObserved_;
    std::map<EndpointId, bool> leavingInVmList_;
    FakeClaimService claims_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::map<RequestId, RequestRecord> records_;
    std::vector<DispatchInput> whilePaused_;
    std::vector<std::string> failures_;
    TimePoint viewReceivedAt_;
    TimePoint pausedUntil_;
    bool logAvailable_ = true;
    bool controlFrozen_ = false;
    bool viewIsStale_ = false;
};

}
