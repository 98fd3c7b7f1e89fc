#include "entry/bufferbudget.h"

namespace Lentillock
{

BufferBudget::BufferBudget(std::size_t maxBytes)
    : maxBytes_(maxBytes)
{
}

bool BufferBudget::tryReserve(std::size_t bytes)
{
    std::size_t used = used_.load();
    do {
        if (bytes > maxBytes_ - used) {
            return false;
        }
    } while (!used_.compare_exchange_weak(used, used + bytes));
    return true;
}

void BufferBudget::release(std::size_t bytes)
{
    used_ -= bytes;
}

std::size_t BufferBudget::used() const
{
    return used_;
}

BufferReservation::BufferReservation(BufferBudget &budget)
    : budget_(budget)
{
}

BufferReservation::~BufferReservation()
{
    budget_.release(bytes_);
}

bool BufferReservation::resize(std::size_t bytes)
{
    if (bytes > bytes_ && !budget_.tryReserve(bytes - bytes_)) {
        return false;
    }
    if (bytes < bytes_) {
        budget_.release(bytes_ - bytes);
    }
    bytes_ = bytes;
    return true;
}

std::size_t BufferReservation::size() const
{
    return bytes_;
}

}
