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

/// Builds an entry's view from the updates of control processes. The configuration never goes back to an older version.
class ViewBuilder
{
public:
    explicit ViewBuilder(ZoneId zone);

    /// Version to ask updates for; 0 before the first.
    [[nodiscard]] std::uint64_t configVersion() const;

    /// Applies an update. Problems of the document are added to @p findings; the last valid document then stays in force.
    EntryViewPtr apply(TimePoint now, const lentillock::rpc::ViewUpdate &update, Findings &findings);

    /// Marks endpoints that the platform's list calls leaving. Keeps the age of the view. Null before the first update.
    EntryViewPtr apply(const std::vector<VmListEntry> &list);

    /// Addresses of the members' control processes: ready ones of the own zone first, then ready ones of other zones, then the others.
    [[nodiscard]] std::vector<std::string> controlAddresses() const;

private:
    void publish(std::shared_ptr<const ServingView> view);

    ZoneId zone_;
    SectionTexts sections_;
    EntryViewPtr current_;
};

}
