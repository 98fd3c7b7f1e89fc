#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Lentillock
{

namespace leaf = boost::leaf;

/// Parsed body of a completion request.
struct CompletionBody {
    std::string model;
    std::string prompt; ///< For a chat completion, the messages joined into one text.
    std::uint64_t maxTokens = 0;
    bool stream = false;

    bool operator==(const CompletionBody &) const = default;
};

/// The first error in a body and its position.
struct BodyError {
    std::string pointer; ///< JSON pointer to the invalid value.
    std::string message;
};

/// Used if the request has no max_tokens.
constexpr std::uint64_t DefaultMaxTokens = 256;

constexpr std::uint64_t MaxTokensLimit = 1'000'000;

/// Parses the body of `/v1/completions`. Errors are BodyError values. Memory use is bounded by the size of @p text, whatever it contains.
leaf::result<CompletionBody> parseCompletionBody(std::string_view text);

/// Parses the body of `/v1/chat/completions`.
leaf::result<CompletionBody> parseChatBody(std::string_view text);

}
