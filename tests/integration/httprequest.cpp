#include "integration/httprequest.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace Lentillock
{

namespace
{

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<TestResponse *>(target)->body.append(data, size * count);
    return size * count;
}

std::size_t appendHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        const std::size_t end = line.find_last_not_of("\r\n");
        static_cast<TestResponse *>(target)->headers[name] = begin == std::string::npos || end < begin ? "" : line.substr(begin, end - begin + 1);
    }
    return size * count;
}

std::chrono::milliseconds timeInfo(CURL *handle, CURLINFO info)
{
    curl_off_t microseconds = 0;
    curl_easy_getinfo(handle, info, &microseconds);
    return std::chrono::milliseconds(microseconds / 1000);
}

}

TestResponse sendRequest(const HttpRequest &request)
{
    TestResponse response;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), curl_easy_cleanup);
    curl_slist *rawHeaders = nullptr;
    for (const std::string &header : request.headers) {
        rawHeaders = curl_slist_append(rawHeaders, header.c_str());
    }
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(rawHeaders, curl_slist_free_all);
    curl_easy_setopt(handle.get(), CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    if (!request.body.empty()) {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, appendHeader);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &response);
    const CURLcode result = curl_easy_perform(handle.get());
    if (result == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
        response.status = static_cast<int>(status);
    } else {
        response.error = curl_easy_strerror(result);
    }
    response.timeToFirstByte = timeInfo(handle.get(), CURLINFO_STARTTRANSFER_TIME_T);
    response.totalTime = timeInfo(handle.get(), CURLINFO_TOTAL_TIME_T);
    return response;
}

}
