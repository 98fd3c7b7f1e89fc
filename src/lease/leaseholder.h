#pragma once

#include "base/time.h"
#include "lease/leasetable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Lentillock
{

/// Acquires and renews the lease of one resource.
///
/// Validity is counted on this process's monotonic clock from the moment at which the granted append was sent, which is never after
/// the log's time of the grant. The holder therefore stops before another holder can be granted the lease, unless the clocks differ by
/// more than the margin within one lease.
class LeaseHolder
{
public:
    struct Settings {
        std::string resource;
        std::string holder;
        milliseconds duration = 15s;
        milliseconds margin = 3s; ///< For differing rates of the clocks and for orders that are on their way.
        milliseconds retryDelay = 1s; ///< Between two appends.
        std::uint64_t seed = 0; ///< Different on each VM; spreads the attempts to acquire.
    };

    explicit LeaseHolder(Settings settings);

    /// The record to append now, if any. @p table is the fold of all that this process has read.
    std::optional<LeaseRecord> nextAppend(TimePoint now, const LeaseTable &table);

    /// To be called with each decision of the fold.
    void decided(TimePoint now, const LeaseDecision &decision);

    /// A record that gives the lease up, for a planned stop; nothing when it is not held. Afterwards it is not acquired again.
    std::optional<LeaseRecord> giveUp(TimePoint now, const LeaseTable &table);

    /// The fencing number, if the lease is valid at @p now. To be asked just before each order is sent.
    [[nodiscard]] std::optional<std::uint64_t> fencing(TimePoint now) const;

private:
    LeaseRecord newRecord(TimePoint now, const LeaseTable &table, milliseconds duration);
    [[nodiscard]] milliseconds spread() const;

    Settings settings_;
    std::map<std::string, TimePoint> sent_; ///< Appends by id that have not been seen in the log.
    std::uint64_t appends_ = 0;
    TimePoint nextAppendAt_;
    std::optional<TimePoint> othersLapse_; ///< When another holder's lease has lapsed for certain.
    std::uint64_t fencing_ = 0;
    TimePoint validUntil_;
    bool isGivenUp_ = false;
};

}
