#pragma once

#include <atomic>
#include <cstddef>

namespace Lentillock
{

/// Limit on the total size of the request bodies and responses buffered by an entry. Thread-safe.
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t maxBytes);

    /// Reserves @p bytes; returns false and reserves nothing if fewer are available.
    [[nodiscard]] bool tryReserve(std::size_t bytes);

    void release(std::size_t bytes);

    [[nodiscard]] std::size_t used() const;

private:
    std::size_t maxBytes_;
    std::atomic<std::size_t> used_ = 0;
};

/// A reservation of a part of a budget, released on destruction.
class BufferReservation
{
public:
    explicit BufferReservation(BufferBudget &budget);
    ~BufferReservation();
    BufferReservation(const BufferReservation &) = delete;
    BufferReservation &operator=(const BufferReservation &) = delete;

    /// Changes the size of the reservation; returns false and changes nothing if the budget is exhausted.
    [[nodiscard]] bool resize(std::size_t bytes);

    [[nodiscard]] std::size_t size() const;

private:
    BufferBudget &budget_;
    std::size_t bytes_ = 0;
};

}
