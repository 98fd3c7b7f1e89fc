#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// Decides which control process an entry listens to. Performs no I/O and reads no clock.
///
/// The own control process comes first. When the current one has been silent for the limit, the next candidate is tried on a new channel; the own one is
/// tried again periodically and takes over when it answers.
class ControlSelector
{
public:
    static constexpr Duration SilenceLimit = 1500ms;
    static constexpr Duration OwnProbeInterval = 2s;

    /// A refused connection fails at once; this pause keeps a round over dead candidates from becoming a busy loop.
    static constexpr Duration ReconnectDelay = 100ms;

    enum class Kind {
        Open, ///< Open a stream to the address on a new channel.
        Close, ///< The stream is not needed any longer.
        NoControl, ///< All candidates have been tried without an answer.
    };

    struct Action {
        Kind kind = Kind::Open;
        std::uint64_t stream = 0;
        std::string address;

        bool operator==(const Action &) const = default;
    };

    /// @p seeds are tried in order, the own control process first.
    explicit ControlSelector(std::vector<std::string> seeds);

    /// Further candidates, best first.
    void setMembers(const std::vector<std::string> &addresses);

    /// The stream has delivered an update. Returns actions; an update counts only if isCurrent() afterwards.
    std::vector<Action> updateReceived(TimePoint now, std::uint64_t stream);
    std::vector<Action> streamEnded(TimePoint now, std::uint64_t stream);

    /// To be called first at the start and then at nextDue() at the latest.
    std::vector<Action> advance(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    [[nodiscard]] bool isCurrent(std::uint64_t stream) const;

    /// All candidates, the current one first, without repetition.
    [[nodiscard]] std::vector<std::string> preferenceOrder() const;

    /// Whether the current control process has answered within the limit.
    [[nodiscard]] bool isConnected() const;

private:
    struct Stream {
        std::uint64_t id = 0;
        std::string address;
        TimePoint lastHeard;
        bool heard = false;
    };

    void open(TimePoint now, std::optional<Stream> &stream, const std::string &address, std::vector<Action> &actions);
    void close(std::optional<Stream> &stream, std::vector<Action> &actions);
    void openNext(TimePoint now, std::vector<Action> &actions);

    std::vector<std::string> seeds_;
    std::vector<std::string> candidates_;
    std::optional<Stream> current_;
    std::optional<Stream> own_; ///< Second stream to the own control process while another one is current.
    std::string lastAddress_;
    TimePoint nextOpen_;
    TimePoint nextOwnProbe_;
    std::size_t failures_ = 0; ///< Since the last update.
    std::uint64_t nextStream_ = 1;
};

}
