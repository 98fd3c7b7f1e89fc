#include "control/controlservice.h"

#include "control/viewwatch.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <mutex>
#include <set>
#include <utility>

namespace Lentillock
{

namespace rpc = ::lentillock::rpc;

namespace
{

/// Upper limit of the time to record an update; applies when the caller set no deadline.
constexpr milliseconds MaxUpdateTimeout{10000};
constexpr int MinPingIntervalMs = 5000;

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

std::optional<ClaimProposal> decodeProposal(const rpc::ClaimRequest &request)
{
    const auto key = IdempotencyKey::parse(request.key());
    if (!key || request.attempt().empty() || request.workspace().empty()) {
        return std::nullopt;
    }
    return ClaimProposal{0,
                         WorkspaceId(request.workspace()),
                         *key,
                         AttemptId(request.attempt()),
                         currentTime() + milliseconds(static_cast<std::int64_t>(request.remaining_ms()))};
}

template<typename Request>
std::optional<ClaimRecord> decodeRecord(ClaimRecordType type, const Request &request, ClaimRunState outcome)
{
    const auto key = IdempotencyKey::parse(request.key());
    if (!key || request.attempt().empty() || request.workspace().empty()) {
        return std::nullopt;
    }
    return ClaimRecord{type, WorkspaceId(request.workspace()), *key, AttemptId(request.attempt()), outcome};
}

std::optional<ClaimRecord> decodeRecord(const rpc::ReleaseRequest &request)
{
    return decodeRecord(ClaimRecordType::Release, request, ClaimRunState::Unknown);
}

std::optional<ClaimRecord> decodeRecord(const rpc::OutcomeRequest &request)
{
    if (!rpc::RunState_IsValid(request.state())) {
        return std::nullopt;
    }
    return decodeRecord(ClaimRecordType::Outcome, request, static_cast<ClaimRunState>(request.state()));
}

void encode(const AnswerClaim &answer, rpc::ClaimReply &reply)
{
    reply.set_verdict(static_cast<rpc::ClaimVerdict>(answer.verdict));
    reply.set_winner_state(static_cast<rpc::RunState>(answer.winnerState));
    reply.set_message(answer.message);
}

const AnswerClaim MalformedClaim{0, ClaimDecision::Refused, ClaimRunState::WasNotRun, "the key is not a UUID of version 7, or workspace or attempt is missing"};

/// Deadline of the call on the monotonic clock, at most MaxUpdateTimeout from now.
TimePoint deadlineOf(const grpc::CallbackServerContext &context)
{
    const auto remaining = context.deadline() - std::chrono::system_clock::now();
    return currentTime() + std::min<Duration>(MaxUpdateTimeout, std::chrono::duration_cast<Duration>(remaining));
}

/// Finishes a call once a given number of its claims and updates have been completed.
class CompletionCounter
{
public:
    CompletionCounter(int count, grpc::ServerUnaryReactor *reactor)
        : remaining_(count)
        , reactor_(reactor)
    {
    }

    void completeOne()
    {
        if (--remaining_ == 0) {
            reactor_->Finish(grpc::Status::OK);
        }
    }

private:
    std::atomic<int> remaining_;
    grpc::ServerUnaryReactor *reactor_;
};

}

class ControlService::Implementation : public rpc::Control::CallbackService
{
public:
    explicit Implementation(ControlServiceDependencies dependencies)
        : dependencies_(std::move(dependencies))
        , fleet_(std::make_shared<FleetSnapshot>())
        , config_(std::make_shared<ConfigState>())
    {
    }

    void start(const std::string &address, int *port)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), port);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        // With SO_REUSEPORT, a second process could listen on the same port and would receive part of the calls.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
    }

    void shutDown(milliseconds limit)
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            for (ViewWatch *watch : watches_) {
                watch->close();
            }
        }
        if (server_ != nullptr) {
            server_->Shutdown(std::chrono::system_clock::now() + limit);
            server_->Wait();
        }
        std::unique_lock lock(mutex_);
        watchRemoved_.wait(lock, [this] { return watches_.empty(); });
    }

    void setFleet(const FleetSnapshotPtr &fleet)
    {
        const std::lock_guard lock(mutex_);
        fleet_ = fleet;
        for (ViewWatch *watch : watches_) {
            watch->publish(fleet_, config_);
        }
    }

    void setConfig(const ConfigStatePtr &config)
    {
        const std::lock_guard lock(mutex_);
        config_ = config;
    }

    grpc::ServerWriteReactor<rpc::ViewUpdate> *WatchView(grpc::CallbackServerContext * /*context*/, const rpc::WatchViewRequest *request) override
    {
        if (!request->entry_address().empty()) {
            dependencies_.postToFleet(EntryConnected{request->entry_address(), request->entry_incarnation()});
        }
        auto *watch = new ViewWatch(request->config_version(), [this](ViewWatch *finished) { removeWatch(finished); });
        const std::lock_guard lock(mutex_);
        watches_.insert(watch);
        if (stopping_) {
            watch->close();
        } else {
            watch->publish(fleet_, config_);
        }
        return watch;
    }

    grpc::ServerUnaryReactor *Claim(grpc::CallbackServerContext *context, const rpc::ClaimRequest *request, rpc::ClaimReply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        const auto proposal = decodeProposal(*request);
        if (!proposal) {
            encode(MalformedClaim, *reply);
            reactor->Finish(grpc::Status::OK);
            return reactor;
        }
        dependencies_.claimRouter.claim(*proposal, [reactor, reply](const AnswerClaim &answer) {
            encode(answer, *reply);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *Release(grpc::CallbackServerContext *context, const rpc::ReleaseRequest *request, rpc::Empty * /*reply*/) override
    {
        return recordUpdate(context, decodeRecord(*request));
    }

    grpc::ServerUnaryReactor *RecordOutcome(grpc::CallbackServerContext *context, const rpc::OutcomeRequest *request, rpc::Empty * /*reply*/) override
    {
        return recordUpdate(context, decodeRecord(*request));
    }

    grpc::ServerUnaryReactor *ReportEndpoint(grpc::CallbackServerContext *context, const rpc::EndpointReport *request, rpc::Empty * /*reply*/) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (rpc::EndpointEvent_IsValid(request->event())) {
            dependencies_.postToFleet(FaultReported{EndpointId(request->endpoint()), static_cast<ReportedFault>(request->event()), request->generation()});
        }
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *
    ForwardClaims(grpc::CallbackServerContext *context, const rpc::ForwardClaimsRequest *request, rpc::ForwardClaimsReply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        const int updateCount = request->releases_size() + request->outcomes_size();
        // One is added for this function itself, so that the call does not finish before all claims and updates have been started.
        auto counter = std::make_shared<CompletionCounter>(request->claims_size() + updateCount + 1, reactor);
        for (int i = 0; i < request->claims_size(); ++i) {
            reply->add_replies();
        }
        reply->mutable_recorded()->Resize(updateCount, false);
        for (int i = 0; i < request->claims_size(); ++i) {
            forwardClaim(request->claims(i), *reply->mutable_replies(i), counter);
        }
        int position = 0;
        for (const rpc::ReleaseRequest &release : request->releases()) {
            forwardUpdate(context, decodeRecord(release), reply, position++, counter);
        }
        for (const rpc::OutcomeRequest &outcome : request->outcomes()) {
            forwardUpdate(context, decodeRecord(outcome), reply, position++, counter);
        }
        counter->completeOne();
        return reactor;
    }

    grpc::ServerUnaryReactor *FetchConfig(grpc::CallbackServerContext *context, const rpc::FetchConfigRequest *request, rpc::ConfigState *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        ConfigStatePtr config;
        {
            const std::lock_guard lock(mutex_);
            config = config_;
        }
        reply->set_version(config->version);
        reply->set_through_offset(config->throughOffset);
        reply->set_rules_version(config->rulesVersion);
        if (config->version > request->known_version()) {
            reply->set_snapshot(config->snapshot);
            for (const ConfigSectionState &section : config->sections) {
                rpc::Section &encoded = *reply->add_sections();
                encoded.set_name(section.name);
                encoded.set_version(section.version);
                encoded.set_text(section.text);
            }
        }
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *GetState(grpc::CallbackServerContext *context, const rpc::GetStateRequest *request, rpc::GetStateReply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reply->set_json(dependencies_.stateDump(request->part()));
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    void removeWatch(ViewWatch *watch)
    {
        {
            const std::lock_guard lock(mutex_);
            watches_.erase(watch);
            watchRemoved_.notify_all();
        }
        delete watch;
    }

    grpc::ServerUnaryReactor *recordUpdate(grpc::CallbackServerContext *context, const std::optional<ClaimRecord> &record)
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (!record) {
            reactor->Finish(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, MalformedClaim.message));
            return reactor;
        }
        dependencies_.claimRouter.update({0, *record, deadlineOf(*context)}, [reactor](bool recorded) {
            reactor->Finish(recorded ? grpc::Status::OK : grpc::Status(grpc::StatusCode::UNAVAILABLE, "the log did not confirm the record in time"));
        });
        return reactor;
    }

    void forwardClaim(const rpc::ClaimRequest &request, rpc::ClaimReply &reply, const std::shared_ptr<CompletionCounter> &counter)
    {
        const auto proposal = decodeProposal(request);
        if (!proposal) {
            encode(MalformedClaim, reply);
            counter->completeOne();
            return;
        }
        dependencies_.claimRouter.claimLocally(*proposal, [&reply, counter](const AnswerClaim &answer) {
            encode(answer, reply);
            counter->completeOne();
        });
    }

    void forwardUpdate(grpc::CallbackServerContext *context,
                       const std::optional<ClaimRecord> &record,
                       rpc::ForwardClaimsReply *reply,
                       int position,
                       const std::shared_ptr<CompletionCounter> &counter)
    {
        if (!record) {
            counter->completeOne();
            return;
        }
        dependencies_.claimRouter.updateLocally({0, *record, deadlineOf(*context)}, [reply, position, counter](bool recorded) {
            reply->set_recorded(position, recorded);
            counter->completeOne();
        });
    }

    ControlServiceDependencies dependencies_;
    std::mutex mutex_;
    std::condition_variable watchRemoved_;
    std::set<ViewWatch *> watches_;
    FleetSnapshotPtr fleet_;
    ConfigStatePtr config_;
    bool stopping_ = false;
    std::unique_ptr<grpc::Server> server_;
};

leaf::result<std::unique_ptr<ControlService>> ControlService::listen(const std::string &address, ControlServiceDependencies dependencies)
{
    auto implementation = std::make_unique<Implementation>(std::move(dependencies));
    int port = 0;
    implementation->start(address, &port);
    if (port == 0) {
        return leaf::new_error("cannot listen on gRPC address " + address);
    }
    const std::string bound = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
    return std::unique_ptr<ControlService>(new ControlService(bound, std::move(implementation)));
}

ControlService::ControlService(std::string address, std::unique_ptr<Implementation> implementation)
    : address_(std::move(address))
    , implementation_(std::move(implementation))
{
}

ControlService::~ControlService()
{
    shutDown(milliseconds(0));
}

void ControlService::setFleet(const FleetSnapshotPtr &fleet)
{
    implementation_->setFleet(fleet);
}

void ControlService::setConfig(const ConfigStatePtr &config)
{
    implementation_->setConfig(config);
}

const std::string &ControlService::address() const
{
    return address_;
}

void ControlService::shutDown(milliseconds limit)
{
    implementation_->shutDown(limit);
}

}
