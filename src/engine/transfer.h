#pragma once

#include "base/time.h"
#include "engine/requestpayload.h"

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lentillock
{

/// What is needed to start a call to an endpoint.
struct TransferRequest {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< "Name: value"
    RequestPayload payload;
    bool newConnection = true;
    milliseconds connectTimeout{1000};
    milliseconds timeout{0}; ///< Of the whole call; 0 means none.
};

/// How a call ended.
struct TransferResult {
    CURLcode code = CURLE_OK;
    bool connectFailed = false; ///< The connection was not established, so no byte of the request was sent.
    int status = 0;
    std::string contentType{};
    std::string message{}; ///< Description of an error of the connection.
};

/// One call to an endpoint: a libcurl easy handle and what its callbacks need.
class Transfer
{
public:
    /// Receivers of the answer; called from the task that drives the multi handle.
    struct Callbacks {
        std::function<void(int status, const std::string &contentType)> head{}; ///< May be empty.
        std::function<bool(std::string_view bytes)> body; ///< Returns false to end the call.
        std::function<void(const TransferResult &result)> done;
    };

    Transfer(TransferRequest request, Callbacks callbacks);
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    [[nodiscard]] CURL *handle() const;

    /// The transfer that a handle belongs to.
    static Transfer *of(CURL *handle);

    /// Reports the end of the call; @p code is libcurl's.
    void finish(CURLcode code);

private:
    static std::size_t writeBody(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t readPayload(char *buffer, std::size_t size, std::size_t count, void *self);
    static int seekPayload(void *self, curl_off_t offset, int origin);

    [[nodiscard]] int status() const;
    [[nodiscard]] std::string contentType() const;

    TransferRequest request_;
    Callbacks callbacks_;
    std::unique_ptr<CURL, void (*)(CURL *)> handle_;
    std::unique_ptr<curl_slist, void (*)(curl_slist *)> headers_;
    std::string errorText_;
};

}
