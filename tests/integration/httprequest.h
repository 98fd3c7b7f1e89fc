#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Lentillock
{

struct TestResponse {
    int status = 0; ///< 0 if the request failed or the response is incomplete.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::chrono::milliseconds timeToFirstByte{0};
    std::chrono::milliseconds totalTime{0};
    std::string error;
};

struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< Each in the form "Name: value".
    std::string body;
    std::chrono::milliseconds timeout{30000};
};

/// Sends @p request on a new connection and waits for the complete response.
TestResponse sendRequest(const HttpRequest &request);

}
