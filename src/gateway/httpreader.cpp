#include "gateway/httpreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace Lentillock
{

namespace http = boost::beast::http;

template<bool IsRequest>
HttpReader<IsRequest>::HttpReader(HttpReadLimits limits)
    : limits_(limits)
{
    reset();
}

template<bool IsRequest>
void HttpReader<IsRequest>::expectNoBody()
{
    parser_->skip(true);
}

template<bool IsRequest>
HttpReadState HttpReader<IsRequest>::feed(std::string_view bytes)
{
    pending_.append(bytes);
    parse();
    return state();
}

template<bool IsRequest>
HttpReadState HttpReader<IsRequest>::feedEnd()
{
    if (started_ && !error_ && !parser_->is_done()) {
        boost::beast::error_code error;
        parser_->put_eof(error);
        fail(error);
    }
    return state();
}

template<bool IsRequest>
HttpReadState HttpReader<IsRequest>::state() const
{
    if (error_) {
        return HttpReadState::Malformed;
    }
    if (parser_->is_done()) {
        return HttpReadState::Finished;
    }
    if (parser_->is_header_done()) {
        return HttpReadState::Body;
    }
    return started_ ? HttpReadState::Head : HttpReadState::Start;
}

template<bool IsRequest>
bool HttpReader<IsRequest>::exceedsHeadLimit() const
{
    return error_ == http::error::header_limit;
}

template<bool IsRequest>
bool HttpReader<IsRequest>::exceedsBodyLimit() const
{
    return error_ == http::error::body_limit;
}

template<bool IsRequest>
const HttpHead &HttpReader<IsRequest>::head() const
{
    return parser_->head;
}

template<bool IsRequest>
std::string HttpReader<IsRequest>::takeBody()
{
    return std::exchange(parser_->body, {});
}

template<bool IsRequest>
bool HttpReader<IsRequest>::hasUnreadBytes() const
{
    return !pending_.empty();
}

template<bool IsRequest>
std::size_t HttpReader<IsRequest>::heldBytes() const
{
    return parser_->body.size() + pending_.size();
}

template<bool IsRequest>
void HttpReader<IsRequest>::discard()
{
    pending_ = {};
    reset();
}

template<bool IsRequest>
HttpReadState HttpReader<IsRequest>::next()
{
    reset();
    parse();
    return state();
}

template<bool IsRequest>
void HttpReader<IsRequest>::reset()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(limits_.headBytes);
    parser_->body_limit(limits_.bodyBytes);
    parser_->maxBodyBytes = static_cast<std::size_t>(limits_.bodyBytes);
    error_ = {};
    started_ = false;
}

template<bool IsRequest>
void HttpReader<IsRequest>::parse()
{
    std::size_t used = 0;
    while (!error_ && !parser_->is_done() && used < pending_.size()) {
        boost::beast::error_code error;
        const std::size_t consumed = parser_->put(boost::asio::buffer(pending_.data() + used, pending_.size() - used), error);
        started_ = true;
        used += consumed;
        if (error == http::error::need_more) {
            break;
        }
        fail(error);
        if (parser_->is_header_done()) {
            parser_->head.keepAlive = parser_->keep_alive();
        }
        if (consumed == 0 && !error) {
            break;
        }
    }
    pending_.erase(0, used);
    // The parser does not limit chunk headers and trailers, and takes them only when they are complete.
    if (!error_ && !parser_->is_done() && pending_.size() > limits_.headBytes) {
        error_ = http::error::header_limit;
    }
}

template<bool IsRequest>
void HttpReader<IsRequest>::fail(const boost::beast::error_code &error)
{
    if (error) {
        error_ = error;
    }
}

template class HttpReader<true>;
template class HttpReader<false>;

}
