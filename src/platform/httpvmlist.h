#pragma once

#include "base/time.h"
#include "platform/httpclient.h"
#include "platform/vmlist.h"

#include <string>

namespace Lentillock
{

/// The platform's VM list over HTTP.
class HttpVmList : public VmList
{
public:
    HttpVmList(std::string baseUrl, milliseconds timeout);

    /// Fails as a whole when an entry is malformed, so that no VM is missed because of a partial list.
    leaf::result<std::vector<VmListEntry>> fetch() override;

private:
    HttpClient client_;
    milliseconds timeout_;
};

}
