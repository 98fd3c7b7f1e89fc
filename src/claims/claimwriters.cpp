#include "claims/claimwriters.h"

#include "base/hash.h"
#include "claims/claimrecord.h"

namespace Lentillock
{

std::vector<VmId> claimWriters(std::uint32_t shard, const std::vector<VmId> &liveVms, std::size_t count)
{
    std::vector<std::string> names;
    names.reserve(liveVms.size());
    for (const VmId &vm : liveVms) {
        names.push_back(vm.value());
    }
    std::vector<VmId> writers;
    for (std::string &name : rendezvousOrder(claimStream(shard), names, count)) {
        writers.emplace_back(std::move(name));
    }
    return writers;
}

}
