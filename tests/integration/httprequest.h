#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Lentillock
{

struct HttpAnswer {
    int status = 0; ///< 0 when the connection failed or ended early.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::chrono::milliseconds firstByte{0};
    std::chrono::milliseconds total{0};
    std::string error;
};

struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< "Name: value"
    std::string body;
    std::chrono::milliseconds timeout{30000};
};

/// Sends @p request on a new connection and waits for the whole answer.
HttpAnswer sendRequest(const HttpRequest &request);

}
