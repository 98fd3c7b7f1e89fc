#include "entry/controllink.h"

#include "base/log.h"
#include "base/mailbox.h"
#include "base/timerservice.h"
#include "entry/controlselector.h"
#include "entry/viewbuilder.h"
#include "lentillock.grpc.pb.h"

#include <boost/leaf/handle_errors.hpp>
#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>
#include <utility>

namespace Lentillock
{

namespace
{

namespace rpc = lentillock::rpc;

constexpr milliseconds IdleWait{500};
constexpr milliseconds KeepaliveInterval{1000};
constexpr milliseconds KeepaliveTimeout{1000};
constexpr milliseconds RetryDelay{200};
constexpr milliseconds CancelPollInterval{1};
constexpr milliseconds VmListInterval{1000};

// Releases and outcomes are retried only for as long as a caller may repeat its request. The readers of the claim streams treat a lost one as unknown.
constexpr milliseconds ClaimUpdateTimeout{30000};

// Fits a view of the whole fleet at its design size with all sections of the document.
constexpr int MaxMessageBytes = 64 * 1024 * 1024;

TimePoint clockNow()
{
    return std::chrono::steady_clock::now();
}

std::shared_ptr<grpc::Channel> createChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    // gRPC shares connections between channels with equal arguments, and an unresponsive connection must not be reused.
    static std::atomic<int> channelNumber = 0;
    arguments.SetInt("lentillock.channel", ++channelNumber);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(KeepaliveInterval.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(KeepaliveTimeout.count()));
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    return grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

struct StreamUpdate {
    std::uint64_t stream = 0;
    std::shared_ptr<rpc::ViewUpdate> update;
};

struct StreamEnded {
    std::uint64_t stream = 0;
    std::string reason;
};

struct CallEnded {
    std::uint64_t call = 0;
    grpc::Status status;
};

struct VmListRead {
    std::vector<VmListEntry> entries;
    bool succeeded = false;
};

struct Stop {
};

using Message = std::variant<ControlAction, StreamUpdate, StreamEnded, CallEnded, VmListRead, Stop>;

/// gRPC's threads may post messages after the task has ended, so they share ownership of the mailbox.
using SharedMailbox = std::shared_ptr<Mailbox<Message>>;

/// Reads views from one control process on a separate channel.
class ViewStream : public grpc::ClientReadReactor<rpc::ViewUpdate>
{
public:
    static std::shared_ptr<ViewStream> start(std::uint64_t id, const std::string &address, rpc::WatchViewRequest request, SharedMailbox mailbox)
    {
        auto stream = std::shared_ptr<ViewStream>(new ViewStream(id, address, std::move(request), std::move(mailbox)));
        stream->self_ = stream;
        stream->stub_->async()->WatchView(&stream->context_, &stream->request_, stream.get());
        stream->StartRead(&stream->update_);
        stream->StartCall();
        return stream;
    }

    void cancel()
    {
        context_.TryCancel();
    }

    void OnReadDone(bool received) override
    {
        if (received) {
            mailbox_->post(StreamUpdate{id_, std::make_shared<rpc::ViewUpdate>(std::move(update_))});
            update_.Clear();
            StartRead(&update_);
        }
    }

    void OnDone(const grpc::Status &status) override
    {
        mailbox_->post(StreamEnded{id_, status.error_message()});
        const auto self = std::move(self_);
    }

private:
    ViewStream(std::uint64_t id, const std::string &address, rpc::WatchViewRequest request, SharedMailbox mailbox)
        : id_(id)
        , request_(std::move(request))
        , mailbox_(std::move(mailbox))
        , stub_(rpc::Control::NewStub(createChannel(address)))
    {
    }

    std::uint64_t id_;
    rpc::WatchViewRequest request_;
    rpc::ViewUpdate update_;
    SharedMailbox mailbox_;
    std::unique_ptr<rpc::Control::Stub> stub_;
    grpc::ClientContext context_;
    std::shared_ptr<ViewStream> self_; ///< Keeps the stream alive until gRPC calls OnDone.
};

/// State of one attempt of a call until gRPC has completed it.
struct CallAttempt {
    grpc::ClientContext context;
    std::shared_ptr<rpc::Control::Stub> stub;
    rpc::ClaimReply claimReply;
    rpc::Empty empty;
};

struct Call {
    ControlAction action;
    TimePoint deadline;
    std::size_t attempts = 0;
    std::string address;
    std::shared_ptr<CallAttempt> current;
    bool updatesClaim = false; ///< Whether the action is a release or an outcome.
};

rpc::RunState toRpc(RunState state)
{
    switch (state) {
    case RunState::WasNotRun:
        return rpc::RUN_STATE_WAS_NOT_RUN;
    case RunState::Ran:
        return rpc::RUN_STATE_RAN;
    default:
        return rpc::RUN_STATE_UNKNOWN;
    }
}

RunState fromRpc(rpc::RunState state)
{
    switch (state) {
    case rpc::RUN_STATE_WAS_NOT_RUN:
        return RunState::WasNotRun;
    case rpc::RUN_STATE_RAN:
        return RunState::Ran;
    default:
        return RunState::Unknown;
    }
}

}

class ControlLink::Task
{
public:
    Task(ControlLinkSettings settings, std::unique_ptr<VmList> vmList, Sinks sinks, Metrics &metrics)
        : settings_(std::move(settings))
        , vmList_(std::move(vmList))
        , sinks_(std::move(sinks))
        , metrics_(metrics)
        , selector_(settings_.controls)
        , builder_(settings_.zone)
        , mailbox_(std::make_shared<Mailbox<Message>>())
        , thread_([this] { run(); })
    {
    }

    ~Task()
    {
        mailbox_->post(Stop{});
        thread_.join();
        if (vmListThread_.joinable()) {
            vmListThread_.join();
        }
    }

    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    void post(ControlAction action)
    {
        pendingClaimUpdates_ += updatesClaim(action) ? 1 : 0;
        mailbox_->post(std::move(action));
    }

    [[nodiscard]] bool isIdle() const
    {
        return pendingClaimUpdates_ == 0;
    }

    [[nodiscard]] bool isConnected() const
    {
        return connected_;
    }

private:
    static bool updatesClaim(const ControlAction &action)
    {
        return std::holds_alternative<ReleaseClaim>(action) || std::holds_alternative<RecordOutcome>(action);
    }

    void run()
    {
        while (!stopped_) {
            const TimePoint latest = clockNow() + IdleWait;
            const TimePoint due = std::min(selector_.nextDue().value_or(latest), timers_.nextDue().value_or(latest));
            for (Message &message : mailbox_->waitUntil(std::min(due, latest))) {
                std::visit([this](auto &value) { handle(value); }, message);
            }
            const TimePoint now = clockNow();
            timers_.advance(now);
            executeActions(selector_.advance(now));
            setConnected(selector_.isConnected());
            destroyRetired();
        }
        cancelAll();
    }

    void cancelAll()
    {
        for (const auto &[id, stream] : std::exchange(streams_, {})) {
            stream->cancel();
            retired_.push_back(stream);
        }
        for (const auto &[id, call] : std::exchange(calls_, {})) {
            if (call.current != nullptr) {
                call.current->context.TryCancel();
                retired_.push_back(call.current);
            }
        }
        stubs_.clear();
        while (!retired_.empty()) {
            std::this_thread::sleep_for(CancelPollInterval);
            destroyRetired();
        }
    }

    /// Destroys streams and calls that gRPC's threads no longer use. If a gRPC thread destroys the last channel of the process, gRPC 1.51 makes the thread
    /// wait for itself and then aborts the process with an assertion, so channels are destroyed only here.
    void destroyRetired()
    {
        std::erase_if(retired_, [](const std::shared_ptr<void> &object) { return object.use_count() == 1; });
    }

    void setConnected(bool connected)
    {
        if (connected_.exchange(connected) != connected) {
            Log::write(connected ? Log::Level::Info : Log::Level::Warning, connected ? "control_connected" : "control_lost");
        }
    }

    void handle(Stop & /*message*/)
    {
        stopped_ = true;
    }

    void handle(StreamUpdate &message)
    {
        const TimePoint now = clockNow();
        executeActions(selector_.updateReceived(now, message.stream));
        if (!selector_.isCurrent(message.stream)) {
            return;
        }
        Findings findings;
        const std::uint64_t previousVersion = builder_.configVersion();
        const EntryViewPtr view = builder_.apply(now, *message.update, findings);
        selector_.setMembers(builder_.controlAddresses());
        if (builder_.configVersion() != previousVersion) {
            Log::write(Log::Level::Info, "config_in_force", {{"version", std::to_string(builder_.configVersion())}});
        }
        if (findings.hasErrors() && message.update->config_version() != rejectedVersion_) {
            rejectedVersion_ = message.update->config_version();
            Log::write(Log::Level::Error, "config_rejected", {{"version", std::to_string(rejectedVersion_)}, {"findings", findings.toText()}});
        }
        metrics_.setGauge("lentillock_entry_config_version", static_cast<double>(builder_.configVersion()));
        sinks_.view(view);
    }

    void handle(StreamEnded &message)
    {
        if (const auto found = streams_.find(message.stream); found != streams_.end()) {
            retired_.push_back(found->second);
            streams_.erase(found);
        }
        executeActions(selector_.streamEnded(clockNow(), message.stream));
    }

    void handle(VmListRead &message)
    {
        vmListThread_.join();
        vmListRunning_ = false;
        metrics_.increment("lentillock_entry_vm_list_reads_total", {{"result", message.succeeded ? "succeeded" : "failed"}});
        if (message.succeeded && !selector_.isConnected()) {
            if (const EntryViewPtr view = builder_.apply(message.entries)) {
                sinks_.view(view);
            }
        }
    }

    void executeActions(const std::vector<ControlSelector::Action> &actions)
    {
        for (const ControlSelector::Action &action : actions) {
            switch (action.kind) {
            case ControlSelector::Kind::Open:
                openStream(action);
                break;
            case ControlSelector::Kind::Close:
                if (const auto found = streams_.find(action.stream); found != streams_.end()) {
                    found->second->cancel();
                    retired_.push_back(found->second);
                    streams_.erase(found);
                }
                break;
            case ControlSelector::Kind::AllFailed:
                readVmList();
                break;
            }
        }
    }

    void openStream(const ControlSelector::Action &action)
    {
        rpc::WatchViewRequest request;
        request.set_vm(settings_.vm.value());
        request.set_config_version(builder_.configVersion());
        request.set_entry_address(settings_.entryAddress);
        request.set_entry_incarnation(settings_.incarnation);
        metrics_.increment("lentillock_entry_control_streams_total");
        streams_.emplace(action.stream, ViewStream::start(action.stream, action.address, std::move(request), mailbox_));
    }

    void readVmList()
    {
        const TimePoint now = clockNow();
        if (vmList_ == nullptr || vmListRunning_ || now < nextVmList_) {
            return;
        }
        vmListRunning_ = true;
        nextVmList_ = now + VmListInterval;
        vmListThread_ = std::thread([this] {
            VmListRead result;
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_ASSIGN(result.entries, vmList_->fetch());
                    result.succeeded = true;
                    return {};
                },
                [] {});
            mailbox_->post(std::move(result));
        });
    }

    void handle(ControlAction &action)
    {
        const TimePoint now = clockNow();
        Call call{.action = std::move(action), .deadline = now + ClaimUpdateTimeout, .address = {}, .current = nullptr};
        call.updatesClaim = updatesClaim(call.action);
        if (const auto *claim = std::get_if<RequestClaim>(&call.action)) {
            call.deadline = claim->deadline;
        } else if (std::holds_alternative<ReportEndpoint>(call.action)) {
            call.deadline = now + settings_.callTimeout;
        }
        const std::uint64_t id = nextCall_++;
        startAttempt(id, calls_.emplace(id, std::move(call)).first->second);
    }

    void startAttempt(std::uint64_t id, Call &call)
    {
        const std::vector<std::string> order = selector_.preferenceOrder();
        call.address = order[call.attempts % order.size()];
        ++call.attempts;
        auto &stub = stubs_[call.address];
        if (stub == nullptr) {
            stub = rpc::Control::NewStub(createChannel(call.address));
        }
        call.current = std::make_shared<CallAttempt>();
        call.current->stub = stub;
        const auto remaining = std::min<Duration>(settings_.callTimeout, call.deadline - clockNow());
        call.current->context.set_deadline(std::chrono::system_clock::now() + std::chrono::duration_cast<milliseconds>(remaining));
        std::visit(
            [&](const auto &action) {
                send(action, call.current, [mailbox = mailbox_, id](const grpc::Status &status) { mailbox->post(CallEnded{id, status}); });
            },
            call.action);
    }

    using Done = std::function<void(const grpc::Status &)>;

    /// Keeps the attempt and its request alive until gRPC has completed the call.
    template<typename Request>
    static Done keepingAlive(const std::shared_ptr<CallAttempt> &current, const std::shared_ptr<Request> &request, Done done)
    {
        return [current, request, done = std::move(done)](const grpc::Status &status) { done(status); };
    }

    static void send(const RequestClaim &action, const std::shared_ptr<CallAttempt> &current, Done done)
    {
        auto request = std::make_shared<rpc::ClaimRequest>();
        request->set_workspace(action.workspace.value());
        request->set_key(action.key);
        request->set_attempt(action.attempt.value());
        const auto remaining = std::chrono::duration_cast<milliseconds>(action.deadline - clockNow());
        request->set_remaining_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)));
        current->stub->async()->Claim(&current->context, request.get(), &current->claimReply, keepingAlive(current, request, std::move(done)));
    }

    static void send(const ReleaseClaim &action, const std::shared_ptr<CallAttempt> &current, Done done)
    {
        auto request = std::make_shared<rpc::ReleaseRequest>();
        request->set_workspace(action.workspace.value());
        request->set_key(action.key);
        request->set_attempt(action.attempt.value());
        current->stub->async()->Release(&current->context, request.get(), &current->empty, keepingAlive(current, request, std::move(done)));
    }

    static void send(const RecordOutcome &action, const std::shared_ptr<CallAttempt> &current, Done done)
    {
        auto request = std::make_shared<rpc::OutcomeRequest>();
        request->set_workspace(action.workspace.value());
        request->set_key(action.key);
        request->set_attempt(action.attempt.value());
        request->set_state(toRpc(action.state));
        current->stub->async()->RecordOutcome(&current->context, request.get(), &current->empty, keepingAlive(current, request, std::move(done)));
    }

    static void send(const ReportEndpoint &action, const std::shared_ptr<CallAttempt> &current, Done done)
    {
        auto request = std::make_shared<rpc::EndpointReport>();
        request->set_endpoint(action.endpoint.value());
        request->set_event(static_cast<rpc::EndpointEvent>(action.event));
        current->stub->async()->ReportEndpoint(&current->context, request.get(), &current->empty, keepingAlive(current, request, std::move(done)));
    }

    void handle(CallEnded &message)
    {
        const auto found = calls_.find(message.call);
        if (found == calls_.end()) {
            return;
        }
        Call &call = found->second;
        const std::shared_ptr<CallAttempt> finishedAttempt = std::exchange(call.current, nullptr);
        retired_.push_back(finishedAttempt);
        const auto *claim = std::get_if<RequestClaim>(&call.action);
        const bool decided = message.status.ok() && (claim == nullptr || finishedAttempt->claimReply.verdict() != rpc::CLAIM_VERDICT_UNDECIDED);
        if (decided) {
            if (claim != nullptr) {
                reportVerdict(*claim, finishedAttempt->claimReply);
            }
            endCall(found);
            return;
        }
        metrics_.increment("lentillock_entry_control_call_failures_total");
        if (!message.status.ok()) {
            stubs_.erase(call.address); // The next attempt uses a new channel.
        }
        const TimePoint retryAt = clockNow() + RetryDelay;
        if (retryAt >= call.deadline) {
            // No result is reported: the dispatcher ends a request whose claim is undecided at the deadline.
            endCall(found);
            return;
        }
        timers_.scheduleOnce(retryAt, [this, id = message.call](TimePoint) {
            if (const auto waiting = calls_.find(id); waiting != calls_.end()) {
                startAttempt(id, waiting->second);
            }
        });
    }

    void reportVerdict(const RequestClaim &claim, const rpc::ClaimReply &reply)
    {
        ClaimDecided decided{.request = claim.request, .attempt = claim.attempt, .winnerState = fromRpc(reply.winner_state()), .message = reply.message()};
        if (reply.verdict() == rpc::CLAIM_VERDICT_WON) {
            decided.verdict = ClaimVerdict::Won;
        } else {
            decided.verdict = reply.verdict() == rpc::CLAIM_VERDICT_LOST ? ClaimVerdict::Lost : ClaimVerdict::Refused;
        }
        sinks_.input(std::move(decided));
    }

    void endCall(std::map<std::uint64_t, Call>::iterator call)
    {
        pendingClaimUpdates_ -= call->second.updatesClaim ? 1 : 0;
        calls_.erase(call);
    }

    ControlLinkSettings settings_;
    std::unique_ptr<VmList> vmList_;
    Sinks sinks_;
    Metrics &metrics_;
    ControlSelector selector_;
    ViewBuilder builder_;
    TimerService timers_;
    SharedMailbox mailbox_;
    std::map<std::uint64_t, std::shared_ptr<ViewStream>> streams_;
    std::map<std::uint64_t, Call> calls_;
    std::map<std::string, std::shared_ptr<rpc::Control::Stub>> stubs_;
    std::vector<std::shared_ptr<void>> retired_; ///< Ended streams and calls that gRPC's threads may still use.
    std::uint64_t nextCall_ = 1;
    std::uint64_t rejectedVersion_ = 0;
    std::thread vmListThread_;
    bool vmListRunning_ = false;
    TimePoint nextVmList_;
    std::atomic<int> pendingClaimUpdates_ = 0;
    std::atomic<bool> connected_ = false;
    bool stopped_ = false;
    std::thread thread_;
};

ControlLink::ControlLink(ControlLinkSettings settings, std::unique_ptr<VmList> vmList, Sinks sinks, Metrics &metrics)
    : task_(std::make_unique<Task>(std::move(settings), std::move(vmList), std::move(sinks), metrics))
{
}

ControlLink::~ControlLink() = default;

void ControlLink::post(ControlAction action)
{
    task_->post(std::move(action));
}

bool ControlLink::isIdle() const
{
    return task_->isIdle();
}

bool ControlLink::isConnected() const
{
    return task_->isConnected();
}

}
