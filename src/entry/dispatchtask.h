#pragma once

#include "base/mailbox.h"
#include "dispatch/dispatcher.h"
#include "dispatch/messages.h"

#include <boost/json/object.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

namespace Lentillock
{

/// Runs the dispatcher and its timers in a thread of their own.
class DispatchTask
{
public:
    static constexpr std::size_t MaxQueuedInputs = 16384;

    /// Receivers of the dispatcher's actions; called from the task's thread.
    struct Outputs {
        std::function<void(DispatchAction)> endpoints; ///< Actions for EngineClient.
        std::function<void(DispatchAction)> controls; ///< Actions for ControlLink.
        std::function<void(const SendToCaller &)> send;
        std::function<void(const FinishRequest &)> finish;
        std::function<void()> flush; ///< Called after each batch of actions.
    };

    DispatchTask(std::unique_ptr<Dispatcher> dispatcher, Outputs outputs);

    ~DispatchTask();

    DispatchTask(const DispatchTask &) = delete;
    DispatchTask &operator=(const DispatchTask &) = delete;

    /// Stops the thread; later posts have no effect. Unfinished requests get no response, so post AbortAll first.
    void stop();

    /// Thread-safe.
    void post(DispatchInput input);
    void post(std::vector<DispatchInput> inputs);

    /// Like post(), but blocks while more than MaxQueuedInputs inputs posted by this function are unprocessed. This keeps the endpoint client from reading
    /// faster than the dispatcher processes. Must not be called from the task's thread.
    void postWithBackpressure(std::vector<DispatchInput> inputs);

    /// The following functions wait for the task's thread and must not be called after stop().
    [[nodiscard]] std::vector<bool> areActive(const std::vector<RequestId> &requests);
    [[nodiscard]] boost::json::object dumpState();
    [[nodiscard]] std::optional<boost::json::object> explain(const RequestId &request);
    [[nodiscard]] bool isIdle();

private:
    using Query = std::function<void(const Dispatcher &dispatcher, TimePoint now)>;
    struct Stop {
    };
    struct CountedInputs {
        std::vector<DispatchInput> inputs;
    };
    using Message = std::variant<DispatchInput, std::vector<DispatchInput>, CountedInputs, Query, Stop>;

    void run();
    void handle(const DispatchInput &input);
    void executeActions(std::vector<DispatchAction> actions);
    template<typename Result>
    Result runQuery(std::function<Result(const Dispatcher &, TimePoint)> callback);

    std::unique_ptr<Dispatcher> dispatcher_;
    Outputs outputs_;
    Mailbox<Message> mailbox_;
    std::atomic<std::size_t> queuedInputs_ = 0;
    std::atomic<bool> ended_ = false; ///< The thread has ended.
    bool stopped_ = false;
    std::thread thread_;
};

}
