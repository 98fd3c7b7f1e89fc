#include "engine/transfer.h"

#include <array>

namespace Lentillock
{

namespace
{

constexpr long ReceiveBufferBytes = 64L * 1024;
constexpr long SendBufferBytes = 256L * 1024;

}

Transfer::Transfer(TransferRequest request, Callbacks callbacks)
    : request_(std::move(request))
    , callbacks_(std::move(callbacks))
    , handle_(curl_easy_init(), curl_easy_cleanup)
    , headers_(nullptr, curl_slist_free_all)
    , errorText_(CURL_ERROR_SIZE, '\0')
{
    CURL *curl = handle_.get();
    // Without an empty Expect header libcurl waits up to 1 s for "100 Continue" before it sends a long body.
    request_.headers.emplace_back("Expect:");
    for (const std::string &header : request_.headers) {
        headers_.reset(curl_slist_append(headers_.release(), header.c_str()));
    }
    curl_easy_setopt(curl, CURLOPT_PRIVATE, this);
    curl_easy_setopt(curl, CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
    // Paths are sent to the endpoint as the caller wrote them, without removing ".." segments.
    curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    // Ignores proxy settings from the environment: the entry must connect to its endpoints directly.
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request_.connectTimeout.count()));
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(request_.timeout.count()));
    curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, errorText_.data());
    curl_easy_setopt(curl, CURLOPT_BUFFERSIZE, ReceiveBufferBytes);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Transfer::writeBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &Transfer::readHeader);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
    if (request_.newConnection) {
        curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    }
    if (request_.payload.size() > 0 || request_.method == "POST") {
        curl_easy_setopt(curl, CURLOPT_POST, 1L);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request_.payload.size()));
        curl_easy_setopt(curl, CURLOPT_READFUNCTION, &Transfer::readPayload);
        curl_easy_setopt(curl, CURLOPT_READDATA, this);
        curl_easy_setopt(curl, CURLOPT_SEEKFUNCTION, &Transfer::seekPayload);
        curl_easy_setopt(curl, CURLOPT_SEEKDATA, this);
        curl_easy_setopt(curl, CURLOPT_UPLOAD_BUFFERSIZE, SendBufferBytes);
    }
    if (request_.method == "HEAD") {
        curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
    } else if (request_.method != "GET" || request_.payload.size() > 0) {
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers_.get());
}

Transfer::~Transfer() = default;

CURL *Transfer::handle() const
{
    return handle_.get();
}

Transfer *Transfer::fromHandle(CURL *handle)
{
    char *pointer = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &pointer);
    return reinterpret_cast<Transfer *>(pointer);
}

void Transfer::finish(CURLcode code)
{
    curl_off_t connectTime = 0;
    long sentBytes = 0;
    curl_easy_getinfo(handle_.get(), CURLINFO_CONNECT_TIME_T, &connectTime);
    curl_easy_getinfo(handle_.get(), CURLINFO_REQUEST_SIZE, &sentBytes);
    TransferResult result{.code = code, .status = status(), .contentType = contentType()};
    const bool failedBeforeConnecting = code == CURLE_COULDNT_CONNECT || (code == CURLE_OPERATION_TIMEDOUT && connectTime == 0);
    result.connectFailed = failedBeforeConnecting && sentBytes == 0;
    if (code != CURLE_OK) {
        result.message = errorText_.front() == '\0' ? curl_easy_strerror(code) : errorText_.c_str();
    }
    callbacks_.done(result);
}

std::size_t Transfer::writeBody(char *data, std::size_t size, std::size_t count, void *self)
{
    const std::size_t length = size * count;
    return static_cast<Transfer *>(self)->callbacks_.body({data, length}) ? length : CURL_WRITEFUNC_ERROR;
}

std::size_t Transfer::readHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    const std::string_view line(data, size * count);
    constexpr int firstFinalStatus = 200;
    if (line == "\r\n" && transfer->callbacks_.head && transfer->status() >= firstFinalStatus) {
        transfer->callbacks_.head(transfer->status(), transfer->contentType());
    }
    return size * count;
}

std::size_t Transfer::readPayload(char *buffer, std::size_t size, std::size_t count, void *self)
{
    return static_cast<Transfer *>(self)->request_.payload.read(buffer, size * count);
}

int Transfer::seekPayload(void *self, curl_off_t offset, int origin)
{
    if (offset != 0 || origin != SEEK_SET) {
        return CURL_SEEKFUNC_CANTSEEK;
    }
    static_cast<Transfer *>(self)->request_.payload.rewind();
    return CURL_SEEKFUNC_OK;
}

int Transfer::status() const
{
    long code = 0;
    curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &code);
    return static_cast<int>(code);
}

std::string Transfer::contentType() const
{
    char *type = nullptr;
    curl_easy_getinfo(handle_.get(), CURLINFO_CONTENT_TYPE, &type);
    return type == nullptr ? std::string() : std::string(type);
}

}
