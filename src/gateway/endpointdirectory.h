#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lentillock
{

/// What the platform's list says of one endpoint.
struct EndpointRecord {
    EndpointId id;
    std::string service{};
    std::string address{}; ///< IP:PORT.
    ZoneId zone{};
    int slots = 1;
    bool isLeaving = false; ///< Takes no new work.
    std::int64_t startedAtMs = 0; ///< Unix time of its start; with the id it names an incarnation. 0 when unknown.

    auto operator<=>(const EndpointRecord &) const = default;

    /// Whether the records speak of the same run of the same process.
    [[nodiscard]] bool isSameIncarnation(const EndpointRecord &other) const;
};

/// A change of the list: a new or changed record, or none for an endpoint that is gone.
struct EndpointChange {
    EndpointId id;
    std::optional<EndpointRecord> record;
};

/// The endpoints that the platform's list names, as of the last read. Decides which ones may get new work.
class EndpointDirectory
{
public:
    /// Applies changes in the order in which the platform made them.
    void apply(const std::vector<EndpointChange> &changes, TimePoint now);

    /// Replaces everything; endpoints that are not in @p records are gone.
    void replace(const std::vector<EndpointRecord> &records, TimePoint now);

    /// The list could not be read for a while and can be read again. Records that lapsed meanwhile get time to come back.
    void deferRemovals(TimePoint now);

    /// Drops the records whose time to come back has passed.
    void applyDueRemovals(TimePoint now);

    /// The record of @p id if the endpoint is known, else null.
    [[nodiscard]] const EndpointRecord *find(const EndpointId &id) const;

    /// Returns and forgets the endpoints that have started anew, or gone, since the last call.
    std::vector<EndpointId> takeRestartedOrRemoved();

    /// Endpoints of @p service that may get new work, ordered by id.
    [[nodiscard]] std::vector<const EndpointRecord *> usable(const std::string &service) const;

    [[nodiscard]] const std::map<EndpointId, EndpointRecord> &all() const;

    /// Equal on all VMs that know the same records.
    [[nodiscard]] std::uint32_t digest() const;

    /// Records that were ignored because a newer one was known.
    [[nodiscard]] std::uint64_t staleRecordCount() const;

    /// Rises with each change of the set or of a record.
    [[nodiscard]] std::uint64_t revision() const;

private:
    void put(const EndpointRecord &record);

    /// Whether the record was written before one that is known: an endpoint that leaves does not become ready again.
    [[nodiscard]] bool isStale(const EndpointRecord &record) const;
    void remove(const EndpointId &id, TimePoint now);

    std::map<EndpointId, EndpointRecord> records_;
    std::map<EndpointId, TimePoint> lapsed_; ///< Removed by the platform but still used, with the time at which they go.
    TimePoint removalsDeferredUntil_{};
    std::map<EndpointId, EndpointRecord> departed_; ///< Endpoints that were leaving when they were removed.
    std::vector<EndpointId> replaced_;
    std::uint64_t staleRecordCount_ = 0;
    std::uint64_t revision_ = 0;
    mutable std::uint32_t digest_ = 0; ///< Of digestRevision_.
    mutable std::uint64_t digestRevision_ = 0;
};

}
