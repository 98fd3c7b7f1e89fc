#pragma once

#include "base/time.h"
#include "gateway/endpointdirectory.h"
#include "gateway/storeposition.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Changes of the endpoint list that one VM has read from the store and sends to its group.
struct EndpointUpdate {
    StorePosition position{}; ///< Up to which the sender has read the list.
    std::uint32_t digest = 0; ///< Digest of the sender's list.
    std::vector<EndpointChange> changes{};
    std::vector<EndpointRecord> leaving{}; ///< Endpoints that have said that they leave. Holds whatever the position is.

    auto operator<=>(const EndpointUpdate &) const = default;
};

/// Encodes @p update as datagrams, each with a part of the changes.
std::vector<std::string> encodeEndpointUpdate(const EndpointUpdate &update);

/// Decodes a datagram. Returns std::nullopt if @p bytes is not an endpoint update.
std::optional<EndpointUpdate> decodeEndpointUpdate(std::string_view bytes);

/// The changes of the last seconds. They are sent together, so that a VM that has missed some of them gets the same list as the others.
class RecentEndpointChanges
{
public:
    /// Applies @p changes to @p directory and records those that had an effect. Returns whether any had.
    bool apply(EndpointDirectory &directory, const std::vector<EndpointChange> &changes, TimePoint now);

    /// The recorded changes, oldest first.
    [[nodiscard]] std::vector<EndpointChange> list(TimePoint now);

private:
    struct Entry {
        TimePoint at;
        EndpointChange change;
    };

    std::deque<Entry> entries_;
};

}
