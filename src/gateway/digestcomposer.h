#pragma once

#include "gateway/endpointload.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Lentillock
{

/// Sums of the loads that the VMs of a group put on each endpoint, by endpoint hash.
using LoadSums = std::map<std::uint32_t, EndpointLoad>;

/// Selects the entries of the next digest of a group, so that a digest stays short: the sums that have changed, repeated once in case a digest
/// is lost, and in turn a part of the others, so that a new receiver has all of them soon.
class DigestComposer
{
public:
    /// Returns the entries of the next digest. A sum that has become empty is reported as such. Unchanged sums are all repeated within
    /// @p digestsPerRefresh digests.
    std::vector<EndpointLoadReport> compose(const LoadSums &sums, std::size_t digestsPerRefresh);

private:
    struct SentEntry {
        EndpointLoad load;
        int remainingSends = 0;
    };

    std::map<std::uint32_t, SentEntry> entries_;
    std::uint32_t refreshCursor_ = 0; ///< Hash of the endpoint at which the next refresh continues.
};

}
