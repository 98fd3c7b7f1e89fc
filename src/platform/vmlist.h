#pragma once

#include "base/identifier.h"

#include <boost/leaf/result.hpp>

#include <compare>
#include <string>
#include <vector>

namespace Lentillock
{

namespace leaf = boost::leaf;

enum class VmRole {
    Entry,
    Endpoint,
};

enum class VmState {
    Live,
    Leaving,
};

struct VmListEntry {
    std::string id; ///< Identifier of the VM or endpoint.
    std::string address;
    ZoneId zone;
    VmRole role = VmRole::Entry;
    VmState state = VmState::Live;

    auto operator<=>(const VmListEntry &) const = default;
};

enum class VmListError {
    Unavailable,
};

/// The platform's list of live and leaving VMs. It may be out of date. Calls block. Errors are VmListError values.
class VmList
{
public:
    VmList() = default;
    VmList(const VmList &) = delete;
    VmList &operator=(const VmList &) = delete;
    virtual ~VmList() = default;

    virtual leaf::result<std::vector<VmListEntry>> fetch() = 0;
};

}
