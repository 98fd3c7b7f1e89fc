#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// What an attempt to connect to an address has shown.
enum class ListenerState {
    Open, ///< The connection was accepted.
    Closed, ///< It was refused.
    Unknown, ///< There was no answer, or another error.
};

/// Finds out whether the process at an address has ended, by connecting to it: the operating system of a machine whose process has ended refuses the
/// connection. A connection that is accepted, for example after a reset or a broken response, or that is not answered shows no crash.
class CrashConfirmation
{
public:
    using Callback = std::function<void(ListenerState listener)>;

    explicit CrashConfirmation(boost::asio::io_context &context);
    ~CrashConfirmation();
    CrashConfirmation(const CrashConfirmation &) = delete;
    CrashConfirmation &operator=(const CrashConfirmation &) = delete;

    /// Calls @p callback once, unless this object is destroyed before. Requests for the same address share one connection attempt.
    void confirm(const std::string &address, Callback callback);

private:
    struct Check;

    void finish(const std::string &address, ListenerState listener);

    boost::asio::io_context &context_;
    std::map<std::string, std::shared_ptr<Check>> checks_;
};

}
