#pragma once

#include "base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Lentillock
{

/// What a VM knows of the platform's store, and how old that knowledge is.
struct ViewReport {
    std::uint64_t planVersion = 0;
    std::uint32_t endpointOffset = 0; ///< Position in the list of endpoints up to which the VM has read.
    std::uint32_t endpointDigest = 0; ///< Equal for equal lists.
    milliseconds planAge{0}; ///< Time since the VM itself has read the plan at the store.
    milliseconds endpointAge{0};

    auto operator<=>(const ViewReport &) const = default;
};

/// Spares reads of the platform's store. The VMs tell each other what they have read; a VM reads for itself only if it is behind another
/// one, or if nobody has confirmed what it knows for a while. The wait before that grows with the VM's rank, so that mostly one VM reads.
class ViewFreshness
{
public:
    /// The VM with rank 0 reads when what it knows is @p readerAge old, the others from @p othersAge on.
    ViewFreshness(Duration readerAge, Duration othersAge);

    /// This VM has read the store and knows everything up to now.
    void recordRead(TimePoint now);

    /// Another VM knows the same as this one, as of @p age ago.
    void recordConfirmation(Duration age, TimePoint now);

    /// Another VM knows something newer.
    void markOutdated();

    /// Whether this VM is to read the store now. @p rank is its place among the VMs that read in turn.
    [[nodiscard]] bool isReadDue(std::size_t rank, TimePoint now) const;

    /// Time since this VM itself has read the store. Only this is told to others: an age that is handed on from VM to VM loses the time
    /// that each report takes, and would never grow up.
    [[nodiscard]] milliseconds readAge(TimePoint now) const;

private:
    Duration readerAge_;
    Duration othersAge_;
    TimePoint readAt_{};
    TimePoint confirmedAt_{};
    bool behind_ = true;
};

}
