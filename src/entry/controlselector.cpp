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
    if (own_ && own_->id == stream) {
        close(current_, actions);
        current_ = std::exchange(own_, std::nullopt);
        lastAddress_ = current_->address;
    }
    if (isCurrent(stream)) {
        current_->lastHeard = now;
        current_->heard = true;
        failures_ = 0;
    }
    return actions;
}

std::vector<ControlSelector::Action> ControlSelector::streamEnded(TimePoint now, std::uint64_t stream)
{
    if (own_ && own_->id == stream) {
        own_.reset();
        return {};
    }
    if (!isCurrent(stream)) {
        return {};
    }
    // The shell has already dropped the stream.
    current_.reset();
    ++failures_;
    return advance(now);
}

std::vector<ControlSelector::Action> ControlSelector::advance(TimePoint now)
{
    std::vector<Action> actions;
    if (current_ && now - current_->lastHeard >= SilenceLimit) {
        close(current_, actions);
        ++failures_;
    }
    if (own_ && now - own_->lastHeard >= SilenceLimit) {
        close(own_, actions);
    }
    if (!current_ && now >= nextOpen_) {
        openNext(now, actions);
    }
    const bool away = current_ && current_->heard && !candidates_.empty() && current_->address != candidates_.front();
    if (away && !own_ && now >= nextOwnProbe_) {
        nextOwnProbe_ = now + OwnProbeInterval;
        open(now, own_, candidates_.front(), actions);
    }
    return actions;
}

std::optional<TimePoint> ControlSelector::nextDue() const
{
    if (!current_) {
        return nextOpen_;
    }
    TimePoint due = current_->lastHeard + SilenceLimit;
    if (own_) {
        due = std::min(due, own_->lastHeard + SilenceLimit);
    } else if (current_->heard && current_->address != candidates_.front()) {
        due = std::min(due, nextOwnProbe_);
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
    return current_ && current_->heard;
}

void ControlSelector::open(TimePoint now, std::optional<Stream> &stream, const std::string &address, std::vector<Action> &actions)
{
    stream = Stream{.id = nextStream_++, .address = address, .lastHeard = now};
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
        actions.push_back({.kind = Kind::NoControl, .stream = 0, .address = {}});
    }
    const auto last = std::find(candidates_.begin(), candidates_.end(), lastAddress_);
    const auto next = last == candidates_.end() || std::next(last) == candidates_.end() ? candidates_.begin() : std::next(last);
    lastAddress_ = *next;
    nextOpen_ = now + ReconnectDelay;
    nextOwnProbe_ = now + OwnProbeInterval;
    open(now, current_, *next, actions);
}

}
