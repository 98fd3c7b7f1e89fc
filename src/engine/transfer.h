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

/// Parameters of an HTTP request to an endpoint.
struct TransferRequest {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< "Name: value"
    RequestPayload payload;
    bool newConnection = true;
    milliseconds connectTimeout{1000};
    milliseconds timeout{0}; ///< Limit for the whole transfer; 0 means none.
};

/// Outcome of a transfer.
struct TransferResult {
    CURLcode code = CURLE_OK;
    bool connectFailed = false; ///< The connection could not be established, so no byte of the request was sent.
    int status = 0;
    std::string contentType{};
    std::string message{}; ///< Description of the libcurl error, empty on success.
};

/// An HTTP request to an endpoint and its response: a libcurl easy handle and the data that its callbacks use.
class Transfer
{
public:
    /// Receive the response. They run on the thread that drives the multi handle.
    struct Callbacks {
        std::function<void(int status, const std::string &contentType)> head{}; ///< May be empty.
        std::function<bool(std::string_view bytes)> body; ///< Returns false to abort the transfer.
        std::function<void(const TransferResult &result)> done;
    };

    Transfer(TransferRequest request, Callbacks callbacks);
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    [[nodiscard]] CURL *handle() const;

    /// Returns the transfer that owns @p handle.
    static Transfer *fromHandle(CURL *handle);

    /// Calls the done callback. @p code is the result that libcurl reported.
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
