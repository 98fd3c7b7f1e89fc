#pragma once

#include "base/time.h"
#include "standins/platform/faults.h"
#include "standins/platform/logstore.h"
#include "standins/platform/responsequeue.h"
#include "standins/platform/vmstore.h"
#include "standins/platform/weightlimiter.h"

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

/// HTTP server of the stand-in.
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

    /// Starts to listen and returns the address.
    std::string start();
    void stop();

    /// Replaces the VM list; returns false when @p body does not have the form of the list.
    bool setVms(const std::string &body);

private:
    struct Answer {
        Pistache::Http::Code code = Pistache::Http::Code::Ok;
        std::string body;
        std::optional<milliseconds> retryAfter;
    };

    /// A request that has not been answered. Returns nothing while it waits for an event; must answer when @p mayWait is false.
    struct Pending {
        std::string service;
        bool isWrite = false;
        TimePoint waitUntil;
        std::function<std::optional<Answer>(bool mayWait)> execute;
        std::shared_ptr<Pistache::Http::ResponseWriter> writer;
    };

    using Request = Pistache::Rest::Request;
    using Writer = Pistache::Http::ResponseWriter;

    void addRoutes();
    void appendRecords(const Request &request, Writer writer);
    void readRecords(const Request &request, Writer writer);
    void fetchWeights(const Request &request, Writer writer);
    void injectFault(const Request &request, Writer writer);

    void accept(Pending pending);
    void execute(const Pending &pending);
    void finish(const Pending &pending, const Faults::Effect &effect, const Answer &answer);
    static void send(const Pending &pending, const Answer &answer);

    Answer append(const std::string &stream, const std::string &body);
    std::optional<Answer> read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, bool mayWait);

    Pistache::Http::Endpoint endpoint_;
    Pistache::Rest::Router router_;
    std::mutex logMutex_;
    LogStore log_;
    VmStore vms_;
    WeightLimiter weights_;
    Faults faults_;
    ResponseQueue queue_;
};

}
