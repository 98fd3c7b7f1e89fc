#pragma once

#include "gateway/httphead.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Progress of a reader within the current message.
enum class HttpReadState {
    Start, ///< No byte of the message has arrived.
    Head, ///< The head is incomplete.
    Body, ///< The head is complete, the body is not.
    Finished, ///< The message is complete.
    Malformed,
};

namespace detail
{

/// Up to this size, the body of a message in chunks grows as it arrives. A larger one gets the most that it may need: a string that grows takes up to three
/// times its size for a moment, while memory that was reserved is not in use before bytes arrive.
inline constexpr std::size_t MaxGrowingBytes = 64UL * 1024;

/// Stores the parts of one message as Boost.Beast's incremental parser reports them.
template<bool IsRequest>
class HttpCollector : public boost::beast::http::basic_parser<IsRequest>
{
public:
    HttpHead head;
    std::string body;
    std::size_t maxBodyBytes = 0;

private:
    using Text = boost::beast::string_view;
    using ErrorCode = boost::beast::error_code;

    void on_request_impl(boost::beast::http::verb /*method*/, Text method, Text target, int /*version*/, ErrorCode & /*error*/) override
    {
        head.method.assign(method.data(), method.size());
        head.target.assign(target.data(), target.size());
    }

    void on_response_impl(int status, Text reason, int /*version*/, ErrorCode & /*error*/) override
    {
        head.status = static_cast<unsigned>(status);
        head.reason.assign(reason.data(), reason.size());
    }

    void on_field_impl(boost::beast::http::field /*field*/, Text name, Text value, ErrorCode & /*error*/) override
    {
        head.fields.emplace_back(std::string(name.data(), name.size()), std::string(value.data(), value.size()));
    }

    void on_header_impl(ErrorCode & /*error*/) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode & /*error*/) override
    {
        if (length) {
            body.reserve(static_cast<std::size_t>(*length));
        }
    }

    std::size_t on_body_impl(Text data, ErrorCode & /*error*/) override
    {
        body.append(data.data(), data.size());
        return data.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/, ErrorCode & /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, Text data, ErrorCode & /*error*/) override
    {
        if (body.size() + data.size() > std::max(body.capacity(), MaxGrowingBytes)) {
            body.reserve(maxBodyBytes);
        }
        body.append(data.data(), data.size());
        return data.size();
    }

    void on_finish_impl(ErrorCode & /*error*/) override
    {
    }
};

}

/// Limits on the size of one message, in bytes.
struct HttpReadLimits {
    std::uint32_t headBytes = 0; ///< Of the head, of one chunk header, and of the trailer.
    std::uint64_t bodyBytes = 0;
};

/// Incremental parser for the messages in one direction of a connection. Bytes after a message are kept for the next message.
template<bool IsRequest>
class HttpReader
{
public:
    explicit HttpReader(HttpReadLimits limits);

    /// Treats the next message as having no body, whatever its fields say, as for the response to HEAD. Call before its first byte.
    void expectNoBody();

    /// Appends @p bytes and parses as far as possible.
    HttpReadState feed(std::string_view bytes);

    /// Called when the peer has closed its side. Completes a body that is delimited by the end of the connection.
    HttpReadState feedEnd();

    [[nodiscard]] HttpReadState state() const;
    [[nodiscard]] bool exceedsHeadLimit() const;
    [[nodiscard]] bool exceedsBodyLimit() const;

    /// Complete from state Body on.
    [[nodiscard]] const HttpHead &head() const;

    /// Returns and removes the part of the body that has arrived since the last call.
    std::string takeBody();

    [[nodiscard]] bool hasUnreadBytes() const;

    /// Number of bytes of the body and of what follows it that have arrived and were not taken.
    [[nodiscard]] std::size_t heldBytes() const;

    /// Frees what has arrived. The reader cannot be used afterwards.
    void discard();

    /// Discards the finished message and parses the bytes that followed it.
    HttpReadState next();

private:
    void reset();
    void parse();
    void fail(const boost::beast::error_code &error);

    HttpReadLimits limits_;
    std::string pending_;
    std::optional<detail::HttpCollector<IsRequest>> parser_;
    boost::beast::error_code error_;
    bool started_ = false;
};

using HttpRequestReader = HttpReader<true>;
using HttpResponseReader = HttpReader<false>;

extern template class HttpReader<true>;
extern template class HttpReader<false>;

}
