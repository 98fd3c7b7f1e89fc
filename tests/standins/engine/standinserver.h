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

/// What all stand-ins of endpoints have in common: faults, draining and counts of calls.
///
/// Requests are handled one at a time, with the mutex held.
class StandInServer
{
public:
    StandInServer() = default;
    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;
    virtual ~StandInServer() = default;

    void handle(HttpRequest request, HttpAnswerPtr answer);

protected:
    using RealClock = std::chrono::steady_clock;

    static constexpr const char *WasNotRun = "was-not-run";

    /// Handles everything but the common paths.
    virtual void handleOwn(const HttpRequest &request, const HttpAnswerPtr &answer) = 0;
    /// Called when the fault has changed.
    virtual void faultChanged() = 0;

    void countCall(const HttpRequest &request);
    static void refuse(const HttpAnswerPtr &answer, int status, const std::string &message, const char *runState);
    static std::string header(const HttpRequest &request, const std::string &name);

    std::mutex mutex_;
    bool draining_ = false;
    bool frozen_ = false;
    bool full_ = false;
    double slowFactor_ = 1; ///< The stand-in is this many times slower than usual.
    std::uint64_t silences_ = 0; ///< How often open connections have been told to go silent.

private:
    void handleCommonOrOwn(const HttpRequest &request, const HttpAnswerPtr &answer);
    void setFault(const HttpRequest &request, const HttpAnswerPtr &answer);
    void setDraining(const HttpRequest &request, const HttpAnswerPtr &answer);
    void sendCalls(const HttpAnswerPtr &answer) const;

    std::map<std::string, std::uint64_t> callsByRequest_;
    std::map<std::string, std::uint64_t> callsByKey_;
    std::vector<std::pair<HttpRequest, HttpAnswerPtr>> frozenRequests_;
};

}
