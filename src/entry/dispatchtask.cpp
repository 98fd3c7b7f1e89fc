#include "entry/dispatchtask.h"

#include <algorithm>
#include <future>
#include <type_traits>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr milliseconds IdleWait{1000};

TimePoint clockNow()
{
    return std::chrono::steady_clock::now();
}

template<typename Action, typename... Kinds>
constexpr bool IsOneOf = (std::is_same_v<Action, Kinds> || ...);

}

DispatchTask::DispatchTask(std::unique_ptr<Dispatcher> dispatcher, Outputs outputs)
    : dispatcher_(std::move(dispatcher))
    , outputs_(std::move(outputs))
    , thread_([this] { run(); })
{
}

DispatchTask::~DispatchTask()
{
    stop();
}

void DispatchTask::stop()
{
    if (thread_.joinable()) {
        mailbox_.post(Stop{});
        thread_.join();
        ended_ = true;
        queuedInputs_ = 0;
        queuedInputs_.notify_all();
    }
}

void DispatchTask::post(DispatchInput input)
{
    mailbox_.post(std::move(input));
}

void DispatchTask::post(std::vector<DispatchInput> inputs)
{
    mailbox_.post(std::move(inputs));
}

void DispatchTask::postWithBackpressure(std::vector<DispatchInput> inputs)
{
    if (ended_) {
        return;
    }
    queuedInputs_ += inputs.size();
    mailbox_.post(CountedInputs{std::move(inputs)});
    for (std::size_t queuedInputs = queuedInputs_; queuedInputs > MaxQueuedInputs && !ended_; queuedInputs = queuedInputs_) {
        queuedInputs_.wait(queuedInputs);
    }
}

template<typename Result>
Result DispatchTask::runQuery(std::function<Result(const Dispatcher &, TimePoint)> callback)
{
    std::promise<Result> promise;
    std::future<Result> answer = promise.get_future();
    mailbox_.post(Query([&](const Dispatcher &dispatcher, TimePoint now) { promise.set_value(callback(dispatcher, now)); }));
    return answer.get();
}

std::vector<bool> DispatchTask::areActive(const std::vector<RequestId> &requests)
{
    return runQuery<std::vector<bool>>([&](const Dispatcher &dispatcher, TimePoint) {
        std::vector<bool> active;
        active.reserve(requests.size());
        for (const RequestId &request : requests) {
            active.push_back(dispatcher.isActive(request));
        }
        return active;
    });
}

boost::json::object DispatchTask::dumpState()
{
    return runQuery<boost::json::object>([](const Dispatcher &dispatcher, TimePoint now) { return dispatcher.dumpState(now); });
}

std::optional<boost::json::object> DispatchTask::explain(const RequestId &request)
{
    return runQuery<std::optional<boost::json::object>>([&](const Dispatcher &dispatcher, TimePoint now) { return dispatcher.explain(request, now); });
}

bool DispatchTask::isIdle()
{
    return runQuery<bool>([](const Dispatcher &dispatcher, TimePoint) { return dispatcher.isIdle(); });
}

void DispatchTask::run()
{
    while (!stopped_) {
        const TimePoint latest = clockNow() + IdleWait;
        auto messages = mailbox_.waitUntil(std::min(dispatcher_->nextDue().value_or(latest), latest));
        for (Message &message : messages) {
            if (const auto *input = std::get_if<DispatchInput>(&message)) {
                handle(*input);
            } else if (const auto *inputs = std::get_if<std::vector<DispatchInput>>(&message)) {
                std::for_each(inputs->begin(), inputs->end(), [this](const DispatchInput &input) { handle(input); });
            } else if (const auto *counted = std::get_if<CountedInputs>(&message)) {
                std::for_each(counted->inputs.begin(), counted->inputs.end(), [this](const DispatchInput &input) { handle(input); });
                queuedInputs_ -= counted->inputs.size();
                queuedInputs_.notify_all();
            } else if (const auto *query = std::get_if<Query>(&message)) {
                (*query)(*dispatcher_, clockNow());
            } else {
                stopped_ = true;
            }
        }
        executeActions(dispatcher_->advance(clockNow()));
        outputs_.flush();
    }
}

void DispatchTask::handle(const DispatchInput &input)
{
    executeActions(dispatcher_->handle(clockNow(), input));
}

void DispatchTask::executeActions(std::vector<DispatchAction> actions)
{
    for (DispatchAction &action : actions) {
        std::visit(
            [&](auto &value) {
                using Action = std::decay_t<decltype(value)>;
                if constexpr (std::is_same_v<Action, SendToCaller>) {
                    outputs_.send(value);
                } else if constexpr (std::is_same_v<Action, FinishRequest>) {
                    outputs_.finish(value);
                } else if constexpr (IsOneOf<Action, RequestClaim, ReleaseClaim, RecordOutcome, ReportEndpoint>) {
                    outputs_.controls(std::move(action));
                } else {
                    outputs_.endpoints(std::move(action));
                }
            },
            action);
    }
}

}
