#pragma once

#include <compare>
#include <cstdint>
#include <deque>

namespace Lentillock
{

/// Position of a report among those of one VM.
struct ReportNumber {
    std::uint32_t incarnation = 0; ///< Random number of the sending process.
    std::uint32_t sequence = 0; ///< Increases with each report of the process.

    auto operator<=>(const ReportNumber &) const = default;
};

/// Detects delayed and repeated reports of one VM, including those of an earlier process on it. Does not depend on the clock of the VM.
class ReportOrder
{
public:
    /// Returns whether the report is newer than those accepted before.
    bool accept(const ReportNumber &number);

    /// Whether the last accepted report was the first one of its process.
    [[nodiscard]] bool isNewIncarnation() const;

private:
    ReportNumber last_;
    std::deque<std::uint32_t> earlierIncarnations_;
    bool hasReport_ = false;
    bool isNewIncarnation_ = false;
};

}
