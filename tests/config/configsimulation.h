#pragma once

#include "base/hash.h"
#include "config/configfollower.h"
#include "config/configpublisher.h"
#include "config/sampledocument.h"
#include "fakes/fakelogservice.h"

#include <boost/leaf/handle_errors.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lentillock
{

/// Calls the log on behalf of ConfigFollower and ConfigPublisher and converts the results to their inputs.
class LogClient
{
public:
    explicit LogClient(FakeLogService &log)
        : log_(log)
    {
    }

    template<typename Read, typename ReadFailed>
    std::variant<Read, ReadFailed> read(std::uint64_t from, std::size_t maxRecords)
    {
        using Result = std::variant<Read, ReadFailed>;
        return leaf::try_handle_all(
            [&]() -> leaf::result<Result> {
                BOOST_LEAF_AUTO(batch, log_.read(ConfigStream, from, maxRecords, 0ms, 1s));
                return Result(Read{batch});
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

    std::optional<LogError> append(const std::string &data)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<LogError>> {
                BOOST_LEAF_CHECK(log_.append(ConfigStream, {data}, 1s));
                return std::optional<LogError>();
            },
            [](LogError error) { return std::optional(error); },
            [] { return std::optional(LogError::OutcomeUnknown); });
    }

private:
    FakeLogService &log_;
};

/// A VM with a ConfigFollower. Its actions are queued until run() is called.
class SimulatedVm
{
public:
    SimulatedVm(std::string name, FakeLogService &log, ConfigFollower::Settings settings)
        : name_(std::move(name))
        , log_(log)
        , follower_(std::move(settings))
    {
    }

    void handle(TimePoint now, const ConfigInput &input)
    {
        for (ConfigAction &action : follower_.handle(now, input)) {
            if (const auto *changed = std::get_if<ConfigChanged>(&action)) {
                versionDecreased_ = versionDecreased_ || (hasChanged_ && changed->version <= lastVersion_);
                hasChanged_ = true;
                lastVersion_ = changed->version;
            } else if (!std::holds_alternative<ConfigAlarm>(action)) {
                pending_.push_back(std::move(action));
            }
        }
    }

    /// Performs the queued actions. Fetches are answered by @p peers.
    void run(TimePoint now, WallTime wallNow, const std::vector<std::unique_ptr<SimulatedVm>> &peers)
    {
        for (const ConfigAction &action : std::exchange(pending_, {})) {
            if (const auto *read = std::get_if<ReadConfig>(&action)) {
                std::visit([&](auto result) { handle(now, result); }, log_.read<ConfigRead, ConfigReadFailed>(read->from, read->maxRecords));
            } else if (const auto *snapshot = std::get_if<AppendSnapshot>(&action)) {
                ++snapshotsWritten_;
                const bool failed = log_.append(snapshot->data).has_value();
                handle(now, failed ? ConfigInput(SnapshotAppendFailed()) : ConfigInput(SnapshotAppended()));
            } else if (const auto *fetch = std::get_if<FetchPeerConfig>(&action)) {
                handle(now, fetchFrom(fetch->peer, peers));
            }
        }
        handle(now, ConfigTick{wallNow});
    }

    [[nodiscard]] const std::string &name() const
    {
        return name_;
    }

    [[nodiscard]] const ConfigFollower &follower() const
    {
        return follower_;
    }

    [[nodiscard]] bool versionDecreased() const
    {
        return versionDecreased_;
    }

    [[nodiscard]] int snapshotsWritten() const
    {
        return snapshotsWritten_;
    }

private:
    static ConfigInput fetchFrom(const VmId &peer, const std::vector<std::unique_ptr<SimulatedVm>> &peers)
    {
        for (const auto &candidate : peers) {
            if (candidate->name() == peer.value() && candidate->follower().stateInForce() != nullptr) {
                return PeerConfigFetched{candidate->follower().snapshotData()};
            }
        }
        return PeerFetchFailed{peer};
    }

    std::string name_;
    LogClient log_;
    ConfigFollower follower_;
    std::vector<ConfigAction> pending_;
    bool hasChanged_ = false;
    bool versionDecreased_ = false;
    std::uint64_t lastVersion_ = 0;
    int snapshotsWritten_ = 0;
};

/// Publishes one text and stores the outcome that is reported to the operator.
class SimulatedOperator
{
public:
    SimulatedOperator(TimePoint now, FakeLogService &log, PublishRecord record, std::optional<std::uint64_t> base)
        : id_(record.id)
        , log_(log)
        , publisher_(now, std::move(record), base, {})
    {
        handle(now, PublishTick());
    }

    void run(TimePoint now)
    {
        for (const PublishAction &action : std::exchange(pending_, {})) {
            if (const auto *read = std::get_if<PublishReadLog>(&action)) {
                std::visit([&](auto result) { handle(now, result); }, log_.read<PublishRead, PublishReadFailed>(read->from, read->maxRecords));
            } else if (const auto *append = std::get_if<PublishAppend>(&action)) {
                const std::optional<LogError> error = log_.append(append->data);
                handle(now, error ? PublishInput(PublishAppendFailed{*error}) : PublishInput(PublishAppended()));
            }
        }
        handle(now, PublishTick());
    }

    [[nodiscard]] const std::string &id() const
    {
        return id_;
    }

    [[nodiscard]] const std::optional<PublishDone> &done() const
    {
        return done_;
    }

private:
    void handle(TimePoint now, const PublishInput &input)
    {
        for (PublishAction &action : publisher_.handle(now, input)) {
            if (const auto *done = std::get_if<PublishDone>(&action)) {
                done_ = *done;
            } else {
                pending_.push_back(std::move(action));
            }
        }
    }

    std::string id_;
    LogClient log_;
    ConfigPublisher publisher_;
    std::vector<PublishAction> pending_;
    std::optional<PublishDone> done_;
};

/// Simulates VMs and operators that share one log.
class ConfigSimulation
{
public:
    explicit ConfigSimulation(std::size_t vms = 3, milliseconds retention = 24h)
        : retention_(retention)
    {
        for (std::size_t i = 0; i < vms; ++i) {
            addVm();
        }
    }

    void addVm()
    {
        ConfigFollower::Settings settings;
        settings.retention = retention_;
        settings.seed = nextVm_;
        vms_.push_back(std::make_unique<SimulatedVm>("vm" + std::to_string(nextVm_++), log_, settings));
    }

    /// Replaces a VM by a new one without any state.
    void replaceVm(std::size_t index)
    {
        vms_.erase(vms_.begin() + static_cast<std::ptrdiff_t>(index));
        addVm();
    }

    SimulatedOperator &publish(const std::string &section, const std::string &text, std::optional<std::uint64_t> base = std::nullopt)
    {
        const std::string id = "publish" + std::to_string(operators_.size());
        operators_.push_back(std::make_unique<SimulatedOperator>(now_, log_, PublishRecord{1, id, section, 0, "operator", text}, base));
        return *operators_.back();
    }

    void advance(milliseconds time)
    {
        now_ += time;
        wallNow_ += time;
        log_.setTime(wallNow_);
    }

    void gossip()
    {
        for (const auto &from : vms_) {
            for (const auto &to : vms_) {
                if (from != to && from->follower().stateInForce() != nullptr) {
                    to->handle(now_, PeerVersionReceived{VmId(from->name()), from->follower().version()});
                }
            }
        }
    }

    void runVm(std::size_t index)
    {
        vms_[index]->run(now_, wallNow_, vms_);
    }

    void runOperator(std::size_t index)
    {
        operators_[index]->run(now_);
    }

    /// Runs all VMs and operators for @p duration, without adding faults.
    void runFor(milliseconds duration = 40s, milliseconds step = 100ms)
    {
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += step) {
            advance(step);
            gossip();
            for (const auto &vm : vms_) {
                vm->run(now_, wallNow_, vms_);
            }
            for (const auto &publisher : operators_) {
                publisher->run(now_);
            }
        }
    }

    void publishSample()
    {
        const SectionTexts texts = sampleTexts();
        for (const char *name : {"zones", "models", "endpoints", "priorities", "workspaces"}) {
            publish(name, texts.at(name));
            runFor(1s);
        }
    }

    /// State after all records that were ever appended.
    ConfigStateMachine expectedState()
    {
        ConfigStateMachine stateMachine;
        for (const LogRecord &record : log_.history(ConfigStream)) {
            stateMachine.apply(record);
        }
        return stateMachine;
    }

    FakeLogService &log()
    {
        return log_;
    }

    std::vector<std::unique_ptr<SimulatedVm>> &vms()
    {
        return vms_;
    }

    std::vector<std::unique_ptr<SimulatedOperator>> &operators()
    {
        return operators_;
    }

    [[nodiscard]] TimePoint now() const
    {
        return now_;
    }

private:
    milliseconds retention_;
    FakeLogService log_;
    TimePoint now_{1h};
    WallTime wallNow_{1h};
    std::size_t nextVm_ = 0;
    std::vector<std::unique_ptr<SimulatedVm>> vms_;
    std::vector<std::unique_ptr<SimulatedOperator>> operators_;
};

}
