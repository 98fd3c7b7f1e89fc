#include "platform/httpclient.h"

#include <curl/curl.h>

#include <algorithm>
#include <mutex>
#include <new>

namespace Lentillock
{

namespace
{

/// Limit for a response body. A batch of log records with a snapshot is much smaller.
constexpr std::size_t MaxResponseBytes = 256UL * 1024 * 1024;

void initializeCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *body = static_cast<std::string *>(target);
    if (body->size() + size * count > MaxResponseBytes) {
        return 0;
    }
    body->append(data, size * count);
    return size * count;
}

}

struct HttpClient::Handle {
    Handle()
    {
        initializeCurl();
        easy = curl_easy_init();
        if (easy == nullptr) {
            throw std::bad_alloc();
        }
        headers = curl_slist_append(headers, "Content-Type: application/json");
        // Without an empty Expect header, libcurl waits for "100 Continue" before it sends a large body.
        headers = curl_slist_append(headers, "Expect:");
    }

    Handle(const Handle &) = delete;
    Handle &operator=(const Handle &) = delete;

    ~Handle()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }

    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
};

HttpClient::HttpClient(std::string baseUrl)
    : baseUrl_(std::move(baseUrl))
    , handle_(std::make_unique<Handle>())
{
}

HttpClient::~HttpClient() = default;

leaf::result<HttpResponse> HttpClient::get(const std::string &path, milliseconds timeout)
{
    return perform(path, nullptr, timeout);
}

leaf::result<HttpResponse> HttpClient::post(const std::string &path, const std::string &body, milliseconds timeout)
{
    return perform(path, &body, timeout);
}

leaf::result<HttpResponse> HttpClient::perform(const std::string &path, const std::string *body, milliseconds timeout)
{
    CURL *easy = handle_->easy;
    HttpResponse response;
    const std::string url = baseUrl_ + path;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1L, timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, handle_->headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.body);
    if (body != nullptr) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body->size()));
    }
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, body != nullptr || freshConnection_ ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, body != nullptr ? 1L : 0L);

    const CURLcode code = curl_easy_perform(easy);
    freshConnection_ = code != CURLE_OK;
    if (code != CURLE_OK) {
        long sentBytes = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        return leaf::new_error(sentBytes == 0 ? HttpError::NotSent : HttpError::NoResponse);
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    curl_off_t retryAfterSeconds = 0;
    curl_easy_getinfo(easy, CURLINFO_RETRY_AFTER, &retryAfterSeconds);
    if (retryAfterSeconds > 0) {
        response.retryAfter = milliseconds(retryAfterSeconds * 1000);
    }
    return response;
}

std::string HttpClient::percentEncode(std::string_view segment)
{
    std::string result;
    constexpr std::string_view digits = "0123456789ABCDEF";
    for (const char character : segment) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isUnreserved = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
            || character == '-' || character == '.' || character == '_' || character == '~';
        if (isUnreserved) {
            result += character;
        } else {
            result += '%';
            result += digits[byte >> 4U];
            result += digits[byte & 0xFU];
        }
    }
    return result;
}

}
