#pragma once

#include "base/time.h"
#include "platform/logservice.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Name of the log stream that holds leases.
inline constexpr const char *LeaseStream = "leases";

/// A request for a lease or its renewal.
struct LeaseRecord {
    std::string id; ///< Unique for each append.
    std::string resource;
    std::string holder; ///< VM and incarnation, so that a restarted process is another holder.
    milliseconds duration{0}; ///< 0 gives the lease up.
    std::uint64_t basis = 0; ///< Last offset that the writer had read.

    auto operator<=>(const LeaseRecord &) const = default;
};

std::string encodeLeaseRecord(const LeaseRecord &record);

/// Nothing when the data is malformed; such records change nothing.
std::optional<LeaseRecord> decodeLeaseRecord(std::string_view data);

struct Lease {
    std::string holder;
    std::uint64_t fencing = 0; ///< Offset of the granted record.
    WallTime grantedAt; ///< Time of the granted record in the log.
    milliseconds duration{0};

    auto operator<=>(const Lease &) const = default;
};

struct LeaseDecision {
    LeaseRecord record;
    std::uint64_t offset = 0;
    bool isGranted = false;

    auto operator<=>(const LeaseDecision &) const = default;
};

/// Folds the records of stream "leases".
///
/// A record is granted if its writer had read the resource's last grant and that grant belongs to the same holder or has lapsed by the
/// log's time. Leases only avoid duplicate effort; nothing depends on them for safety.
class LeaseTable
{
public:
    /// Longer leases are not granted.
    static constexpr milliseconds MaxDuration = 60s;

    /// Leases granted before the start of an incomplete fold, and decisions that differ because of them, have lapsed after this time.
    static constexpr milliseconds UncertainTime = 2 * MaxDuration;

    /// @p isComplete tells that the fold starts at the first record of the stream.
    explicit LeaseTable(bool isComplete);

    /// Nothing for a malformed record or one that was read before.
    std::optional<LeaseDecision> apply(const LogRecord &record);

    /// The last grant, lapsed or not; null when there is none.
    [[nodiscard]] const Lease *find(const std::string &resource) const;

    [[nodiscard]] std::uint64_t nextOffset() const;

    /// False while leases from before the start of the fold may be in force.
    [[nodiscard]] bool isCertain() const;

private:
    bool isComplete_;
    std::uint64_t nextOffset_ = 0;
    std::optional<WallTime> firstTime_;
    WallTime lastTime_;
    std::map<std::string, Lease> leases_;
};

}
