#include "entry/controlselector.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

ControlSelector::ControlSelector(std::vector<std::string> seeds)
    : seeds_(std::move(seeds))
    , candidates_(seeds_)
{
}

void ControlSelector::setMembers(const std::vector<std::string> &addresses)
{
    candidates_ = seeds_;
    for (const std::string &address : addresses) {
        if (!address.empty() && std::find(candidates_.begin(), candidates_.end(), address) == candidates_.end()) {
            candidates_.push_back(address);
        }
    }
}

std::vector<ControlSelector::Action> ControlSelector::updateReceived(TimePoint now, std::uint64_t stream)
{
    std::vector<Action> actions;
    if (local_ && local_->id == stream) {
        close(current_, actions);
        current_ = std::exchange(local_, std::nullopt);
        lastAddress_ = current_->address;
    }
    if (isCurrent(stream)) {
        current_->lastActivity = now;
        current_->hasReceivedUpdate = true;
        failures_ = 0;
    }
    return actions;
}

std::vector<ControlSelector::Action> ControlSelector::streamEnded(TimePoint now, std::uint64_t stream)
{
    if (local_ && local_->id == stream) {
        local_.reset();
        return {};
    }
    if (!isCurrent(stream)) {
        return {};
    }
    // The stream has already been removed by ControlLink, so no Close action is needed.
    current_.reset();
    ++failures_;
    return advance(now);
}

std::vector<ControlSelector::Action> ControlSelector::advance(TimePoint now)
{
    std::vector<Action> actions;
    if (current_ && now - current_->lastActivity >= UpdateTimeout) {
        close(current_, actions);
        ++failures_;
    }
    if (local_ && now - local_->lastActivity >= UpdateTimeout) {
        close(local_, actions);
    }
    if (!current_ && now >= nextOpen_) {
        openNext(now, actions);
    }
    const bool usesRemoteControl = current_ && current_->hasReceivedUpdate && !candidates_.empty() && current_->address != candidates_.front();
    if (usesRemoteControl && !local_ && now >= nextLocalProbe_) {
        nextLocalProbe_ = now + LocalProbeInterval;
        open(now, local_, candidates_.front(), actions);
    }
    return actions;
}

std::optional<TimePoint> ControlSelector::nextDue() const
{
    if (!current_) {
        return nextOpen_;
    }
    TimePoint due = current_->lastActivity + UpdateTimeout;
    if (local_) {
        due = std::min(due, local_->lastActivity + UpdateTimeout);
    } else if (current_->hasReceivedUpdate && current_->address != candidates_.front()) {
        due = std::min(due, nextLocalProbe_);
    }
    return due;
}

bool ControlSelector::isCurrent(std::uint64_t stream) const
{
    return current_ && current_->id == stream;
}

std::vector<std::string> ControlSelector::preferenceOrder() const
{
    std::vector<std::string> order = candidates_;
    if (current_) {
        const auto found = std::find(order.begin(), order.end(), current_->address);
        std::rotate(order.begin(), found == order.end() ? order.begin() : found, order.end());
    }
    return order;
}

bool ControlSelector::isConnected() const
{
    return current_ && current_->hasReceivedUpdate;
}

void ControlSelector::open(TimePoint now, std::optional<Stream> &stream, const std::string &address, std::vector<Action> &actions)
{
    stream = Stream{.id = nextStream_++, .address = address, .lastActivity = now};
    actions.push_back({.kind = Kind::Open, .stream = stream->id, .address = address});
}

void ControlSelector::close(std::optional<Stream> &stream, std::vector<Action> &actions)
{
    if (stream) {
        actions.push_back({.kind = Kind::Close, .stream = stream->id, .address = stream->address});
        stream.reset();
    }
}

void ControlSelector::openNext(TimePoint now, std::vector<Action> &actions)
{
    if (candidates_.empty()) {
        return;
    }
    if (failures_ >= candidates_.size()) {
        actions.push_back({.kind = Kind::AllFailed, .stream = 0, .address = {}});
    }
    const auto last = std::find(candidates_.begin(), candidates_.end(), lastAddress_);
    const auto next = last == candidates_.end() || std::next(last) == candidates_.end() ? candidates_.begin() : std::next(last);
    lastAddress_ = *next;
    nextOpen_ = now + ReconnectDelay;
    nextLocalProbe_ = now + LocalProbeInterval;
    open(now, current_, *next, actions);
}

}
