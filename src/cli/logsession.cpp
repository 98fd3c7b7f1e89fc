#include "cli/logsession.h"

#include "platform/httplogservice.h"

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <thread>

namespace Lentillock
{

namespace
{

constexpr const char *LogUrlVariable = "LENTILLOCK_LOG";
constexpr milliseconds CallTimeout = 3s;
constexpr milliseconds PollInterval = 50ms;
constexpr std::uint64_t MaxTimeoutMs = 600'000;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

}

std::vector<OptionSpec> LogSession::options()
{
    return {{"log", "URL", "URL of the log service; without it the environment variable LENTILLOCK_LOG is used", ""},
            {"timeout-ms", "N", "time to wait for the log, in milliseconds", "30000"}};
}

leaf::result<LogSession> LogSession::create(const Arguments &arguments)
{
    std::string url = arguments.text("log");
    if (const char *variable = std::getenv(LogUrlVariable); url.empty() && variable != nullptr) {
        url = variable;
    }
    if (url.empty()) {
        return leaf::new_error(UsageError{"--log or the environment variable LENTILLOCK_LOG must be given"});
    }
    BOOST_LEAF_AUTO(timeout, arguments.number("timeout-ms", 1, MaxTimeoutMs));
    return LogSession(url, milliseconds(timeout));
}

LogSession::LogSession(std::string url, milliseconds timeout)
    : url_(std::move(url))
    , timeout_(timeout)
    , log_(std::make_unique<HttpLogService>(url_))
{
}

template<typename Read, typename ReadFailed>
std::variant<Read, ReadFailed> LogSession::read(std::uint64_t from, std::size_t maxRecords, milliseconds wait)
{
    using Result = std::variant<Read, ReadFailed>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<Result> {
            BOOST_LEAF_AUTO(batch, log_->read(ConfigStream, from, maxRecords, wait, wait + CallTimeout));
            return Result(Read{std::move(batch)});
        },
        [](LogError error, EarliestOffset earliest) {
            return Result(ReadFailed{error, earliest.value});
        },
        [](LogError error) {
            return Result(ReadFailed{error, std::nullopt});
        },
        [] {
            return Result(ReadFailed{LogError::Unavailable, std::nullopt});
        });
}

leaf::result<LoadedConfig> LogSession::load()
{
    const TimePoint deadline = now() + timeout_;
    ConfigReader reader;
    std::vector<ConfigDecision> decisions;
    while (now() < deadline) {
        const auto result = read<PublishRead, PublishReadFailed>(reader.nextOffset(), ConfigReader::MaxRecords, 0ms);
        if (const auto *success = std::get_if<PublishRead>(&result)) {
            for (ConfigDecision &decision : reader.handleBatch(success->batch)) {
                decisions.push_back(std::move(decision));
            }
            if (reader.lacksInitialState()) {
                return leaf::new_error(CommandFailure{"the log at " + url_ + " has no snapshot to start from"});
            }
            if (reader.isAtEnd()) {
                return LoadedConfig{*reader.stateMachine(), std::move(decisions)};
            }
        } else if (const auto &failure = std::get<PublishReadFailed>(result); failure.error == LogError::Expired) {
            reader.handleExpired(failure.earliest);
            decisions.clear();
        } else {
            std::this_thread::sleep_for(PollInterval);
        }
    }
    return leaf::new_error(CommandFailure{"the log at " + url_ + " did not answer in time"});
}

leaf::result<PublishDone> LogSession::publish(const PublishRecord &record, std::optional<std::uint64_t> base)
{
    ConfigPublisher::Settings settings;
    settings.timeout = timeout_;
    ConfigPublisher publisher(now(), record, base, settings);
    std::vector<PublishAction> actions = publisher.handle(now(), PublishTick());
    while (true) {
        PublishInput input = PublishTick();
        for (const PublishAction &action : actions) {
            if (const auto *done = std::get_if<PublishDone>(&action)) {
                return *done;
            }
            if (const auto *readLog = std::get_if<PublishReadLog>(&action)) {
                std::visit([&](auto result) { input = std::move(result); },
                           read<PublishRead, PublishReadFailed>(readLog->from, readLog->maxRecords, readLog->wait));
            } else if (const auto *append = std::get_if<PublishAppend>(&action)) {
                input = leaf::try_handle_all(
                    [&]() -> leaf::result<PublishInput> {
                        BOOST_LEAF_CHECK(log_->append(ConfigStream, {append->data}, CallTimeout));
                        return PublishInput(PublishAppended());
                    },
                    [](LogError error) { return PublishInput(PublishAppendFailed{error}); },
                    [] { return PublishInput(PublishAppendFailed()); });
            }
        }
        if (actions.empty()) {
            std::this_thread::sleep_for(PollInterval);
        }
        actions = publisher.handle(now(), input);
    }
}

}
