#pragma once

#include "base/time.h"
#include "platform/httpclient.h"
#include "platform/vmlist.h"

#include <string>

namespace Lentillock
{

/// Reads the platform's VM list over HTTP.
class HttpVmList : public VmList
{
public:
    HttpVmList(std::string baseUrl, milliseconds timeout);

    /// Fails if any entry is malformed, because VMs missing from a partial list would be treated as gone.
    leaf::result<std::vector<VmListEntry>> fetch() override;

private:
    HttpClient client_;
    milliseconds timeout_;
};

}
