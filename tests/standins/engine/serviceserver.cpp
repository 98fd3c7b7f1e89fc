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

void ServiceServer::handleOwn(const HttpRequest &request, const HttpAnswerPtr &answer)
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
        answer->send(200, boost::json::serialize(body));
        return;
    }
    if (full_ || draining_) {
        refuse(answer, 503, full_ ? "the service is full" : "the service is draining", WasNotRun);
        return;
    }
    countCall(request);
    body["path"] = request.path;
    body["sha256"] = sha256Hex(request.body);
    answer->send(200, boost::json::serialize(body));
}

void ServiceServer::faultChanged()
{
}

}
