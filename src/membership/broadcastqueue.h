#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Lentillock
{

/// Updates that are still to be piggybacked. A newer update of a subject replaces the older one; each is sent a bounded number of times.
template<typename Subject, typename Update>
class BroadcastQueue
{
public:
    void add(const Subject &subject, Update update)
    {
        updates_[subject] = {std::move(update), 0};
    }

    /// Takes the least sent updates that fit into @p budget bytes; an update is forgotten after @p maxSends sends.
    std::vector<Update> take(std::size_t &budget, unsigned maxSends)
    {
        std::vector<typename Updates::iterator> order;
        order.reserve(updates_.size());
        for (auto entry = updates_.begin(); entry != updates_.end(); ++entry) {
            order.push_back(entry);
        }
        std::ranges::stable_sort(order, {}, [](const auto &entry) { return entry->second.sends; });
        std::vector<Update> taken;
        for (const auto &entry : order) {
            const std::size_t size = encodedSizeBound(entry->second.update);
            if (size > budget) {
                break;
            }
            budget -= size;
            taken.push_back(entry->second.update);
            if (++entry->second.sends >= maxSends) {
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
        unsigned sends = 0;
    };
    using Updates = std::map<Subject, Pending>;

    Updates updates_;
};

}
