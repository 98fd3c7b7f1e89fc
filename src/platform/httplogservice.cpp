#include "platform/httplogservice.h"

#include "base/findings.h"
#include "base/jsonreader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <limits>
#include <optional>

namespace Lentillock
{

namespace
{

constexpr int StatusGone = 410;
constexpr int StatusUnavailable = 503;
constexpr std::int64_t MaxInteger = std::numeric_limits<std::int64_t>::max();

std::string recordsPath(const std::string &stream)
{
    return "/v1/streams/" + HttpClient::percentEncode(stream) + "/records";
}

std::uint64_t readOffset(JsonReader &reader, std::string_view name)
{
    return static_cast<std::uint64_t>(reader.requiredInteger(name, 0, MaxInteger));
}

/// Ignores unknown members, because later versions of the service may add some.
std::optional<LogBatch> parseBatch(const std::string &body)
{
    Findings findings;
    const std::optional<boost::json::value> value = parseJson(body, "log", findings);
    if (!value) {
        return std::nullopt;
    }
    JsonReader reader(*value, "log", "", findings);
    LogBatch batch;
    batch.next = readOffset(reader, "next");
    batch.earliest = readOffset(reader, "earliest");
    const boost::json::value *records = reader.member("records");
    if (records == nullptr || !records->is_array()) {
        return std::nullopt;
    }
    for (const boost::json::value &element : records->get_array()) {
        JsonReader record(element, "log", "", findings);
        const std::uint64_t offset = readOffset(record, "offset");
        const WallTime time(milliseconds(record.requiredInteger("timeMs", 0, MaxInteger)));
        batch.records.push_back({offset, time, record.requiredString("data")});
    }
    return findings.hasErrors() ? std::nullopt : std::optional(std::move(batch));
}

std::optional<std::uint64_t> parseOffset(const std::string &body, std::string_view name)
{
    Findings findings;
    const std::optional<boost::json::value> value = parseJson(body, "log", findings);
    if (!value) {
        return std::nullopt;
    }
    JsonReader reader(*value, "log", "", findings);
    const std::uint64_t offset = readOffset(reader, name);
    return findings.hasErrors() ? std::nullopt : std::optional(offset);
}

leaf::result<std::uint64_t> parseAppendResponse(const HttpResponse &response)
{
    if (response.status / 100 == 2) {
        if (const std::optional<std::uint64_t> offset = parseOffset(response.body, "offset")) {
            return *offset;
        }
    }
    const bool wasRefused = response.status / 100 == 4 || response.status == StatusUnavailable;
    return leaf::new_error(wasRefused ? LogError::Unavailable : LogError::OutcomeUnknown);
}

leaf::result<LogBatch> parseReadResponse(const HttpResponse &response)
{
    if (response.status == StatusGone) {
        if (const std::optional<std::uint64_t> earliest = parseOffset(response.body, "earliest")) {
            return leaf::new_error(LogError::Expired, EarliestOffset{*earliest});
        }
        return leaf::new_error(LogError::Expired);
    }
    if (response.status / 100 == 2) {
        if (std::optional<LogBatch> batch = parseBatch(response.body)) {
            return std::move(*batch);
        }
    }
    return leaf::new_error(LogError::Unavailable);
}

}

HttpLogService::HttpLogService(std::string baseUrl)
    : client_(std::move(baseUrl))
{
}

leaf::result<std::uint64_t> HttpLogService::append(const std::string &stream, const std::vector<std::string> &records, milliseconds timeout)
{
    boost::json::array array;
    for (const std::string &record : records) {
        array.push_back(boost::json::object{{"data", record}});
    }
    const std::string body = boost::json::serialize(boost::json::object{{"records", std::move(array)}});
    return leaf::try_handle_some(
        [&]() -> leaf::result<std::uint64_t> {
            BOOST_LEAF_AUTO(response, client_.post(recordsPath(stream), body, timeout));
            return parseAppendResponse(response);
        },
        [](HttpError error) -> leaf::result<std::uint64_t> {
            return leaf::new_error(error == HttpError::NotSent ? LogError::Unavailable : LogError::OutcomeUnknown);
        });
}

leaf::result<LogBatch> HttpLogService::read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, milliseconds wait, milliseconds timeout)
{
    const std::string path
        = recordsPath(stream) + "?from=" + std::to_string(from) + "&max=" + std::to_string(maxRecords) + "&waitMs=" + std::to_string(wait.count());
    return leaf::try_handle_some(
        [&]() -> leaf::result<LogBatch> {
            BOOST_LEAF_AUTO(response, client_.get(path, timeout));
            return parseReadResponse(response);
        },
        [](HttpError) -> leaf::result<LogBatch> { return leaf::new_error(LogError::Unavailable); });
}

}
