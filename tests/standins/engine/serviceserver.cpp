#include "standins/engine/serviceserver.h"

#include "base/hash.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace Lentillock
{

ServiceServer::ServiceServer(std::string generation)
    : generation_(std::move(generation))
{
}

void ServiceServer::handleRequest(const HttpRequest &request, const HttpResponderPtr &responder)
{
    boost::json::object body;
    if (request.path == "/v1/load") {
        body = {{"generation", generation_},
                {"draining", draining_},
                {"models", boost::json::array()},
                {"totalTokens", 0},
                {"freeTokens", 0},
                {"queuedTokens", 0},
                {"running", 0},
                {"ageMs", 0}};
        responder->send(200, boost::json::serialize(body));
        return;
    }
    if (full_ || draining_) {
        refuse(responder, 503, full_ ? "the service is full" : "the service is draining", WasNotRun);
        return;
    }
    countCall(request);
    body["path"] = request.path;
    body["sha256"] = sha256Hex(request.body);
    responder->send(200, boost::json::serialize(body));
}

void ServiceServer::onFaultChanged()
{
}

}
