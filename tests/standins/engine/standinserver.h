#pragma once

#include "standins/engine/httpserver.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Lentillock
{

/// Base class of the endpoint stand-ins. Implements fault injection, draining and call counts.
///
/// Requests are handled one at a time while the mutex is held.
class StandInServer
{
public:
    StandInServer() = default;
    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;
    virtual ~StandInServer() = default;

    void handle(HttpRequest request, HttpResponderPtr responder);

protected:
    using RealClock = std::chrono::steady_clock;

    static constexpr const char *WasNotRun = "was-not-run";

    /// Handles all paths except /fault, /draining and /calls.
    virtual void handleRequest(const HttpRequest &request, const HttpResponderPtr &responder) = 0;
    /// Called with the mutex held after a fault has been set or cleared.
    virtual void onFaultChanged() = 0;

    void countCall(const HttpRequest &request);
    static void refuse(const HttpResponderPtr &responder, int status, const std::string &message, const char *runState);
    static std::string header(const HttpRequest &request, const std::string &name);

    std::mutex mutex_;
    bool draining_ = false;
    bool frozen_ = false;
    bool full_ = false;
    double slowdownFactor_ = 1; ///< Factor by which the "slow" fault slows the stand-in down; 1 without the fault.
    std::uint64_t silenceCount_ = 0; ///< Number of "silence" faults injected so far.

private:
    /// Handles the common paths and passes all others to handleRequest().
    void dispatch(const HttpRequest &request, const HttpResponderPtr &responder);
    void setFault(const HttpRequest &request, const HttpResponderPtr &responder);
    void setDraining(const HttpRequest &request, const HttpResponderPtr &responder);
    void sendCalls(const HttpResponderPtr &responder) const;

    std::map<std::string, std::uint64_t> callsByRequest_;
    std::map<std::string, std::uint64_t> callsByKey_;
    std::vector<std::pair<HttpRequest, HttpResponderPtr>> frozenRequests_;
};

}
