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

/// The thread that owns the dispatcher and its timers.
class DispatchTask
{
public:
    static constexpr std::size_t MaxQueuedInputs = 16384;

    /// Receivers of the dispatcher's actions; called from the task.
    struct Outputs {
        std::function<void(DispatchAction)> endpoints; ///< Actions of EngineClient.
        std::function<void(DispatchAction)> controls; ///< Actions of ControlLink.
        std::function<void(const SendToCaller &)> send;
        std::function<void(const FinishRequest &)> finish;
        std::function<void()> flush; ///< After each batch of actions.
    };

    DispatchTask(std::unique_ptr<Dispatcher> dispatcher, Outputs outputs);

    ~DispatchTask();

    DispatchTask(const DispatchTask &) = delete;
    DispatchTask &operator=(const DispatchTask &) = delete;

    /// Ends the task; later posts have no effect. Requests that are not done get no answer, so post AbortAll before.
    void stop();

    /// Safe from any thread.
    void post(DispatchInput input);
    void post(std::vector<DispatchInput> inputs);

    /// Like post(), but waits while more than MaxQueuedInputs of such inputs have not been handled. Makes the client of the endpoints read no faster than
    /// the dispatcher handles. Must not be called from the task.
    void postWithBackpressure(std::vector<DispatchInput> inputs);

    /// The following wait for the task's answer and must not be called after stop().
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
    Result runQuery(std::function<Result(const Dispatcher &, TimePoint)> query);

    std::unique_ptr<Dispatcher> dispatcher_;
    Outputs outputs_;
    Mailbox<Message> mailbox_;
    std::atomic<std::size_t> queuedInputs_ = 0;
    std::atomic<bool> ended_ = false; ///< The thread has ended.
    bool stopped_ = false;
    std::thread thread_;
};

}
