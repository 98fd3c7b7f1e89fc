#include "gateway/recentstarts.h"

namespace Lentillock::detail
{

RecentStarts::RecentStarts(std::size_t maxSize)
    : maxSize_(maxSize)
{
}

void RecentStarts::record(std::uint64_t identifier, TimePoint at)
{
    starts_.get<1>().erase(identifier);
    starts_.push_back({identifier, at});
    if (starts_.size() > maxSize_) {
        starts_.pop_front();
    }
}

bool RecentStarts::hasStartedAfter(std::uint64_t identifier, TimePoint at) const
{
    const auto &byIdentifier = starts_.get<1>();
    const auto found = byIdentifier.find(identifier);
    return found != byIdentifier.end() && found->at > at;
}

}
