#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Lentillock
{

namespace leaf = boost::leaf;

/// What the body of a completion request says.
struct CompletionBody {
    std::string model;
    std::string prompt; ///< Of chat completions, the messages as one text.
    std::uint64_t maxTokens = 0;
    bool stream = false;

    bool operator==(const CompletionBody &) const = default;
};

/// The first fault of a body, with its place.
struct BodyError {
    std::string pointer; ///< JSON pointer.
    std::string message;
};

/// Tokens generated when the request does not say how many.
constexpr std::uint64_t DefaultMaxTokens = 256;

constexpr std::uint64_t MaxTokensLimit = 1'000'000;

/// Reads the body of `/v1/completions`. Errors are BodyError values. Memory stays within the size of @p text, whatever it contains.
leaf::result<CompletionBody> parseCompletionBody(std::string_view text);

/// Reads the body of `/v1/chat/completions`.
leaf::result<CompletionBody> parseChatBody(std::string_view text);

}
