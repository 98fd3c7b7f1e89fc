#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// Selects the control process from which an entry receives views. Performs no I/O and reads no clock.
///
/// The control process on the local VM is preferred. If the current one sends no update within UpdateTimeout, the next candidate is tried on a new
/// channel. While a remote one is in use, the local one is probed periodically and takes over when it responds.
class ControlSelector
{
public:
    static constexpr Duration UpdateTimeout = 1500ms;
    static constexpr Duration LocalProbeInterval = 2s;

    /// A refused connection fails immediately; this delay prevents a busy loop over unreachable candidates.
    static constexpr Duration ReconnectDelay = 100ms;

    enum class Kind {
        Open, ///< Open a stream to the address on a new channel.
        Close, ///< Close the stream.
        AllFailed, ///< All candidates have been tried without success.
    };

    struct Action {
        Kind kind = Kind::Open;
        std::uint64_t stream = 0;
        std::string address;

        bool operator==(const Action &) const = default;
    };

    /// @p seeds are tried in order; the first is the control process on the local VM.
    explicit ControlSelector(std::vector<std::string> seeds);

    /// Sets the candidates that follow the seeds, in order of preference.
    void setMembers(const std::vector<std::string> &addresses);

    /// Records an update received on @p stream. The update is to be used only if isCurrent() returns true afterwards.
    std::vector<Action> updateReceived(TimePoint now, std::uint64_t stream);
    std::vector<Action> streamEnded(TimePoint now, std::uint64_t stream);

    /// Must be called at the start and then no later than nextDue().
    std::vector<Action> advance(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    [[nodiscard]] bool isCurrent(std::uint64_t stream) const;

    /// All candidates without duplicates, starting with the current one.
    [[nodiscard]] std::vector<std::string> preferenceOrder() const;

    /// Whether the current stream has delivered an update and has not timed out.
    [[nodiscard]] bool isConnected() const;

private:
    struct Stream {
        std::uint64_t id = 0;
        std::string address;
        TimePoint lastActivity;
        bool hasReceivedUpdate = false;
    };

    void open(TimePoint now, std::optional<Stream> &stream, const std::string &address, std::vector<Action> &actions);
    void close(std::optional<Stream> &stream, std::vector<Action> &actions);
    void openNext(TimePoint now, std::vector<Action> &actions);

    std::vector<std::string> seeds_;
    std::vector<std::string> candidates_;
    std::optional<Stream> current_;
    std::optional<Stream> local_; ///< Probe of the local control process while a remote one is current.
    std::string lastAddress_;
    TimePoint nextOpen_;
    TimePoint nextLocalProbe_;
    std::size_t failures_ = 0; ///< Consecutive failed streams since the last update.
    std::uint64_t nextStream_ = 1;
};

}
