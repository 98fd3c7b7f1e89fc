#include "entry/completionbody.h"

#include <boost/json/basic_parser_impl.hpp>

#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace Lentillock
{

namespace
{

// A chat body nests three levels: an object in an array in an object. Content parts would add two more.
constexpr std::size_t MaxDepth = 6;

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxModelBytes = 256;

/// SAX handler that stores only the members of a completion request, so that no document tree is built.
class CompletionBodyHandler
{
public:
    // The parser requires the names of these constants and of the functions below.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();
    // NOLINTEND(readability-identifier-naming)

    /// @p textSize is the size of the whole body, an upper bound for each string in it.
    CompletionBodyHandler(bool chat, std::size_t textSize)
        : chat_(chat)
    {
        // Growth by doubling could use up to twice the memory of a long prompt.
        body_.prompt.reserve(textSize);
    }

    using ErrorCode = boost::json::error_code;
    using StringView = boost::json::string_view;

    // NOLINTBEGIN(readability-identifier-naming)
    bool on_document_begin(ErrorCode & /*error*/)
    {
        return true;
    }

    bool on_document_end(ErrorCode & /*error*/)
    {
        return true;
    }

    bool on_object_begin(ErrorCode &error)
    {
        if (level_ == Level::None) {
            level_ = Level::Request;
            return true;
        }
        if (level_ == Level::Messages) {
            level_ = Level::Message;
            role_.clear();
            content_.clear();
            hasRole_ = false;
            hasContent_ = false;
            return true;
        }
        return wrongType(error);
    }

    bool on_object_end(std::size_t /*count*/, ErrorCode &error)
    {
        if (level_ == Level::Message) {
            level_ = Level::Messages;
            if (!hasRole_ || !hasContent_) {
                return fail(error, pointer(), "a message needs role and content");
            }
            body_.prompt += "<|" + role_ + "|>\n";
            body_.prompt += content_;
            body_.prompt += '\n';
            ++messages_;
            return true;
        }
        level_ = Level::Done;
        return true;
    }

    bool on_array_begin(ErrorCode &error)
    {
        if (level_ != Level::Request || memberName_ != "messages") {
            return wrongType(error);
        }
        level_ = Level::Messages;
        return true;
    }

    bool on_array_end(std::size_t /*count*/, ErrorCode & /*error*/)
    {
        level_ = Level::Request;
        return true;
    }

    bool on_key_part(StringView part, std::size_t /*count*/, ErrorCode &error)
    {
        partialMemberName_.append(part.data(), part.size());
        return partialMemberName_.size() <= MaxNameBytes
            || fail(error, parentPointer(), "a member name is longer than " + std::to_string(MaxNameBytes) + " bytes");
    }

    bool on_key(StringView part, std::size_t count, ErrorCode &error)
    {
        if (!on_key_part(part, count, error)) {
            return false;
        }
        memberName_ = std::move(partialMemberName_);
        partialMemberName_.clear();
        return checkMemberName(error);
    }

    bool on_string_part(StringView part, std::size_t /*count*/, ErrorCode &error)
    {
        std::string *target = stringTarget();
        if (target == nullptr) {
            return wrongType(error);
        }
        target->append(part.data(), part.size());
        if ((target == &body_.model || target == &role_) && target->size() > MaxModelBytes) {
            return fail(error, pointer(), "longer than " + std::to_string(MaxModelBytes) + " bytes");
        }
        return true;
    }

    bool on_string(StringView part, std::size_t count, ErrorCode &error)
    {
        if (!on_string_part(part, count, error)) {
            return false;
        }
        if (level_ == Level::Message && memberName_ == "role") {
            hasRole_ = true;
            return checkRole(error);
        }
        hasContent_ = hasContent_ || memberName_ == "content";
        return true;
    }

    bool on_number_part(StringView /*part*/, ErrorCode & /*error*/)
    {
        return true;
    }

    bool on_int64(std::int64_t number, StringView /*text*/, ErrorCode &error)
    {
        if (level_ != Level::Request || memberName_ != "max_tokens") {
            return wrongType(error);
        }
        if (number < 1 || number > static_cast<std::int64_t>(MaxTokensLimit)) {
            return fail(error, pointer(), "must be from 1 to " + std::to_string(MaxTokensLimit));
        }
        body_.maxTokens = static_cast<std::uint64_t>(number);
        return true;
    }

    bool on_uint64(std::uint64_t /*number*/, StringView /*text*/, ErrorCode &error)
    {
        // The parser calls this only for numbers above the range of std::int64_t.
        return memberName_ == "max_tokens" ? fail(error, pointer(), "must be from 1 to " + std::to_string(MaxTokensLimit)) : wrongType(error);
    }

    bool on_double(double /*number*/, StringView /*text*/, ErrorCode &error)
    {
        return wrongType(error);
    }

    bool on_bool(bool value, ErrorCode &error)
    {
        if (level_ != Level::Request || memberName_ != "stream") {
            return wrongType(error);
        }
        body_.stream = value;
        return true;
    }

    bool on_null(ErrorCode &error)
    {
        return wrongType(error);
    }

    bool on_comment_part(StringView /*part*/, ErrorCode & /*error*/)
    {
        return true;
    }

    bool on_comment(StringView /*part*/, ErrorCode & /*error*/)
    {
        return true;
    }
    // NOLINTEND(readability-identifier-naming)

    leaf::result<CompletionBody> finish()
    {
        if (!hasModel_ || body_.model.empty()) {
            return leaf::new_error(BodyError{"/model", "missing"});
        }
        if (!hasText_) {
            return leaf::new_error(BodyError{chat_ ? "/messages" : "/prompt", "missing"});
        }
        if (chat_) {
            if (messages_ == 0) {
                return leaf::new_error(BodyError{"/messages", "must not be empty"});
            }
            body_.prompt += "<|assistant|>\n";
        } else if (body_.prompt.empty()) {
            return leaf::new_error(BodyError{"/prompt", "must not be empty"});
        }
        if (body_.maxTokens == 0) {
            body_.maxTokens = DefaultMaxTokens;
        }
        return std::move(body_);
    }

    [[nodiscard]] const std::optional<BodyError> &bodyError() const
    {
        return bodyError_;
    }

private:
    enum class Level {
        None,
        Request,
        Messages,
        Message,
        Done,
    };

    [[nodiscard]] std::string parentPointer() const
    {
        return level_ == Level::Message ? "/messages/" + std::to_string(messages_) : std::string();
    }

    [[nodiscard]] std::string pointer() const
    {
        switch (level_) {
        case Level::Request:
            return '/' + memberName_;
        case Level::Messages:
            return "/messages/" + std::to_string(messages_);
        case Level::Message:
            return parentPointer() + '/' + memberName_;
        default:
            return {};
        }
    }

    bool fail(ErrorCode &error, std::string place, std::string message)
    {
        bodyError_ = BodyError{std::move(place), std::move(message)};
        error = boost::json::error::syntax;
        return false;
    }

    bool wrongType(ErrorCode &error)
    {
        if (level_ == Level::None) {
            return fail(error, "", "must be an object");
        }
        if (level_ == Level::Messages) {
            return fail(error, pointer(), "must be an object");
        }
        const bool integer = memberName_ == "max_tokens";
        const bool boolean = memberName_ == "stream";
        const bool array = memberName_ == "messages";
        return fail(error, pointer(), integer ? "must be an integer" : boolean ? "must be true or false" : array ? "must be an array" : "must be a string");
    }

    /// Rejects unknown members, which would otherwise be ignored without the caller noticing, and duplicate members, whose value would be ambiguous.
    bool checkMemberName(ErrorCode &error)
    {
        if (level_ == Level::Message) {
            bool &seen = memberName_ == "role" ? hasRole_ : hasContent_;
            if (memberName_ != "role" && memberName_ != "content") {
                return fail(error, pointer(), "unknown member; known are role and content");
            }
            return !seen || fail(error, pointer(), "given more than once");
        }
        const std::string_view text = chat_ ? "messages" : "prompt";
        bool *seen = memberName_ == "model" ? &hasModel_
            : memberName_ == text           ? &hasText_
            : memberName_ == "max_tokens"   ? &hasMaxTokens_
            : memberName_ == "stream"       ? &hasStream_
                                            : nullptr;
        if (seen == nullptr) {
            return fail(error, pointer(), "unknown member; known are model, " + std::string(text) + ", max_tokens and stream");
        }
        if (*seen) {
            return fail(error, pointer(), "given more than once");
        }
        *seen = true;
        return true;
    }

    bool checkRole(ErrorCode &error)
    {
        constexpr std::array<std::string_view, 3> roles{"system", "user", "assistant"};
        for (const std::string_view role : roles) {
            if (role_ == role) {
                return true;
            }
        }
        return fail(error, pointer(), "must be system, user or assistant");
    }

    std::string *stringTarget()
    {
        if (level_ == Level::Message) {
            return memberName_ == "role" ? &role_ : &content_;
        }
        if (level_ == Level::Request && memberName_ == "model") {
            return &body_.model;
        }
        return level_ == Level::Request && memberName_ == "prompt" ? &body_.prompt : nullptr;
    }

    bool chat_;
    Level level_ = Level::None;
    std::string partialMemberName_;
    std::string memberName_;
    std::string role_;
    std::string content_;
    bool hasRole_ = false;
    bool hasContent_ = false;
    bool hasModel_ = false;
    bool hasText_ = false;
    bool hasMaxTokens_ = false;
    bool hasStream_ = false;
    std::size_t messages_ = 0;
    CompletionBody body_;
    std::optional<BodyError> bodyError_;
};

leaf::result<CompletionBody> parse(std::string_view text, bool chat)
{
    boost::json::parse_options options;
    options.max_depth = MaxDepth;
    boost::json::basic_parser<CompletionBodyHandler> parser(options, chat, text.size());
    boost::json::error_code error;
    const std::size_t consumed = parser.write_some(false, text.data(), text.size(), error);
    if (parser.handler().bodyError()) {
        return leaf::new_error(*parser.handler().bodyError());
    }
    if (error) {
        return leaf::new_error(BodyError{"", "not valid JSON at byte " + std::to_string(consumed) + ": " + error.message()});
    }
    if (consumed != text.size()) {
        return leaf::new_error(BodyError{"", "not valid JSON at byte " + std::to_string(consumed) + ": text after the end"});
    }
    return parser.handler().finish();
}

}

leaf::result<CompletionBody> parseCompletionBody(std::string_view text)
{
    return parse(text, false);
}

leaf::result<CompletionBody> parseChatBody(std::string_view text)
{
    return parse(text, true);
}

}
