#pragma once

#include "config/documentvalidator.h"
#include "entry/filterchain.h"
#include "platform/vmlist.h"

#include <string>
#include <vector>

namespace lentillock::rpc
{
class ViewUpdate;
}

namespace Lentillock
{

/// Builds an entry's view from updates of control processes. The configuration never reverts to an older version.
class ViewBuilder
{
public:
    explicit ViewBuilder(ZoneId zone);

    /// Version of the current configuration, sent when a stream is opened; 0 before the first update.
    [[nodiscard]] std::uint64_t configVersion() const;

    /// Applies an update. If the document is invalid, adds the errors to @p findings and keeps the last valid document.
    EntryViewPtr apply(TimePoint now, const lentillock::rpc::ViewUpdate &update, Findings &findings);

    /// Marks the endpoints that the platform's VM list reports as leaving, without refreshing the age of the view. Returns null before the first update.
    EntryViewPtr apply(const std::vector<VmListEntry> &list);

    /// Addresses of the members' control processes: first those ready in the local zone, then those ready in other zones, then the others.
    [[nodiscard]] std::vector<std::string> controlAddresses() const;

private:
    void publish(std::shared_ptr<const ServingView> view);

    ZoneId zone_;
    SectionTexts sections_;
    EntryViewPtr current_;
};

}
