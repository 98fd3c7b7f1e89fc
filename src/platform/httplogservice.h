#pragma once

#include "platform/httpclient.h"
#include "platform/logservice.h"

#include <string>

namespace Lentillock
{

/// Accesses the log service over HTTP.
class HttpLogService : public LogService
{
public:
    explicit HttpLogService(std::string baseUrl);

    leaf::result<std::uint64_t> append(const std::string &stream, const std::vector<std::string> &records, milliseconds timeout) override;
    leaf::result<LogBatch> read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, milliseconds wait, milliseconds timeout) override;

private:
    HttpClient client_;
};

}
