#include "platform/httpvmlist.h"

#include "base/findings.h"
#include "base/jsonreader.h"

#include <boost/json/array.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <optional>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr int StatusOk = 200;

template<typename Value>
using NamedValues = std::array<std::pair<std::string_view, Value>, 2>;

constexpr NamedValues<VmRole> Roles{{{"entry", VmRole::Entry}, {"endpoint", VmRole::Endpoint}}};
constexpr NamedValues<VmState> States{{{"live", VmState::Live}, {"leaving", VmState::Leaving}}};

template<typename Value>
Value readEnum(JsonReader &reader, std::string_view name, const NamedValues<Value> &values)
{
    const std::string text = reader.requiredString(name);
    for (const auto &[valueName, value] : values) {
        if (text == valueName) {
            return value;
        }
    }
    reader.addError(name, "has an unknown value");
    return {};
}

std::optional<std::vector<VmListEntry>> parseVmList(const std::string &body)
{
    Findings findings;
    const std::optional<boost::json::value> value = parseJson(body, "vms", findings);
    if (!value) {
        return std::nullopt;
    }
    JsonReader reader(*value, "vms", "", findings);
    const boost::json::value *vms = reader.member("vms");
    if (vms == nullptr || !vms->is_array()) {
        return std::nullopt;
    }
    std::vector<VmListEntry> entries;
    for (const boost::json::value &element : vms->get_array()) {
        JsonReader vm(element, "vms", "", findings);
        VmListEntry entry;
        entry.id = vm.requiredString("id");
        entry.address = vm.requiredString("address");
        entry.zone = ZoneId(vm.requiredString("zone"));
        entry.role = readEnum(vm, "role", Roles);
        entry.state = readEnum(vm, "state", States);
        entries.push_back(std::move(entry));
    }
    return findings.hasErrors() ? std::nullopt : std::optional(std::move(entries));
}

}

HttpVmList::HttpVmList(std::string baseUrl, milliseconds timeout)
    : client_(std::move(baseUrl))
    , timeout_(timeout)
{
}

leaf::result<std::vector<VmListEntry>> HttpVmList::fetch()
{
    return leaf::try_handle_some(
        [this]() -> leaf::result<std::vector<VmListEntry>> {
            BOOST_LEAF_AUTO(response, client_.get("/v1/vms", timeout_));
            std::optional<std::vector<VmListEntry>> entries;
            if (response.status == StatusOk) {
                entries = parseVmList(response.body);
            }
            if (!entries) {
                return leaf::new_error(VmListError::Unavailable);
            }
            return std::move(*entries);
        },
        [](HttpError) -> leaf::result<std::vector<VmListEntry>> { return leaf::new_error(VmListError::Unavailable); });
}

}
