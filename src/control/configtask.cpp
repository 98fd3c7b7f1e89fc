#include "control/configtask.h"

#include "base/log.h"
#include "config/configfold.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace Lentillock
{

namespace
{

/// The task waits this long for a record; bounds how long its stop takes.
constexpr milliseconds ReadWait{1000};
constexpr milliseconds ReadTimeout{2500};
constexpr milliseconds RetryDelay{200};
constexpr std::size_t MaxRecordsPerRead = 500;

}

/// Folds what is read and builds the published states.
class ConfigTask::Follower
{
public:
    explicit Follower(std::unique_ptr<LogService> log)
        : log_(std::move(log))
    {
    }

    /// Reads once. Returns a state if one came into force or the end was reached for the first time.
    leaf::result<ConfigStatePtr> read()
    {
        BOOST_LEAF_AUTO(batch, log_->read("config", fold_.nextOffset(), MaxRecordsPerRead, ReadWait, ReadTimeout));
        for (const LogRecord &record : batch.records) {
            fold_.apply(record);
        }
        const bool reachedEnd = batch.records.size() < MaxRecordsPerRead;
        if (!reachedEnd || (caughtUp_ && published_ == fold_.version())) {
            return ConfigStatePtr();
        }
        caughtUp_ = true;
        published_ = fold_.version();
        return state();
    }

private:
    ConfigStatePtr state() const
    {
        auto state = std::make_shared<ConfigState>();
        state->version = fold_.version();
        state->throughOffset = fold_.nextOffset();
        state->rulesVersion = newestRulesVersion();
        for (const auto &[name, section] : fold_.state().sections) {
            state->sections.push_back({name, section.version, section.text});
        }
        state->document = fold_.document();
        state->caughtUp = caughtUp_;
        state->stopped = fold_.unknownRules().has_value();
        return state;
    }

    std::unique_ptr<LogService> log_;
    ConfigFold fold_;
    bool caughtUp_ = false;
    std::uint64_t published_ = 0;
};

ConfigTask::ConfigTask(std::unique_ptr<LogService> log, Metrics &metrics, Peers peers, Publish publish)
    : metrics_(metrics)
    , peers_(std::move(peers))
    , publish_(std::move(publish))
    , follower_(std::make_unique<Follower>(std::move(log)))
{
    thread_ = std::thread([this] { run(); });
}

ConfigTask::~ConfigTask()
{
    stopping_ = true;
    thread_.join();
}

void ConfigTask::run()
{
    while (!stopping_) {
        leaf::try_handle_all(
            [this]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(state, follower_->read());
                if (state != nullptr) {
                    publish_(state);
                }
                return {};
            },
            [this] {
                metrics_.increment("lentillock_config_read_errors_total");
                std::this_thread::sleep_for(RetryDelay);
            });
    }
}

}
