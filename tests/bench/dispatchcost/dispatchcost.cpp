#include "bench/dispatchcost/dispatchcost.h"

#include <ctime>
#include <string>

namespace Lentillock
{

namespace
{

constexpr std::uint64_t AnswerChunks = 100;

ServingViewPtr makeView(std::size_t endpoints, TimePoint now)
{
    auto document = std::make_shared<ServingDocument>();
    auto view = std::make_shared<ServingView>();
    for (std::size_t i = 0; i < endpoints; ++i) {
        Endpoint endpoint;
        endpoint.id = EndpointId("endpoint-" + std::to_string(i));
        endpoint.address = "127.0.0.1:1";
        endpoint.zone = ZoneId("z" + std::to_string(i % 3));
        endpoint.model = ModelId("m");
        endpoint.memoryTokens = 400000;
        document->endpoints.push_back(endpoint);
        view->endpoints[endpoint.id] = {endpoint.id, EndpointHealth::Live, std::nullopt, now};
    }
    view->document = document;
    view->receivedAt = now;
    return view;
}

DispatcherSettings makeSettings(std::uint64_t seed)
{
    DispatcherSettings settings;
    settings.vm = VmId("vm1");
    settings.zone = ZoneId("z1");
    settings.seed = seed;
    return settings;
}

/// CPU time of this thread, which excludes the time of other processes on the machine.
std::chrono::nanoseconds cpuTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

template<typename Work>
std::chrono::nanoseconds cpuTimeOf(Work work)
{
    const std::chrono::nanoseconds begin = cpuTime();
    work();
    return cpuTime() - begin;
}

}

DispatchCost::DispatchCost(std::size_t endpoints, std::size_t concurrentRequests, std::uint64_t seed)
    : concurrentRequests_(concurrentRequests)
    , dispatcher_(std::make_unique<Dispatcher>(makeSettings(seed), std::make_unique<LeastOutstandingPolicy>()))
{
    dispatcher_->handle(now_, ViewChanged{makeView(endpoints, now_)});
}

DispatchCost::Result DispatchCost::measure(std::size_t requests)
{
    requestTime_ = chunkTime_ = std::chrono::nanoseconds::zero();
    std::size_t done = 0;
    for (; done < requests; done += concurrentRequests_) {
        runBatch();
    }
    const auto count = static_cast<double>(done);
    return {static_cast<double>(requestTime_.count()) / count, static_cast<double>(chunkTime_.count()) / count / (AnswerChunks - 1)};
}

void DispatchCost::runBatch()
{
    dispatcher_->handle(now_, ViewConfirmed{});
    std::vector<AttemptId> attempts;
    requestTime_ += cpuTimeOf([&] {
        attempts = startRequests();
        streamChunks(attempts, 0, 1);
    });
    chunkTime_ += cpuTimeOf([&] { streamChunks(attempts, 1, AnswerChunks); });
    requestTime_ += cpuTimeOf([&] { finishRequests(attempts); });
}

std::vector<AttemptId> DispatchCost::startRequests()
{
    std::vector<AttemptId> attempts;
    const auto prompt = std::make_shared<const std::string>(4000, 'x');
    for (std::size_t i = 0; i < concurrentRequests_; ++i) {
        auto spec = std::make_shared<RequestSpec>();
        spec->id = RequestId("request-" + std::to_string(nextRequest_++));
        spec->workspace = WorkspaceId("workspace-" + std::to_string(i % 10));
        spec->model = ModelId("m");
        spec->promptTokens = 1000;
        spec->maxTokens = AnswerChunks;
        spec->prompt = prompt;
        spec->deadline = now_ + 30s;
        for (const DispatchAction &action : dispatcher_->handle(now_, RequestArrived{spec})) {
            if (const auto *attempt = std::get_if<StartAttempt>(&action)) {
                attempts.push_back(attempt->attempt);
            }
        }
    }
    return attempts;
}

void DispatchCost::streamChunks(const std::vector<AttemptId> &attempts, std::uint64_t begin, std::uint64_t end)
{
    for (std::uint64_t position = begin; position < end; ++position) {
        now_ += 100us;
        for (const AttemptId &attempt : attempts) {
            dispatcher_->handle(now_, AttemptChunk{attempt, position, 1, " token"});
        }
    }
}

void DispatchCost::finishRequests(const std::vector<AttemptId> &attempts)
{
    for (const AttemptId &attempt : attempts) {
        dispatcher_->handle(now_, AttemptEnded{attempt, AnswerChunks, "stop", 1000, 0});
    }
}

}
