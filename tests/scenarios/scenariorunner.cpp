#include "scenarios/scenariorunner.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Lentillock::Scenarios
{

namespace
{

constexpr Duration ViewInterval = 500ms;
constexpr Duration PauseDuration = 2s;
constexpr Duration DeadlineTolerance = 250ms; // Permitted by invariant 1.
constexpr Duration SettleDuration = 25s; // Exceeds the time for which an engine keeps finished requests, and every delay of the fakes.
constexpr std::uint64_t Seed = 20261204;

Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

DispatcherSettings makeSettings()
{
    DispatcherSettings settings;
    settings.vm = VmId("vm1");
    settings.incarnation = 7;
    settings.zone = ZoneId("z1");
    settings.seed = Seed;
    return settings;
}

RunState toRunState(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return RunState::WasNotRun;
    case Outcome::Unknown:
        return RunState::Unknown;
    case Outcome::Succeeded:
    case Outcome::Ran:
        break;
    }
    return RunState::Ran;
}

}

ScenarioRunner::ScenarioRunner(Scenario scenario)
    : scenario_(std::move(scenario))
    , start_(events_.now())
    , claims_(events_, [this](const DispatchInput &input) { post(input); })
    , dispatcher_(std::make_unique<Dispatcher>(makeSettings(), std::make_unique<LeastOutstandingPolicy>()))
{
    for (const EndpointDeclaration &declaration : scenario_.endpoints) {
        addEndpoint(declaration);
    }
}

std::vector<std::string> ScenarioRunner::run()
{
    publishViews();
    initialObserved_ = observed_;
    TimePoint end = start_;
    for (const Step &step : scenario_.steps) {
        events_.schedule(toDuration(step.at), [this, &step] { boost::apply_visitor([this](const auto &action) { apply(action); }, step.action); });
        const auto *request = boost::get<RequestStep>(&step.action.get());
        end = std::max(end, start_ + toDuration(step.at + (request == nullptr ? 0 : request->timeout)));
    }
    end += SettleDuration;
    while (events_.now() < end) {
        const TimePoint due = std::max(dispatcher_->nextDue().value_or(end), pausedUntil_);
        events_.runNext(std::min(due, end));
        if (events_.now() >= due) {
            execute(dispatcher_->advance(events_.now()));
        }
    }
    checkInvariants();
    for (const Expectation &expectation : scenario_.expectations) {
        boost::apply_visitor([this](const auto &expected) { check(expected); }, expectation);
    }
    return failures_;
}

void ScenarioRunner::addEndpoint(const EndpointDeclaration &declaration)
{
    Endpoint endpoint;
    endpoint.id = EndpointId(declaration.id);
    endpoint.address = "127.0.0.1:1";
    endpoint.zone = ZoneId(declaration.zone);
    endpoint.kind = declaration.memory == 0 ? EndpointKind::Service : EndpointKind::Engine;
    endpoint.model = ModelId(declaration.memory == 0 ? "" : "m");
    endpoint.pathPrefix = declaration.memory == 0 ? "/orders" : "";
    endpoint.memoryTokens = static_cast<std::int64_t>(declaration.memory);
    document_->endpoints.push_back(endpoint);
    engines_[endpoint.id] = std::make_unique<FakeEngine>(events_, endpoint, [this](const DispatchInput &input) { post(input); });
}

void ScenarioRunner::apply(const RequestStep &step)
{
    auto spec = std::make_shared<RequestSpec>();
    spec->id = RequestId(step.id);
    spec->kind = step.tokens == 0 ? RequestKind::Service : RequestKind::Completion;
    spec->workspace = WorkspaceId(step.workspace);
    spec->model = ModelId("m");
    spec->path = "/orders/new";
    spec->deadline = events_.now() + toDuration(step.timeout);
    spec->idempotent = !step.key.has_value();
    spec->idempotencyKey = step.key.value_or("");
    spec->promptTokens = step.tokens;
    spec->maxTokens = step.output;
    spec->prompt = std::make_shared<const std::string>(step.tokens, 'x');
    records_[spec->id] = {spec, step.output, {}, {}, {}};
    post(RequestArrived{spec});
}

void ScenarioRunner::apply(const FaultStep &step)
{
    const auto engine = engines_.find(EndpointId(step.subject));
    if (engine != engines_.end()) {
        applyToEngine(*engine->second, step.fault);
    } else {
        applyToSystem(step);
    }
}

void ScenarioRunner::applyToEngine(FakeEngine &engine, Fault fault)
{
    using Action = void (*)(FakeEngine &);
    static const std::map<Fault, Action> Actions = {
        {Fault::Kill, [](FakeEngine &target) { target.kill(); }},
        {Fault::Restart, [](FakeEngine &target) { target.restart(); }},
        {Fault::Freeze, [](FakeEngine &target) { target.freeze(); }},
        {Fault::Thaw, [](FakeEngine &target) { target.thaw(); }},
        {Fault::Silence, [](FakeEngine &target) { target.silenceConnections(); }},
        {Fault::Forget, [](FakeEngine &target) { target.forgetRequests(); }},
        {Fault::Drain, [](FakeEngine &target) { target.draining = true; }},
        {Fault::Fill, [](FakeEngine &target) { target.full = true; }},
        {Fault::LoseChunk, [](FakeEngine &target) { target.loseNextChunk = true; }},
        {Fault::RepeatChunks, [](FakeEngine &target) { target.repeatChunks = true; }},
        {Fault::SwapChunks, [](FakeEngine &target) { target.swapChunks = true; }},
        {Fault::ForeignChunks, [](FakeEngine &target) { target.foreignChunks = true; }},
        {Fault::DelayGrants, [](FakeEngine &target) { target.delayGrants = true; }},
    };
    if (fault == Fault::ListAsLeaving) {
        leavingInVmList_[engine.endpoint().id] = true;
        // Without a control process, the entry reads the VM list itself. That does not reset the age of its view.
        post(ViewChanged{makeView()});
    } else {
        Actions.at(fault)(engine);
    }
}

void ScenarioRunner::applyToSystem(const FaultStep &step)
{
    const auto setLogAvailable = [this](bool available) { logAvailable_ = available; };
    const auto setControlFrozen = [this](bool frozen) { controlFrozen_ = frozen; };
    switch (step.fault) {
    case Fault::LogDown:
    case Fault::LogUp:
        setLogAvailable(step.fault == Fault::LogUp);
        break;
    case Fault::ControlFreeze:
    case Fault::ControlThaw:
        setControlFrozen(step.fault == Fault::ControlFreeze);
        break;
    case Fault::DelayVerdicts:
        claims_.delayVerdicts = true;
        break;
    case Fault::StaleView:
        viewIsStale_ = true;
        break;
    case Fault::CloseCaller:
        post(CallerDisconnected{RequestId(step.subject)});
        break;
    case Fault::PauseEntry:
        pausedUntil_ = events_.now() + PauseDuration;
        break;
    case Fault::DrainEntry:
        post(DrainStarted{});
        break;
    case Fault::AbortEntry:
        post(AbortAll{});
        break;
    default:
        failures_.push_back("unknown endpoint: " + step.subject);
        break;
    }
    claims_.setAvailable(logAvailable_ && !controlFrozen_);
}

void ScenarioRunner::publishViews()
{
    if (!controlFrozen_) {
        for (const auto &[id, engine] : engines_) {
            observed_[id] = observe(*engine);
        }
        viewReceivedAt_ = events_.now();
        post(ViewChanged{makeView()});
    }
    events_.schedule(ViewInterval, [this] { publishViews(); });
}

ServingViewPtr ScenarioRunner::makeView()
{
    auto view = std::make_shared<ServingView>();
    view->document = document_;
    view->endpoints = viewIsStale_ ? initialObserved_ : observed_;
    for (const auto &[id, leaving] : leavingInVmList_) {
        view->endpoints[id].health = leaving && !viewIsStale_ ? EndpointHealth::Leaving : view->endpoints[id].health;
    }
    view->receivedAt = viewReceivedAt_;
    return view;
}

EndpointState ScenarioRunner::observe(const FakeEngine &engine)
{
    EndpointState state = observed_[engine.endpoint().id];
    state.id = engine.endpoint().id;
    if (engine.isResponsive()) {
        state.load = engine.load();
        state.observedAt = events_.now();
        state.health = EndpointHealth::Live;
    } else {
        state.health = events_.now() - state.observedAt > 2 * ViewInterval ? EndpointHealth::Dead : EndpointHealth::Suspect;
    }
    return state;
}

void ScenarioRunner::post(const DispatchInput &input)
{
    if (events_.now() < pausedUntil_) {
        // A paused process handles its queued messages in order once it resumes.
        events_.schedule(pausedUntil_ - events_.now(), [this, input] { post(input); });
        return;
    }
    execute(dispatcher_->handle(events_.now(), input));
}

void ScenarioRunner::execute(const std::vector<DispatchAction> &actions)
{
    for (const DispatchAction &action : actions) {
        std::visit(
            [&](const auto &value) {
                if constexpr (requires {
                                  value.endpoint;
                                  value.address;
                              }) {
                    engines_.at(value.endpoint)->execute(action);
                } else {
                    execute(action);
                }
            },
            action);
    }
}

void ScenarioRunner::execute(const DispatchAction &action)
{
    if (const auto *part = std::get_if<SendToCaller>(&action)) {
        RequestRecord &record = records_[part->request];
        require(record.finishes.empty(), part->request.value() + " received a part of its answer after it had finished");
        record.sent += part->text;
    } else if (const auto *finish = std::get_if<FinishRequest>(&action)) {
        records_[finish->request].finishes.push_back(*finish);
        records_[finish->request].finishedAt = events_.now();
    } else {
        claims_.execute(action);
    }
}

void ScenarioRunner::checkInvariants()
{
    for (const auto &[id, record] : records_) {
        checkRequest(record);
    }
    checkMemory();
    checkKeys();
    require(dispatcher_->isIdle(), "the dispatcher still has requests in progress");
}

void ScenarioRunner::checkRequest(const RequestRecord &record)
{
    const std::string &name = record.spec->id.value();
    require(record.finishes.size() == 1, name + " finished " + std::to_string(record.finishes.size()) + " times");
    if (record.finishes.empty()) {
        return;
    }
    // Only a pause of the entry itself may delay the response further.
    const Duration pause = pausedUntil_ == TimePoint() ? Duration::zero() : PauseDuration;
    require(record.finishedAt <= record.spec->deadline + DeadlineTolerance + pause, name + " finished after its deadline");
    std::string expectedText;
    for (std::uint64_t token = 0; token < record.output; ++token) {
        expectedText += tokenText(record.spec->id, token);
    }
    require(expectedText.starts_with(record.sent), name + " received incorrect text: " + record.sent);
    const FinishRequest &finish = record.finishes.front();
    require(!finish.succeeded || record.sent == expectedText, name + " succeeded with an incomplete answer: " + record.sent);
    require(finish.runState != RunState::WasNotRun || runCount(record.spec->id) == 0, name + " was reported as not run, but ran");
    require(record.spec->idempotent || runCount(record.spec->id) <= 1, name + " ran more than once");
}

void ScenarioRunner::checkMemory()
{
    for (const auto &[id, engine] : engines_) {
        require(!engine->isResponsive() || engine->isMemoryFree(), "endpoint " + id.value() + " still has memory in use at the end");
    }
}

void ScenarioRunner::checkKeys()
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto &[id, record] : records_) {
        if (record.spec->idempotent) {
            continue;
        }
        const std::string &key = record.spec->idempotencyKey;
        runs[key] += runCount(id);
        require(runs[key] <= 1, "more than one request with key " + key + " ran, or one ran twice");
    }
    for (const auto &[key, count] : runs) {
        require(!logAvailable_ || controlFrozen_ || claims_.isHeld(key) == (count > 0),
                "claim on key " + key + " is held although no request ran, or released although one did");
    }
}

void ScenarioRunner::check(const ExpectOutcome &expected)
{
    const FinishRequest &finish = firstFinish(expected.request);
    require(finish.runState == toRunState(expected.outcome) && finish.succeeded == (expected.outcome == Outcome::Succeeded),
            expected.request + " finished with an unexpected outcome: " + finish.code + " " + finish.message);
}

void ScenarioRunner::check(const ExpectCode &expected)
{
    const FinishRequest &finish = firstFinish(expected.request);
    require(finish.code == expected.code, expected.request + " finished with code " + finish.code + ", expected " + expected.code);
}

void ScenarioRunner::check(const ExpectAnsweredBy &expected)
{
    const Duration at = sinceStart(records_[RequestId(expected.request)].finishedAt);
    require(at <= toDuration(expected.by),
            expected.request + " finished later than expected, at " + std::to_string(std::chrono::duration<double>(at).count()) + " s");
}

void ScenarioRunner::check(const ExpectRuns &expected)
{
    const std::uint64_t count = engines_.at(EndpointId(expected.endpoint))->runCount(RequestId(expected.request));
    require(expected.bound == "most" ? count <= expected.count : count >= expected.count,
            expected.endpoint + " ran " + expected.request + " " + std::to_string(count) + " times");
}

void ScenarioRunner::check(const ExpectMemoryFree &expected)
{
    require(engines_.at(EndpointId(expected.endpoint))->isMemoryFree(), "endpoint " + expected.endpoint + " has memory in use");
}

void ScenarioRunner::check(const ExpectNoWorkAfter &expected)
{
    const std::vector<TimePoint> &started = engines_.at(EndpointId(expected.endpoint))->workStartTimes();
    require(started.empty() || sinceStart(started.back()) <= toDuration(expected.after),
            "endpoint " + expected.endpoint + " started work after the expected time");
}

void ScenarioRunner::check(const ExpectCounter &expected)
{
    const boost::json::object counters = dispatcher_->dumpState(events_.now()).at("counters").as_object();
    const auto found = counters.find(expected.counter);
    require(found != counters.end() && found->value().to_number<std::uint64_t>() >= expected.minimum,
            "counter " + expected.counter + " is missing or below the expected minimum");
}

void ScenarioRunner::require(bool condition, const std::string &message)
{
    if (!condition) {
        failures_.push_back(message);
    }
}

const FinishRequest &ScenarioRunner::firstFinish(const std::string &request)
{
    static const FinishRequest None;
    const std::vector<FinishRequest> &finishes = records_[RequestId(request)].finishes;
    return finishes.empty() ? None : finishes.front();
}

std::uint64_t ScenarioRunner::runCount(const RequestId &request) const
{
    std::uint64_t runs = 0;
    for (const auto &[id, engine] : engines_) {
        runs += engine->runCount(request);
    }
    return runs;
}

Duration ScenarioRunner::sinceStart(TimePoint at) const
{
    return at - start_;
}

}
