#include "standins/engine/standinserver.h"

#include "base/findings.h"
#include "base/jsonreader.h"

#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <utility>

namespace Lentillock
{

namespace
{

boost::json::object countsToJson(const std::map<std::string, std::uint64_t> &counts)
{
    boost::json::object object;
    for (const auto &[name, count] : counts) {
        object[name] = count;
    }
    return object;
}

}

void StandInServer::handle(HttpRequest request, HttpResponderPtr responder)
{
    const std::lock_guard lock(mutex_);
    if (frozen_ && request.path != "/fault") {
        frozenRequests_.emplace_back(std::move(request), std::move(responder));
        return;
    }
    dispatch(request, responder);
}

void StandInServer::dispatch(const HttpRequest &request, const HttpResponderPtr &responder)
{
    if (request.path == "/fault" && request.method == "POST") {
        setFault(request, responder);
    } else if (request.path == "/draining" && request.method == "PUT") {
        setDraining(request, responder);
    } else if (request.path == "/calls" && request.method == "GET") {
        sendCalls(responder);
    } else {
        handleRequest(request, responder);
    }
}

void StandInServer::setFault(const HttpRequest &request, const HttpResponderPtr &responder)
{
    Findings findings;
    const boost::json::value json = parseJson(request.body, "fault", findings).value_or(boost::json::value());
    JsonReader reader(json, "fault", "", findings);
    const std::string fault = reader.requiredString("fault");
    const double factor = reader.number("factor", 10, 0.001, 1e6);
    reader.finish();
    if (fault == "die") {
        std::_Exit(EXIT_FAILURE);
    }
    frozen_ = fault == "freeze";
    full_ = fault == "full";
    slowdownFactor_ = fault == "slow" ? factor : 1;
    silenceCount_ += fault == "silence" ? 1 : 0;
    onFaultChanged();
    responder->send(200, "{}");
    if (!frozen_) {
        for (const auto &[waiting, waitingResponder] : std::exchange(frozenRequests_, {})) {
            dispatch(waiting, waitingResponder);
        }
    }
}

void StandInServer::setDraining(const HttpRequest &request, const HttpResponderPtr &responder)
{
    Findings findings;
    const boost::json::value json = parseJson(request.body.empty() ? "{}" : request.body, "draining", findings).value_or(boost::json::value());
    JsonReader reader(json, "draining", "", findings);
    draining_ = reader.boolean("draining", true);
    responder->send(200, "{}");
}

void StandInServer::sendCalls(const HttpResponderPtr &responder) const
{
    boost::json::object calls;
    calls["requests"] = countsToJson(callsByRequest_);
    calls["keys"] = countsToJson(callsByKey_);
    responder->send(200, boost::json::serialize(calls));
}

void StandInServer::countCall(const HttpRequest &request)
{
    if (const std::string id = header(request, "x-request-id"); !id.empty()) {
        ++callsByRequest_[id];
    }
    if (const std::string key = header(request, "idempotency-key"); !key.empty()) {
        ++callsByKey_[key];
    }
}

void StandInServer::refuse(const HttpResponderPtr &responder, int status, const std::string &message, const char *runState)
{
    boost::json::object error;
    error["message"] = message;
    error["runState"] = runState;
    boost::json::object body;
    body["error"] = std::move(error);
    responder->send(status, boost::json::serialize(body));
}

std::string StandInServer::header(const HttpRequest &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

}
