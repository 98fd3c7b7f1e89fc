#pragma once

#include "base/time.h"
#include "gateway/storeposition.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

namespace Lentillock
{

/// The state of the platform's store that a VM has read, and its age.
struct ViewReport {
    std::uint64_t planVersion = 0;
    StorePosition endpointPosition{}; ///< Up to which the VM has read the endpoint list.
    std::uint32_t endpointDigest = 0; ///< Equal for equal endpoint lists.
    milliseconds planAge{0}; ///< Time since the VM itself last read the plan from the store.
    milliseconds endpointAge{0};

    auto operator<=>(const ViewReport &) const = default;
};

/// Position of a VM in the orders in which VMs read the store; 0 reads first. A VM that does not know the others is not the first.
struct ReaderRank {
    static constexpr std::size_t Unknown = std::numeric_limits<std::size_t>::max();

    std::size_t inFleet = Unknown;
    std::size_t inGroup = Unknown;

    auto operator<=>(const ReaderRank &) const = default;
};

/// Reduces the reads of the platform's store. The VMs exchange reports of what they have read. A VM reads the store only if its view is older
/// than that of another VM, or if no other VM has confirmed the view for a while. The wait increases with the rank of the VM, so that usually
/// only one VM reads. If the first VM of each group sends what it reads to the others, these wait for it before they read themselves.
class ViewFreshness
{
public:
    /// The VM with rank 0 in the fleet reads when its view is @p primaryReadAge old, the VM with rank 1 at @p backupReadAge and the others later.
    /// When another VM has a newer view, the first VM of a group reads at once and the others after @p updateWait; 0 if no updates are sent.
    ViewFreshness(Duration primaryReadAge, Duration backupReadAge, Duration updateWait);

    /// Records that this VM has just read the current state of the store.
    void recordRead(TimePoint now);

    /// Records that another VM had the same view @p age ago.
    void recordConfirmation(Duration age, TimePoint now);

    /// Records that another VM has a newer view.
    void markOutdated(TimePoint now);

    /// Records that an update of another VM, which has just read the store, has made the views equal.
    void recordUpdate(TimePoint now);

    /// Whether this VM has to read the store now.
    [[nodiscard]] bool isReadDue(const ReaderRank &rank, TimePoint now) const;

    /// Time since this VM itself last read the store. Only this age is reported to other VMs: an age that is passed from VM to VM lacks
    /// the transmission time of each report and would never reach the limit.
    [[nodiscard]] milliseconds readAge(TimePoint now) const;

private:
    Duration primaryReadAge_;
    Duration backupReadAge_;
    TimePoint readAt_{};
    TimePoint confirmedAt_{};
    Duration updateWait_;
    std::optional<TimePoint> outdatedSince_ = TimePoint{};
};

}
