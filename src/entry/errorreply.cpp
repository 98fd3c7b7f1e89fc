#include "entry/errorreply.h"

#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace Lentillock
{

std::string_view runStateName(RunState state)
{
    constexpr std::array<std::string_view, 3> names{"was-not-run", "ran", "unknown"};
    return names.at(static_cast<std::size_t>(state));
}

std::string errorBody(const ErrorReply &error, const std::string &requestId)
{
    boost::json::object members{{"code", error.code}, {"message", error.message}, {"requestId", requestId}, {"runState", runStateName(error.runState)}};
    if (error.retryAfter) {
        members["retryAfterMs"] = error.retryAfter->count();
    }
    return boost::json::serialize(boost::json::object{{"error", std::move(members)}});
}

std::string_view statusText(int status)
{
    const auto text = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

}
