#include "control/peerclient.h"

#include "lentillock.grpc.pb.h"
#include "rpc/callbackthreads.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace Lentillock
{

namespace rpc = ::lentillock::rpc;

namespace
{

constexpr int KeepaliveMs = 10000;
constexpr int KeepaliveTimeoutMs = 2000;

// The configuration of 45,000 workspaces takes 14 MB, more than gRPC's default limit of 4 MB.
constexpr int MaxMessageBytes = 64 * 1024 * 1024;

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
    // With the global subchannel pool, a new channel would reuse the connection of the channel that failed.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    return arguments;
}

/// Objects that must exist until the call has finished.
template<typename Request, typename Reply>
struct Call {
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

AnswerClaim decodeReply(std::uint64_t token, const rpc::ClaimReply &reply)
{
    AnswerClaim answer{token, ClaimDecision::Undecided, static_cast<ClaimRunState>(reply.winner_state()), reply.message()};
    if (rpc::ClaimVerdict_IsValid(reply.verdict())) {
        answer.verdict = static_cast<ClaimDecision>(reply.verdict());
    }
    return answer;
}

void encodeRecord(const ClaimRecord &record, rpc::ForwardClaimsRequest &request)
{
    if (record.type == ClaimRecordType::Release) {
        rpc::ReleaseRequest &release = *request.add_releases();
        release.set_workspace(record.workspace.value());
        release.set_key(record.key.toText());
        release.set_attempt(record.attempt.value());
        return;
    }
    rpc::OutcomeRequest &outcome = *request.add_outcomes();
    outcome.set_workspace(record.workspace.value());
    outcome.set_key(record.key.toText());
    outcome.set_attempt(record.attempt.value());
    outcome.set_state(static_cast<rpc::RunState>(record.outcome));
}

}

/// Owns the channels and keeps track of running calls.
class PeerClient::Calls
{
public:
    ~Calls()
    {
        std::unique_lock lock(mutex_);
        for (grpc::ClientContext *context : running_) {
            context->TryCancel();
        }
        callFinished_.wait(lock, [this] { return running_.empty(); });
    }

    std::shared_ptr<grpc::Channel> channel(const std::string &address)
    {
        const std::lock_guard lock(mutex_);
        std::shared_ptr<grpc::Channel> &channel = channels_[address];
        if (channel == nullptr) {
            channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments());
        }
        return channel;
    }

    void begin(grpc::ClientContext &context, milliseconds timeout)
    {
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        const std::lock_guard lock(mutex_);
        running_.insert(&context);
    }

    void end(grpc::ClientContext &context, const std::string &address, const std::shared_ptr<grpc::Channel> &callChannel, bool ok)
    {
        const std::lock_guard lock(mutex_);
        running_.erase(&context);
        const auto current = channels_.find(address);
        if (!ok && current != channels_.end() && current->second == callChannel) {
            channels_.erase(current);
        }
        callFinished_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable callFinished_;
    std::map<std::string, std::shared_ptr<grpc::Channel>> channels_;
    std::set<grpc::ClientContext *> running_;
};

PeerClient::PeerClient()
    : calls_(std::make_unique<Calls>())
{
    keepCallbackThreads();
}

PeerClient::~PeerClient() = default;

void PeerClient::forwardClaim(const std::string &address,
                              const ClaimProposal &proposal,
                              milliseconds remaining,
                              milliseconds timeout,
                              std::function<void(const std::optional<AnswerClaim> &)> callback)
{
    auto call = std::make_shared<Call<rpc::ForwardClaimsRequest, rpc::ForwardClaimsReply>>();
    rpc::ClaimRequest &claim = *call->request.add_claims();
    claim.set_workspace(proposal.workspace.value());
    claim.set_key(proposal.key.toText());
    claim.set_attempt(proposal.attempt.value());
    claim.set_remaining_ms(static_cast<std::uint64_t>(remaining.count()));
    auto channel = calls_->channel(address);
    calls_->begin(call->context, timeout);
    rpc::Control::NewStub(channel)->async()->ForwardClaims(
        &call->context, &call->request, &call->reply, [=, this, token = proposal.token, callback = std::move(callback)](const grpc::Status &status) {
            const bool ok = status.ok() && call->reply.replies_size() == 1;
            callback(ok ? std::optional(decodeReply(token, call->reply.replies(0))) : std::nullopt);
            calls_->end(call->context, address, channel, ok);
        });
}

void PeerClient::forwardUpdate(const std::string &address, const ClaimRecord &record, milliseconds timeout, std::function<void(std::optional<bool>)> callback)
{
    auto call = std::make_shared<Call<rpc::ForwardClaimsRequest, rpc::ForwardClaimsReply>>();
    encodeRecord(record, call->request);
    auto channel = calls_->channel(address);
    calls_->begin(call->context, timeout);
    rpc::Control::NewStub(channel)->async()->ForwardClaims(
        &call->context, &call->request, &call->reply, [=, this, callback = std::move(callback)](const grpc::Status &status) {
            const bool ok = status.ok() && call->reply.recorded_size() == 1;
            callback(ok ? std::optional(call->reply.recorded(0)) : std::nullopt);
            calls_->end(call->context, address, channel, ok);
        });
}

void PeerClient::queryActive(const std::string &address,
                             const std::vector<RequestId> &requests,
                             milliseconds timeout,
                             std::function<void(const std::optional<OwnerReply> &)> callback)
{
    auto call = std::make_shared<Call<rpc::IsActiveRequest, rpc::IsActiveReply>>();
    for (const RequestId &request : requests) {
        call->request.add_requests(request.value());
    }
    auto channel = calls_->channel(address);
    calls_->begin(call->context, timeout);
    rpc::Entry::NewStub(channel)->async()->IsActive(
        &call->context, &call->request, &call->reply, [=, this, callback = std::move(callback)](const grpc::Status &status) {
            const bool ok = status.ok() && call->reply.active_size() == call->request.requests_size();
            std::optional<OwnerReply> ownerReply;
            if (ok) {
                ownerReply = OwnerReply{VmId(call->reply.vm()), call->reply.incarnation(), {}};
                for (int i = 0; i < call->reply.active_size(); ++i) {
                    if (!call->reply.active(i)) {
                        ownerReply->inactive.emplace_back(call->request.requests(i));
                    }
                }
            }
            callback(ownerReply);
            calls_->end(call->context, address, channel, ok);
        });
}

std::optional<std::string> PeerClient::fetchConfig(const std::string &address, std::uint64_t knownVersion, milliseconds timeout)
{
    Call<rpc::FetchConfigRequest, rpc::ConfigState> call;
    call.request.set_known_version(knownVersion);
    auto channel = calls_->channel(address);
    calls_->begin(call.context, timeout);
    const grpc::Status status = rpc::Control::NewStub(channel)->FetchConfig(&call.context, call.request, &call.reply);
    calls_->end(call.context, address, channel, status.ok());
    if (!status.ok() || call.reply.version() <= knownVersion || call.reply.snapshot().empty()) {
        return std::nullopt;
    }
    return call.reply.snapshot();
}

}
