#pragma once

#include "cli/command.h"
#include "config/configpublisher.h"
#include "config/configreader.h"
#include "platform/logservice.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lentillock
{

/// Content of the log "config".
struct LoadedConfig {
    ConfigStateMachine stateMachine;
    std::vector<ConfigDecision> decisions; ///< On all records that are still in the log and were applied, in log order.
};

/// Reads the config log and publishes to it, blocking, for the commands. The error object is UsageError or CommandFailure.
class LogSession
{
public:
    static std::vector<OptionSpec> options();

    static leaf::result<LogSession> create(const Arguments &arguments);

    /// Reads the log to its end.
    leaf::result<LoadedConfig> load();

    /// Publishes @p record. @p base is the version that the text was edited from; the default is the current version.
    leaf::result<PublishDone> publish(const PublishRecord &record, std::optional<std::uint64_t> base);

private:
    LogSession(std::string url, milliseconds timeout);

    template<typename Read, typename ReadFailed>
    std::variant<Read, ReadFailed> read(std::uint64_t from, std::size_t maxRecords, milliseconds wait);

    std::string url_;
    milliseconds timeout_;
    std::unique_ptr<LogService> log_;
};

}
