#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Lentillock
{

/// Requests up to this size are ordinary: they are admitted to the share of the memory that larger ones may not use, and holdings of less than a quarter of
/// it are not tracked.
inline constexpr std::size_t OrdinaryRequestBytes = 64UL * 1024;

/// Bounds the memory that the requests and the unread responses of all callers of this VM take, and the responses that are being received for them. Does no
/// I/O.
///
/// A response that is being received can be evicted, so that endpoints that send without end cost the requests that they run and no others.
///
/// A connection whose request runs at an endpoint keeps its memory until the request ends. Any other one, whose caller has not sent its whole request or does
/// not read its response, can be evicted. Beyond the limit, those that hold most are evicted first, so that callers with ordinary requests are not affected by
/// a crowd of larger ones.
class CallerMemory
{
public:
    /// Evicts the connection. It must call remove() or update() before it returns.
    using Evict = std::function<void()>;
    using Holder = const void *;

    explicit CallerMemory(std::size_t limitBytes);

    /// Sets what @p holder holds. @p evict is empty if it cannot be evicted.
    void update(Holder holder, std::size_t bytes, Evict evict);
    void remove(Holder holder);

    /// Whether the limit is exceeded, and enforce() can do something about it.
    [[nodiscard]] bool mustEnforce() const;

    /// Evicts connections until the limit is kept, or none is left that can be evicted.
    void enforce();

    /// Whether a whole request of @p bytes may run. Requests that run already are not evicted.
    [[nodiscard]] bool admits(std::size_t bytes) const;

    [[nodiscard]] std::size_t heldBytes() const;

private:
    struct Holding {
        std::size_t bytes = 0;
        Evict evict;
    };

    std::size_t limitBytes_;
    std::size_t heldBytes_ = 0;
    std::size_t runningBytes_ = 0; ///< Of holders that cannot be evicted.
    std::map<Holder, Holding> holdings_;
    std::set<std::pair<std::size_t, Holder>> evictable_; ///< The largest is last.
};

}
