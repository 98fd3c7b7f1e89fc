#pragma once

#include "base/time.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstddef>
#include <cstdint>

namespace Lentillock::detail
{

/// When runs with an identifier last started normally. Forgets the identifiers that have been seen least recently.
class RecentStarts
{
public:
    explicit RecentStarts(std::size_t maxSize);

    void record(std::uint64_t identifier, TimePoint at);

    /// Whether a run with @p identifier is known to have started after @p at.
    [[nodiscard]] bool hasStartedAfter(std::uint64_t identifier, TimePoint at) const;

private:
    struct Start {
        std::uint64_t identifier;
        TimePoint at;
    };
    using Starts = boost::multi_index_container<
        Start,
        boost::multi_index::indexed_by<boost::multi_index::sequenced<>,
                                       boost::multi_index::hashed_unique<boost::multi_index::member<Start, std::uint64_t, &Start::identifier>>>>;

    std::size_t maxSize_;
    Starts starts_; ///< Most recent last.
};

}
