#include "standins/platform/vmstore.h"

#include "base/findings.h"
#include "base/jsonreader.h"

namespace Lentillock
{

VmStore::VmStore()
    : body_(R"({"vms":[]})")
{
}

bool VmStore::set(const std::string &body)
{
    Findings findings;
    const auto value = parseJson(body, "vms", findings);
    if (!value || !value->is_object() || !value->get_object().contains("vms") || !value->get_object().at("vms").is_array()) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    body_ = body;
    return true;
}

std::string VmStore::get() const
{
    const std::lock_guard lock(mutex_);
    return body_;
}

}
