#include "gateway/crashconfirmation.h"

#include "gateway/endpointconnectionpool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Lentillock
{

namespace
{

/// A refusal takes one round trip. Longer silence means that the machine cannot be reached.
constexpr Duration ConfirmationTimeout = 400ms;

}

struct CrashConfirmation::Check {
    explicit Check(boost::asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::vector<Callback> callbacks;
};

CrashConfirmation::CrashConfirmation(boost::asio::io_context &context)
    : context_(context)
{
}

CrashConfirmation::~CrashConfirmation() = default;

void CrashConfirmation::confirm(const std::string &address, Callback callback)
{
    if (const auto running = checks_.find(address); running != checks_.end()) {
        running->second->callbacks.push_back(std::move(callback));
        return;
    }
    const auto check = std::make_shared<Check>(context_);
    check->callbacks.push_back(std::move(callback));
    checks_.emplace(address, check);
    check->timer.expires_after(ConfirmationTimeout);
    check->timer.async_wait([this, check, address](const boost::system::error_code &error) {
        if (!error) {
            finish(address, ListenerState::Unknown);
        }
    });
    check->socket.async_connect(parseSocketAddress(address), [this, check, address](const boost::system::error_code &error) {
        if (!error) {
            finish(address, ListenerState::Open);
        } else if (error != boost::asio::error::operation_aborted) {
            finish(address, error == boost::asio::error::connection_refused ? ListenerState::Closed : ListenerState::Unknown);
        }
    });
}

void CrashConfirmation::finish(const std::string &address, ListenerState listener)
{
    const auto found = checks_.find(address);
    if (found == checks_.end()) {
        return;
    }
    const std::shared_ptr<Check> check = found->second;
    checks_.erase(found);
    check->timer.cancel();
    boost::system::error_code ignored; // The socket is discarded either way.
    check->socket.close(ignored);
    for (const Callback &callback : check->callbacks) {
        callback(listener);
    }
}

}
