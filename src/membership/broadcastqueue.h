#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Lentillock
{

/// Queue of updates to piggyback on outgoing messages. A newer update of a subject replaces the older one; each is sent a bounded number of times.
template<typename Subject, typename Update>
class BroadcastQueue
{
public:
    void add(const Subject &subject, Update update)
    {
        updates_[subject] = {std::move(update), 0};
    }

    /// Returns the least transmitted updates that fit into @p budget bytes, which it reduces by their size. Removes an update after
    /// @p maxTransmissions transmissions.
    std::vector<Update> take(std::size_t &budget, unsigned maxTransmissions)
    {
        std::vector<typename Updates::iterator> byTransmissions;
        byTransmissions.reserve(updates_.size());
        for (auto entry = updates_.begin(); entry != updates_.end(); ++entry) {
            byTransmissions.push_back(entry);
        }
        std::ranges::stable_sort(byTransmissions, {}, [](const auto &entry) { return entry->second.transmissions; });
        std::vector<Update> taken;
        for (const auto &entry : byTransmissions) {
            const std::size_t size = maxEncodedSize(entry->second.update);
            if (size > budget) {
                break;
            }
            budget -= size;
            taken.push_back(entry->second.update);
            if (++entry->second.transmissions >= maxTransmissions) {
                updates_.erase(entry);
            }
        }
        return taken;
    }

    [[nodiscard]] std::size_t size() const
    {
        return updates_.size();
    }

private:
    struct Pending {
        Update update;
        unsigned transmissions = 0;
    };
    using Updates = std::map<Subject, Pending>;

    Updates updates_;
};

}
