#include "entry/entryprocess.h"

#include "base/log.h"
#include "dispatch/dispatcher.h"
#include "engine/engineclient.h"
#include "entry/callerserver.h"
#include "entry/controllink.h"
#include "entry/dispatchtask.h"
#include "entry/entryservice.h"
#include "entry/operatorsserver.h"
#include "platform/httpvmlist.h"
#include "routing/expectedfirsttokenpolicy.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <malloc.h>

#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr milliseconds VmListTimeout{2000};
constexpr milliseconds SignalPoll{20};
constexpr milliseconds AbortTimeout{2000};
constexpr int MmapThresholdBytes = 256 * 1024;
constexpr int TrimThresholdBytes = 4 * 1024 * 1024;

std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::string hostPrefix(const std::string &address)
{
    return address.substr(0, address.rfind(':') + 1);
}

DispatcherSettings dispatcherSettings(const EntrySettings &settings, std::uint64_t incarnation)
{
    DispatcherSettings result;
    result.vm = settings.vm;
    result.incarnation = incarnation;
    result.zone = settings.zone;
    result.seed = incarnation;
    result.maxViewAge = settings.maxViewAge;
    return result;
}

/// Waits for one of the blocked stop signals; returns false if none arrives within the timeout.
bool waitForStopSignal(const sigset_t &signals, milliseconds timeout)
{
    constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;
    constexpr std::int64_t millisecondsPerSecond = 1000;
    timespec wait{};
    wait.tv_sec = timeout.count() / millisecondsPerSecond;
    wait.tv_nsec = (timeout.count() % millisecondsPerSecond) * nanosecondsPerMillisecond;
    return sigtimedwait(&signals, nullptr, &wait) > 0;
}

}

class EntryProcess::Implementation
{
public:
    explicit Implementation(EntrySettings settings)
        : settings_(std::move(settings))
        , incarnation_(newIncarnation())
        , budget_(settings_.maxBufferedBytes)
        , environment_{.limits = settings_.session,
                       .filters = filters_,
                       .budget = budget_,
                       .metrics = metrics_,
                       .view = [this] { return view(); },
                       .newRequestId = [this] { return newRequestId(); },
                       .diagnostics = [this](std::string_view path) { return diagnostics(path); }}
        , callers_(settings_.callers, environment_, [this](DispatchInput input) { dispatch_->post(std::move(input)); })
    {
        engines_ = std::make_unique<EngineClient>(
            EngineClientSettings{.owner = settings_.vm.value() + '/' + std::to_string(incarnation_)},
            [this](std::vector<DispatchInput> inputs) { dispatch_->postWithBackpressure(std::move(inputs)); },
            metrics_);
        dispatch_
            = std::make_unique<DispatchTask>(std::make_unique<Dispatcher>(dispatcherSettings(settings_, incarnation_),
                                                                          std::make_unique<ExpectedFirstTokenPolicy>(Objectives(), std::vector<ZoneLink>())),
                                             outputs());
        service_ = std::make_unique<EntryService>(settings_.grpc,
                                                  EntryService::Source{.vm = settings_.vm,
                                                                       .incarnation = incarnation_,
                                                                       .areActive = [this](const auto &requests) { return dispatch_->areActive(requests); },
                                                                       .state = [this](const std::string &part) { return state(part); }});
        startControls();
        operators_ = std::make_unique<OperatorsServer>(
            settings_.operators, [this](const std::string &path, const std::string &request) { return handleOperatorsRequest(path, request); });
        started_ = true;
        callersPort_ = callers_.start();
    }

    ~Implementation()
    {
        operators_.reset();
        service_.reset();
        dispatch_->stop();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] std::string addresses() const
    {
        return boost::json::serialize(boost::json::object{{"callers", hostPrefix(settings_.callers.address) + std::to_string(callersPort_)},
                                                          {"operators", hostPrefix(settings_.operators) + std::to_string(operators_->port())},
                                                          {"grpc", hostPrefix(settings_.grpc) + std::to_string(service_->port())}});
    }

    void beginShutdown()
    {
        stopping_ = true;
    }

    void beginDrain()
    {
        dispatch_->post(DispatchInput(DrainStarted{}));
    }

    void abortRequests()
    {
        dispatch_->post(DispatchInput(AbortAll{}));
    }

    [[nodiscard]] bool isIdle()
    {
        return dispatch_->isIdle() && callers_.isIdle() && controls_->isIdle();
    }

private:
    DispatchTask::Outputs outputs()
    {
        return {.endpoints =
                    [this](DispatchAction action) {
                        std::visit(
                            [this](auto &value) {
                                if constexpr (std::is_constructible_v<EngineAction, decltype(value)>) {
                                    engines_->post(std::move(value));
                                }
                            },
                            action);
                    },
                .controls =
                    [this](DispatchAction action) {
                        std::visit(
                            [this](auto &value) {
                                if constexpr (std::is_constructible_v<ControlAction, decltype(value)>) {
                                    controls_->post(std::move(value));
                                }
                            },
                            action);
                    },
                .send = [this](const SendToCaller &part) { callers_.deliver(part); },
                .finish = [this](const FinishRequest &end) { callers_.deliver(end); },
                .flush = [this] { callers_.flush(); }};
    }

    void startControls()
    {
        std::unique_ptr<VmList> vmList;
        if (!settings_.vmList.empty()) {
            vmList = std::make_unique<HttpVmList>(settings_.vmList, VmListTimeout);
        }
        ControlLinkSettings linkSettings{.vm = settings_.vm,
                                         .zone = settings_.zone,
                                         .incarnation = incarnation_,
                                         .entryAddress = hostPrefix(settings_.grpc) + std::to_string(service_->port()),
                                         .controls = settings_.controls};
        controls_ = std::make_unique<ControlLink>(std::move(linkSettings),
                                                  std::move(vmList),
                                                  ControlLink::Sinks{.view =
                                                                         [this](EntryViewPtr view) {
                                                                             dispatch_->post(DispatchInput(ViewChanged{view->view}));
                                                                             const std::lock_guard lock(viewMutex_);
                                                                             view_ = std::move(view);
                                                                         },
                                                                     .input = [this](DispatchInput input) { dispatch_->post(std::move(input)); }},
                                                  metrics_);
    }

    EntryViewPtr view()
    {
        const std::lock_guard lock(viewMutex_);
        return view_;
    }

    RequestId newRequestId()
    {
        return RequestId(settings_.vm.value() + '-' + std::to_string(incarnation_) + '-' + std::to_string(nextRequest_++));
    }

    std::string readinessProblem()
    {
        if (stopping_) {
            return "stopping";
        }
        const EntryViewPtr current = view();
        if (current == nullptr || current->directory == nullptr) {
            return "no configuration";
        }
        return std::chrono::steady_clock::now() - current->view->receivedAt > settings_.maxViewAge ? "the last view is too old" : "";
    }

    std::optional<SessionEnvironment::Diagnostics> diagnostics(std::string_view path)
    {
        constexpr auto plainText = "text/plain";
        if (path == "/healthz") {
            return SessionEnvironment::Diagnostics{.status = 200, .contentType = plainText, .body = "ok\n"};
        }
        if (path == "/readyz") {
            const std::string problem = readinessProblem();
            return SessionEnvironment::Diagnostics{
                .status = problem.empty() ? 200 : 503, .contentType = plainText, .body = (problem.empty() ? "ready" : problem) + '\n'};
        }
        if (path == "/metrics") {
            metrics_.setGauge("lentillock_entry_buffered_bytes", static_cast<double>(budget_.used()));
            return SessionEnvironment::Diagnostics{.status = 200, .contentType = "text/plain; version=0.0.4", .body = metrics_.toText()};
        }
        return std::nullopt;
    }

    OperatorsServer::Reply handleOperatorsRequest(const std::string &path, const std::string &request)
    {
        constexpr auto json = "application/json";
        if (path == "/debug/state" && request.empty()) {
            return {.status = 200, .contentType = json, .body = boost::json::serialize(state("")) + '\n'};
        }
        if (path == "/debug/state") {
            const auto explanation = dispatch_->explain(RequestId(request));
            return explanation ? OperatorsServer::Reply{.status = 200, .contentType = json, .body = boost::json::serialize(*explanation) + '\n'}
                               : OperatorsServer::Reply{.status = 404, .contentType = json, .body = "{}\n"};
        }
        if (auto reply = diagnostics(path)) {
            return {.status = reply->status, .contentType = reply->contentType, .body = std::move(reply->body)};
        }
        return {.status = 404, .contentType = "text/plain", .body = "not found\n"};
    }

    boost::json::value state(const std::string &part)
    {
        if (!started_) {
            return nullptr;
        }
        constexpr std::string_view requestPart = "request/";
        if (part.starts_with(requestPart)) {
            const auto explanation = dispatch_->explain(RequestId(part.substr(requestPart.size())));
            return explanation ? boost::json::value(*explanation) : boost::json::value(nullptr);
        }
        boost::json::object all{{"vm", settings_.vm.value()}, {"zone", settings_.zone.value()}, {"incarnation", incarnation_}};
        all["ready"] = readinessProblem().empty();
        all["notReadyReason"] = readinessProblem();
        all["controlConnected"] = controls_->isConnected();
        all["bufferedBytes"] = budget_.used();
        boost::json::object viewState;
        if (const EntryViewPtr current = view()) {
            viewState["configVersion"] = current->view->configVersion;
            viewState["ageMs"] = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - current->view->receivedAt).count();
            viewState["endpoints"] = current->view->endpoints.size();
            viewState["members"] = current->view->members.size();
        }
        all["view"] = std::move(viewState);
        all["dispatcher"] = dispatch_->dumpState();
        if (part.empty()) {
            return all;
        }
        const boost::json::value *selected = all.if_contains(part);
        return selected == nullptr ? boost::json::value(nullptr) : *selected;
    }

    EntrySettings settings_;
    std::uint64_t incarnation_;
    Metrics metrics_;
    FilterChain filters_;
    BufferBudget budget_;
    SessionEnvironment environment_;
    std::atomic<bool> started_ = false; ///< Whether all tasks have been created.
    std::atomic<bool> stopping_ = false;
    std::atomic<std::uint64_t> nextRequest_ = 1;
    std::mutex viewMutex_;
    EntryViewPtr view_;
    std::uint16_t callersPort_ = 0;
    // The other tasks post to the dispatcher task until they end, so it is stopped first but destroyed last.
    std::unique_ptr<DispatchTask> dispatch_;
    CallerServer callers_;
    std::unique_ptr<EngineClient> engines_;
    std::unique_ptr<ControlLink> controls_;
    std::unique_ptr<EntryService> service_;
    std::unique_ptr<OperatorsServer> operators_;
};

EntryProcess::EntryProcess(EntrySettings settings)
    : implementation_(std::make_unique<Implementation>(std::move(settings)))
{
}

EntryProcess::~EntryProcess() = default;

std::string EntryProcess::addresses() const
{
    return implementation_->addresses();
}

void EntryProcess::beginShutdown()
{
    implementation_->beginShutdown();
}

void EntryProcess::beginDrain()
{
    implementation_->beginDrain();
}

void EntryProcess::abortRequests()
{
    implementation_->abortRequests();
}

bool EntryProcess::isIdle()
{
    return implementation_->isIdle();
}

int runEntry(const EntrySettings &settings)
{
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // Without fixed thresholds, glibc raises them to the size of the largest freed body, and freed bodies then remain in the heap.
    mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, TrimThresholdBytes);

    EntryProcess process(settings);
    std::cout << process.addresses() << std::endl;
    Log::write(Log::Level::Info, "started", {{"vm", settings.vm.value()}});
    while (!waitForStopSignal(stopSignals, milliseconds(1000))) { }
    Log::write(Log::Level::Info, "shutdown_started");
    process.beginShutdown();
    bool abortRequested = waitForStopSignal(stopSignals, settings.drainDelay);
    process.beginDrain();
    while (!abortRequested && !process.isIdle()) {
        abortRequested = waitForStopSignal(stopSignals, SignalPoll);
    }
    if (abortRequested) {
        Log::write(Log::Level::Warning, "shutdown_aborts_requests");
        process.abortRequests();
        const TimePoint latest = std::chrono::steady_clock::now() + AbortTimeout;
        while (!process.isIdle() && std::chrono::steady_clock::now() < latest) {
            (void)waitForStopSignal(stopSignals, SignalPoll);
        }
    }
    Log::write(Log::Level::Info, "stopped");
    return 0;
}

}
