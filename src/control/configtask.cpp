#include "control/configtask.h"

#include "base/log.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace Lentillock
{

namespace
{

/// Time that a read may take beyond the time that it waits for a new record.
constexpr milliseconds ReadTimeoutMargin{1500};
constexpr milliseconds AppendTimeout{5000};
constexpr milliseconds FetchTimeout{1000};
/// Pause after an iteration that ended sooner than this, so that the loop does not spin.
constexpr milliseconds IdleDelay{50};

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

WallTime currentWallTime()
{
    return std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
}

}

ConfigTask::ConfigTask(std::unique_ptr<LogService> log, const ConfigFollower::Settings &settings, Metrics &metrics, PublishCallback publish)
    : log_(std::move(log))
    , metrics_(metrics)
    , publish_(std::move(publish))
    , follower_(settings)
    , published_(std::make_shared<ConfigState>())
{
    thread_ = std::thread([this] { run(); });
}

ConfigTask::~ConfigTask()
{
    stopping_ = true;
    thread_.join();
}

void ConfigTask::setFleet(const FleetSnapshotPtr &fleet)
{
    fleetSnapshots_.post(fleet);
}

void ConfigTask::run()
{
    while (!stopping_) {
        updatePeers();
        const TimePoint start = currentTime();
        handle(ConfigTick{currentWallTime()});
        publishIfChanged();
        if (currentTime() - start < IdleDelay) {
            std::this_thread::sleep_for(IdleDelay);
        }
    }
}

void ConfigTask::updatePeers()
{
    const auto snapshots = fleetSnapshots_.takeAll();
    if (snapshots.empty()) {
        return;
    }
    peerAddresses_.clear();
    for (const Member &member : snapshots.back()->members) {
        if (member.id == snapshots.back()->self.id || member.status == MemberStatus::Dead) {
            continue;
        }
        peerAddresses_[member.id] = member.controlAddress;
        std::uint64_t &knownVersion = peerVersions_[member.id];
        if (member.configVersion > knownVersion) {
            knownVersion = member.configVersion;
            handle(PeerVersionReceived{member.id, member.configVersion});
        }
    }
    std::erase_if(peerVersions_, [this](const auto &entry) { return !peerAddresses_.contains(entry.first); });
}

void ConfigTask::handle(const ConfigInput &input)
{
    for (const ConfigAction &action : follower_.handle(currentTime(), input)) {
        std::visit([this](const auto &content) { perform(content); }, action);
    }
}

void ConfigTask::perform(const ReadConfig &action)
{
    const ConfigInput result = leaf::try_handle_all(
        [&]() -> leaf::result<ConfigInput> {
            BOOST_LEAF_AUTO(batch, log_->read(ConfigStream, action.from, action.maxRecords, action.wait, action.wait + ReadTimeoutMargin));
            return ConfigInput(ConfigRead{std::move(batch)});
        },
        [](LogError error, const EarliestOffset &earliest) {
            return ConfigInput(ConfigReadFailed{error, earliest.value});
        },
        [](LogError error) {
            return ConfigInput(ConfigReadFailed{error, std::nullopt});
        },
        [] { return ConfigInput(ConfigReadFailed{}); });
    if (std::holds_alternative<ConfigReadFailed>(result)) {
        metrics_.increment("lentillock_config_read_errors_total");
    }
    handle(result);
}

void ConfigTask::perform(const AppendSnapshot &action)
{
    const bool appended = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(log_->append(ConfigStream, {action.data}, AppendTimeout));
            return true;
        },
        [] { return false; });
    handle(appended ? ConfigInput(SnapshotAppended{}) : ConfigInput(SnapshotAppendFailed{}));
}

void ConfigTask::perform(const FetchPeerConfig &action)
{
    const auto address = peerAddresses_.find(action.peer);
    const auto snapshot = address == peerAddresses_.end() ? std::nullopt : peerClient_.fetchConfig(address->second, follower_.version(), FetchTimeout);
    handle(snapshot ? ConfigInput(PeerConfigFetched{*snapshot}) : ConfigInput(PeerFetchFailed{action.peer}));
}

void ConfigTask::perform(const ConfigChanged &action)
{
    Log::write(Log::Level::Info, "config_in_force", {{"version", std::to_string(action.version)}});
}

void ConfigTask::perform(const ConfigAlarm &action)
{
    metrics_.increment("lentillock_config_alarms_total");
    Log::write(Log::Level::Error, "config_alarm", {{"message", action.message}});
}

void ConfigTask::publishIfChanged()
{
    const ConfigStateMachine *stateMachine = follower_.stateInForce();
    const bool stopped = stateMachine != nullptr && stateMachine->unknownRulesVersion().has_value();
    if (published_->version == follower_.version() && published_->ready == follower_.isReady() && published_->stopped == stopped) {
        return;
    }
    published_ = buildState();
    publish_(published_);
}

ConfigStatePtr ConfigTask::buildState() const
{
    auto state = std::make_shared<ConfigState>();
    state->version = follower_.version();
    state->inForceSince = state->version == published_->version ? published_->inForceSince : std::chrono::steady_clock::now();
    state->rulesVersion = newestRulesVersion();
    state->document = follower_.document();
    state->ready = follower_.isReady();
    state->snapshot = follower_.snapshotData();
    if (const ConfigStateMachine *stateMachine = follower_.stateInForce()) {
        state->throughOffset = stateMachine->nextOffset();
        state->stopped = stateMachine->unknownRulesVersion().has_value();
        for (const auto &[name, section] : stateMachine->state().sections) {
            state->sections.push_back({name, section.version, section.text});
        }
    }
    return state;
}

}
