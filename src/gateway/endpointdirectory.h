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

/// Entry of one endpoint in the platform's endpoint list. A restarted endpoint may keep its ID; it is then a new incarnation.
struct EndpointRecord {
    EndpointId id;
    std::string service{};
    std::string address{}; ///< IP:PORT.
    ZoneId zone{};
    int slots = 1;
    bool isDraining = false; ///< Finishes its requests in progress and accepts no new ones.
    std::int64_t startedAtMs = 0; ///< Unix time of its start, which identifies the incarnation together with the ID; 0 if unknown.

    auto operator<=>(const EndpointRecord &) const = default;

    /// Whether both records describe the same incarnation of the endpoint.
    [[nodiscard]] bool isSameIncarnation(const EndpointRecord &other) const;
};

/// A change of the list: a new or changed record, or no record if the endpoint was removed.
struct EndpointChange {
    EndpointId id;
    std::optional<EndpointRecord> record;

    auto operator<=>(const EndpointChange &) const = default;
};

/// The platform's endpoint list as of the last read. Decides which endpoints may receive new requests.
class EndpointDirectory
{
public:
    /// Applies @p changes in the order in which the platform made them.
    void apply(const std::vector<EndpointChange> &changes, TimePoint now);

    /// Replaces the whole list; endpoints that are not in @p records are removed.
    void replace(const std::vector<EndpointRecord> &records, TimePoint now);

    /// Defers removals for a grace period after @p availableSince, when the platform became readable again, because the records of live endpoints may
    /// have expired during the outage.
    void deferRemovals(TimePoint availableSince);

    /// Whether the grace period of a deferred removal has passed. The list must be read again before it is applied, because the platform may have listed
    /// the endpoint again, and other VMs do not tell that if they had not removed it.
    [[nodiscard]] bool hasDueRemovals(TimePoint now) const;

    /// Applies the deferred removals whose grace period had passed when the list was read at @p readAt. Returns whether there were any.
    bool applyDueRemovals(TimePoint readAt);

    /// Records that the incarnation of an endpoint that @p record describes has said that it leaves. It gets no new requests, whatever the platform's
    /// list says. Returns whether that was unknown.
    bool markLeaving(const EndpointRecord &record);

    /// Whether the endpoint of @p record has said so in this incarnation.
    [[nodiscard]] bool hasSaidLeaving(const EndpointRecord &record) const;

    /// The record of @p id, or null if there is none.
    [[nodiscard]] const EndpointRecord *find(const EndpointId &id) const;

    /// Returns the endpoints that were restarted or removed since the last call.
    std::vector<EndpointId> takeRestartedOrRemoved();

    /// Endpoints of @p service that may receive new requests, ordered by ID.
    [[nodiscard]] std::vector<const EndpointRecord *> usable(const std::string &service) const;

    [[nodiscard]] const std::map<EndpointId, EndpointRecord> &all() const;

    /// Hash of the records. VMs with the same records have the same digest.
    [[nodiscard]] std::uint32_t digest() const;

    /// Number of records that were ignored because a newer one was known.
    [[nodiscard]] std::uint64_t staleRecordCount() const;

    /// Incremented with each change of the set or of a record.
    [[nodiscard]] std::uint64_t revision() const;

private:
    void update(const EndpointRecord &record);

    /// Whether @p record is older than the known one. A draining endpoint never becomes ready again in the same incarnation.
    [[nodiscard]] bool isStale(const EndpointRecord &record) const;
    void remove(const EndpointId &id, TimePoint now);

    std::map<EndpointId, EndpointRecord> records_;
    std::map<EndpointId, TimePoint> pendingRemovals_; ///< Removed by the platform but still used, with the time at which the removal takes effect.
    TimePoint removalsDeferredUntil_{};
    std::map<EndpointId, EndpointRecord> removedWhileDraining_; ///< Endpoints that were draining when they were removed.
    std::map<EndpointId, EndpointRecord> saidLeaving_; ///< Kept after the removal, because the platform may list the endpoint again.
    std::vector<EndpointId> restartedOrRemoved_;
    std::uint64_t staleRecordCount_ = 0;
    std::uint64_t revision_ = 0;
    mutable std::uint32_t digest_ = 0; ///< Digest of the revision digestRevision_.
    mutable std::uint64_t digestRevision_ = 0;
};

}
