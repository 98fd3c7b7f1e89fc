#include "entrysupport/scriptedcontrol.h"

#include "base/hash.h"
#include "base/time.h"
#include "lentillock.grpc.pb.h"

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <utility>

namespace Lentillock
{

namespace
{

namespace rpc = lentillock::rpc;

constexpr milliseconds UpdateInterval{100};
constexpr milliseconds PollInterval{5};
constexpr int MinPingIntervalMs = 500;

}

class ScriptedControl::Implementation : public rpc::Control::Service
{
public:
    Implementation(View view, int port)
        : view_(std::move(view))
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:" + std::to_string(port), grpc::InsecureServerCredentials(), &port_);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
    }

    ~Implementation() override
    {
        stopped_ = true;
        server_->Shutdown(std::chrono::system_clock::now() + UpdateInterval);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    grpc::Status WatchView(grpc::ServerContext *context, const rpc::WatchViewRequest *request, grpc::ServerWriter<rpc::ViewUpdate> *writer) override
    {
        ++streams_;
        record("WatchView " + request->vm());
        std::uint64_t sentVersion = request->config_version();
        while (!stopped_ && !context->IsCancelled()) {
            if (!frozen_ && !writer->Write(update(sentVersion))) {
                break;
            }
            const TimePoint next = std::chrono::steady_clock::now() + UpdateInterval;
            while (!stopped_ && !context->IsCancelled() && std::chrono::steady_clock::now() < next) {
                std::this_thread::sleep_for(PollInterval);
            }
        }
        return grpc::Status::OK;
    }

    grpc::Status Claim(grpc::ServerContext *context, const rpc::ClaimRequest *request, rpc::ClaimReply *reply) override
    {
        record("Claim " + request->key());
        waitWhileFrozen(context);
        std::function<void(const rpc::ClaimRequest &, rpc::ClaimReply &)> handler;
        {
            const std::lock_guard lock(mutex_);
            handler = claimHandler_;
        }
        reply->set_verdict(rpc::CLAIM_VERDICT_WON);
        if (handler) {
            handler(*request, *reply);
        }
        return grpc::Status::OK;
    }

    grpc::Status Release(grpc::ServerContext *context, const rpc::ReleaseRequest *request, rpc::Empty * /*reply*/) override
    {
        record("Release " + request->key());
        waitWhileFrozen(context);
        return grpc::Status::OK;
    }

    grpc::Status RecordOutcome(grpc::ServerContext *context, const rpc::OutcomeRequest *request, rpc::Empty * /*reply*/) override
    {
        record("RecordOutcome " + request->key() + ' ' + rpc::RunState_Name(request->state()));
        waitWhileFrozen(context);
        return grpc::Status::OK;
    }

    grpc::Status ReportEndpoint(grpc::ServerContext * /*context*/, const rpc::EndpointReport *request, rpc::Empty * /*reply*/) override
    {
        record("ReportEndpoint " + request->endpoint());
        return grpc::Status::OK;
    }

    rpc::ViewUpdate update(std::uint64_t &sentVersion)
    {
        const std::lock_guard lock(mutex_);
        rpc::ViewUpdate result;
        result.set_config_version(view_.configVersion);
        if (view_.configVersion > sentVersion) {
            sentVersion = view_.configVersion;
            for (const auto &[name, text] : view_.sections) {
                rpc::Section *section = result.add_sections();
                section->set_name(name);
                section->set_version(view_.configVersion);
                section->set_text(text);
            }
        }
        for (const std::string &id : view_.liveEndpoints) {
            rpc::EndpointState *endpoint = result.add_endpoints();
            endpoint->set_id(id);
            endpoint->set_health(rpc::ENDPOINT_HEALTH_LIVE);
        }
        return result;
    }

    void record(std::string call)
    {
        const std::lock_guard lock(mutex_);
        calls_.push_back(std::move(call));
    }

    void waitWhileFrozen(grpc::ServerContext *context) const
    {
        while (frozen_ && !stopped_ && !context->IsCancelled()) {
            std::this_thread::sleep_for(PollInterval);
        }
    }

    mutable std::mutex mutex_;
    View view_;
    std::function<void(const rpc::ClaimRequest &, rpc::ClaimReply &)> claimHandler_;
    std::vector<std::string> calls_;
    std::atomic<int> streams_ = 0;
    std::atomic<bool> frozen_ = false;
    std::atomic<bool> stopped_ = false;
    int port_ = 0;
    std::unique_ptr<grpc::Server> server_;
};

ScriptedControl::ScriptedControl(View view, int port)
    : implementation_(std::make_unique<Implementation>(std::move(view), port))
{
}

ScriptedControl::~ScriptedControl() = default;

int ScriptedControl::port() const
{
    return implementation_->port_;
}

std::string ScriptedControl::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

void ScriptedControl::setView(View view)
{
    const std::lock_guard lock(implementation_->mutex_);
    implementation_->view_ = std::move(view);
}

void ScriptedControl::setFrozen(bool frozen)
{
    implementation_->frozen_ = frozen;
}

void ScriptedControl::setClaimHandler(std::function<void(const rpc::ClaimRequest &, rpc::ClaimReply &)> handler)
{
    const std::lock_guard lock(implementation_->mutex_);
    implementation_->claimHandler_ = std::move(handler);
}

std::vector<std::string> ScriptedControl::calls() const
{
    const std::lock_guard lock(implementation_->mutex_);
    return implementation_->calls_;
}

int ScriptedControl::streams() const
{
    return implementation_->streams_;
}

std::map<std::string, std::string> smallDocument(const std::string &engine, const std::string &service)
{
    const std::string tokenA = sha256Hex("secret-a");
    const std::string tokenB = sha256Hex("secret-b");
    std::string endpoints = R"({"endpoints":[{"id":"e1","address":")" + engine + R"(","zone":"z1","model":"doc-reader","memoryTokens":4000000})";
    if (!service.empty()) {
        endpoints
            += R"(,{"id":"s1","address":")" + service + R"(","zone":"z1","kind":"service","pathPrefix":"/ledger","nonRepeatablePaths":["/ledger/issue"]})";
    }
    return {
        {"zones", R"({"zones":[{"id":"z1","region":"jm-south"}]})"},
        {"priorities", R"({"classes":[{"id":"normal","level":1}]})"},
        {"models",
         R"({"models":[{"id":"doc-reader","version":"1","minEndpoints":0,"maxTokens":2000000},{"id":"gauge-models","version":"1","minEndpoints":0,"maxTokens":1000}]})"},
        {"endpoints", endpoints + "]}"},
        {"workspaces",
         R"({"workspaces":[{"id":"kpecu","tokenHashes":[")" + tokenA + R"("],"priorityClass":"normal","models":["doc-reader")"
             + (service.empty() ? "" : ",\"/ledger\"") + R"(],"defaultTimeoutMs":20000,"maxTimeoutMs":60000},{"id":"lakeshore","tokenHashes":[")" + tokenB
             + R"("],"priorityClass":"normal","models":["gauge-models"]}]})"},
    };
}

}
