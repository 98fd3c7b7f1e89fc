#include "standins/platform/platformserver.h"

#include "base/findings.h"
#include "base/jsonreader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <exception>
#include <iostream>

namespace Lentillock
{

namespace
{

using Pistache::Http::Code;

constexpr int Threads = 4;
/// Large because a configuration snapshot is stored in a single record.
constexpr std::size_t MaxRequestBytes = 64UL * 1024 * 1024;
constexpr std::uint64_t DefaultMaxRecords = 1000;
constexpr std::uint64_t MaxWaitMs = 60'000;

/// Defined as a class because this version of Pistache does not send raw headers.
class RetryAfter : public Pistache::Http::Header::Header
{
public:
    // Pistache looks up the header by the constant that this macro defines.
    NAME("Retry-After") // NOLINT(readability-identifier-naming)

    explicit RetryAfter(std::chrono::seconds delay)
        : delay_(delay)
    {
    }

    void write(std::ostream &stream) const override
    {
        stream << delay_.count();
    }

private:
    std::chrono::seconds delay_;
};

WallTime wallNow()
{
    return std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
}

std::string errorBody(const std::string &message)
{
    return boost::json::serialize(boost::json::object{{"error", {{"message", message}}}});
}

std::uint64_t queryNumber(const Pistache::Rest::Request &request, const std::string &name, std::uint64_t defaultValue)
{
    const std::optional<std::string> text = request.query().get(name);
    std::uint64_t value = defaultValue;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), value);
    }
    return value;
}

}

PlatformServer::PlatformServer(const Settings &settings)
    : endpoint_(Pistache::Address("127.0.0.1", Pistache::Port(settings.port)))
    , log_(settings.retentionRecords, settings.retention)
    , weightFetchLimiter_(settings.fetchesPerMinute)
{
    endpoint_.init(Pistache::Http::Endpoint::options()
                       .threads(Threads)
                       .maxRequestSize(MaxRequestBytes)
                       .maxResponseSize(MaxRequestBytes)
                       .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay));
    addRoutes();
}

std::string PlatformServer::start()
{
    endpoint_.setHandler(router_.handler());
    endpoint_.serveThreaded();
    return "127.0.0.1:" + endpoint_.getPort().toString();
}

void PlatformServer::stop()
{
    endpoint_.shutdown();
}

bool PlatformServer::setVms(const std::string &body)
{
    return vms_.set(body);
}

void PlatformServer::addRoutes()
{
    using Pistache::Rest::Route;
    const auto route = [this](void (PlatformServer::*handler)(const Request &, Writer)) {
        return [this, handler](const Request &request, Writer writer) {
            (this->*handler)(request, std::move(writer));
            return Route::Result::Ok;
        };
    };
    router_.post("/v1/streams/:stream/records", route(&PlatformServer::appendRecords));
    router_.get("/v1/streams/:stream/records", route(&PlatformServer::readRecords));
    router_.post("/v1/weights/:model/:version/fetch", route(&PlatformServer::fetchWeights));
    router_.post("/fault", route(&PlatformServer::injectFault));
    router_.get("/v1/vms", [this](const Request &, Writer writer) {
        accept({"vms", false, {}, [this](bool) { return Response{Code::Ok, vms_.get(), {}}; }, std::make_shared<Writer>(std::move(writer))});
        return Route::Result::Ok;
    });
    router_.put("/v1/vms", [this](const Request &request, Writer writer) {
        const bool isValid = setVms(request.body());
        writer.send(isValid ? Code::Ok : Code::Bad_Request, isValid ? "{}" : errorBody("must be an object with an array \"vms\""));
        return Route::Result::Ok;
    });
}

void PlatformServer::appendRecords(const Request &request, Writer writer)
{
    const std::string stream = request.param(":stream").as<std::string>();
    accept({"log", true, {}, [this, stream, body = request.body()](bool) { return append(stream, body); }, std::make_shared<Writer>(std::move(writer))});
}

void PlatformServer::readRecords(const Request &request, Writer writer)
{
    const std::string stream = request.param(":stream").as<std::string>();
    const std::uint64_t from = queryNumber(request, "from", 0);
    const std::size_t maxRecords = queryNumber(request, "max", DefaultMaxRecords);
    const milliseconds wait(std::min(queryNumber(request, "waitMs", 0), MaxWaitMs));
    accept({"log",
            false,
            std::chrono::steady_clock::now() + wait,
            [this, stream, from, maxRecords](bool mayWait) { return read(stream, from, maxRecords, mayWait); },
            std::make_shared<Writer>(std::move(writer))});
}

void PlatformServer::fetchWeights(const Request &, Writer writer)
{
    const auto fetch = [this](bool) {
        const milliseconds wait = weightFetchLimiter_.tryFetch(std::chrono::steady_clock::now());
        if (wait > 0ms) {
            return Response{Code::Too_Many_Requests, errorBody("too many fetches"), wait};
        }
        return Response{Code::Ok, "{}", {}};
    };
    accept({"weights", true, {}, fetch, std::make_shared<Writer>(std::move(writer))});
}

void PlatformServer::injectFault(const Request &request, Writer writer)
{
    const std::string problem = faults_.inject(request.body(), std::chrono::steady_clock::now());
    writer.send(problem.empty() ? Code::Ok : Code::Bad_Request, problem.empty() ? "{}" : errorBody(problem));
    queue_.notify();
}

PlatformServer::Response PlatformServer::append(const std::string &stream, const std::string &body)
{
    Findings findings;
    const auto value = parseJson(body, "records", findings);
    std::vector<std::string> data;
    if (value) {
        JsonReader reader(*value, "records", "", findings);
        const boost::json::value *records = reader.member("records");
        if (records == nullptr || !records->is_array()) {
            reader.addError("records", "must be an array");
        } else {
            for (const boost::json::value &record : records->get_array()) {
                data.push_back(JsonReader(record, "records", "", findings).requiredString("data"));
            }
        }
    }
    if (findings.hasErrors()) {
        return {Code::Bad_Request, errorBody(findings.toText()), {}};
    }
    std::uint64_t first = 0;
    {
        const std::lock_guard lock(logMutex_);
        first = log_.append(stream, data, wallNow());
    }
    queue_.notify();
    return {Code::Ok, boost::json::serialize(boost::json::object{{"offset", first}}), {}};
}

std::optional<PlatformServer::Response> PlatformServer::read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, bool mayWait)
{
    LogStore::Batch batch;
    {
        const std::lock_guard lock(logMutex_);
        batch = log_.read(stream, from, maxRecords, wallNow());
    }
    if (std::max<std::uint64_t>(from, 1) < batch.earliest) {
        return Response{Code::Gone, boost::json::serialize(boost::json::object{{"earliest", batch.earliest}}), {}};
    }
    if (batch.records.empty() && mayWait) {
        return std::nullopt;
    }
    boost::json::array records;
    for (const LogStore::Record &record : batch.records) {
        records.push_back(boost::json::object{{"offset", record.offset}, {"timeMs", record.time.time_since_epoch().count()}, {"data", record.data}});
    }
    const boost::json::object body{{"records", std::move(records)}, {"next", batch.next}, {"earliest", batch.earliest}};
    return Response{Code::Ok, boost::json::serialize(body), {}};
}

void PlatformServer::accept(PendingRequest pending)
{
    if (std::chrono::steady_clock::now() >= faults_.frozenUntil(pending.service)) {
        execute(pending);
        return;
    }
    const TimePoint due = faults_.frozenUntil(pending.service);
    queue_.add(due, [this, pending = std::move(pending)](TimePoint now) {
        if (now < faults_.frozenUntil(pending.service)) {
            return false;
        }
        execute(pending);
        return true;
    });
}

void PlatformServer::execute(const PendingRequest &pending)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const Faults::Effect effect = faults_.effectOn(pending.service, pending.isWrite, now);
    if (effect.refuse) {
        finish(pending, effect, {Code::Service_Unavailable, errorBody("outage"), {}});
        return;
    }
    if (const std::optional<Response> response = pending.execute(now < pending.waitUntil)) {
        finish(pending, effect, *response);
        return;
    }
    queue_.add(pending.waitUntil, [this, pending, effect](TimePoint later) {
        const std::optional<Response> response = pending.execute(later < pending.waitUntil);
        if (response) {
            finish(pending, effect, *response);
        }
        return response.has_value();
    });
}

void PlatformServer::finish(const PendingRequest &pending, const Faults::Effect &effect, const Response &response)
{
    if (effect.dropResponse) {
        // The connection stays open without a response until the client times out.
        return;
    }
    if (effect.responseDelay <= Duration::zero()) {
        send(pending, response);
        return;
    }
    const TimePoint due = std::chrono::steady_clock::now() + effect.responseDelay;
    queue_.add(due, [pending, response, due](TimePoint now) {
        if (now < due) {
            return false;
        }
        send(pending, response);
        return true;
    });
}

void PlatformServer::send(const PendingRequest &pending, const Response &response)
{
    try {
        if (response.retryAfter) {
            pending.writer->headers().add<RetryAfter>(std::chrono::ceil<std::chrono::seconds>(*response.retryAfter));
        }
        pending.writer->send(response.code, response.body);
    } catch (const std::exception &error) {
        // The client has closed the connection.
        std::cerr << "answer not sent: " << error.what() << '\n';
    }
}

}
