#pragma once

#include <atomic>
#include <cstddef>

namespace Lentillock
{

/// Bytes of bodies and answers that one entry may hold at a time. Safe to use from several threads.
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t maxBytes);

    /// Takes @p bytes, or nothing and returns false when less is left.
    [[nodiscard]] bool tryReserve(std::size_t bytes);

    void release(std::size_t bytes);

    [[nodiscard]] std::size_t used() const;

private:
    std::size_t maxBytes_;
    std::atomic<std::size_t> used_ = 0;
};

/// A part of a budget, given back on destruction.
class BufferLease
{
public:
    explicit BufferLease(BufferBudget &budget);
    ~BufferLease();
    BufferLease(const BufferLease &) = delete;
    BufferLease &operator=(const BufferLease &) = delete;

    /// Changes the size of the lease; returns false and changes nothing when the budget has no more.
    [[nodiscard]] bool resize(std::size_t bytes);

    [[nodiscard]] std::size_t size() const;

private:
    BufferBudget &budget_;
    std::size_t bytes_ = 0;
};

}
