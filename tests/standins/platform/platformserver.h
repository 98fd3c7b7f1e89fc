#pragma once

#include "base/time.h"
#include "standins/platform/faults.h"
#include "standins/platform/logstore.h"
#include "standins/platform/responsequeue.h"
#include "standins/platform/vmstore.h"
#include "standins/platform/weightfetchlimiter.h"

#include <pistache/endpoint.h>
#include <pistache/router.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Lentillock
{

/// HTTP server of the platform stand-in: log, VM list and weight store.
class PlatformServer
{
public:
    struct Settings {
        std::uint16_t port = 0;
        std::size_t retentionRecords = 0;
        milliseconds retention{0};
        std::size_t fetchesPerMinute = 0;
    };

    explicit PlatformServer(const Settings &settings);

    /// Starts to listen and returns the address as HOST:PORT.
    std::string start();
    void stop();

    /// Replaces the VM list; returns false if @p body is not an object with an array "vms".
    bool setVms(const std::string &body);

private:
    struct Response {
        Pistache::Http::Code code = Pistache::Http::Code::Ok;
        std::string body;
        std::optional<milliseconds> retryAfter;
    };

    /// A request without a response yet.
    struct PendingRequest {
        std::string service;
        bool isWrite = false;
        TimePoint waitUntil;
        /// Returns nothing while it waits for an event; must return a response if @p mayWait is false.
        std::function<std::optional<Response>(bool mayWait)> execute;
        std::shared_ptr<Pistache::Http::ResponseWriter> writer;
    };

    using Request = Pistache::Rest::Request;
    using Writer = Pistache::Http::ResponseWriter;

    void addRoutes();
    void appendRecords(const Request &request, Writer writer);
    void readRecords(const Request &request, Writer writer);
    void fetchWeights(const Request &request, Writer writer);
    void injectFault(const Request &request, Writer writer);

    void accept(PendingRequest pending);
    void execute(const PendingRequest &pending);
    void finish(const PendingRequest &pending, const Faults::Effect &effect, const Response &response);
    static void send(const PendingRequest &pending, const Response &response);

    Response append(const std::string &stream, const std::string &body);
    std::optional<Response> read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, bool mayWait);

    Pistache::Http::Endpoint endpoint_;
    Pistache::Rest::Router router_;
    std::mutex logMutex_;
    LogStore log_;
    VmStore vms_;
    WeightFetchLimiter weightFetchLimiter_;
    Faults faults_;
    ResponseQueue queue_;
};

}
