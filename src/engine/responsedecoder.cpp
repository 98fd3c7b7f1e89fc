#include "engine/responsedecoder.h"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace Lentillock
{

namespace
{

// Large enough to parse an ordinary event without allocating memory.
constexpr std::size_t ParseBufferBytes = 4096;

// Upper bound of positions and token counts. A larger number can only be an endpoint error.
constexpr std::uint64_t MaxPosition = 1ULL << 40;

std::optional<std::uint64_t> readCount(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    boost::json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || number > MaxPosition) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> parsePosition(const std::string &id)
{
    std::uint64_t position = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), position);
    if (error != std::errc() || end != id.data() + id.size() || position > MaxPosition) {
        return std::nullopt;
    }
    return position;
}

}

ResponseDecoder::ResponseDecoder(AttemptId attempt)
    : attempt_(std::move(attempt))
{
}

std::optional<std::string> ResponseDecoder::decode(std::string_view bytes, std::vector<DispatchInput> &inputs)
{
    if (ended_) {
        return std::nullopt;
    }
    std::vector<SseEvent> events;
    const bool withinLimit = reader_.feed(bytes, events);
    for (const SseEvent &event : events) {
        if (auto decodeError = decodeEvent(event, inputs)) {
            return decodeError;
        }
        if (ended_) {
            return std::nullopt;
        }
    }
    if (!withinLimit) {
        return "the endpoint sent an event of more than " + std::to_string(SseReader::DefaultMaxEventBytes) + " bytes";
    }
    return std::nullopt;
}

bool ResponseDecoder::ended() const
{
    return ended_;
}

std::optional<std::string> ResponseDecoder::decodeEvent(const SseEvent &event, std::vector<DispatchInput> &inputs)
{
    std::array<unsigned char, ParseBufferBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): written before it is read
    boost::json::monotonic_resource resource(buffer.data(), buffer.size());
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(event.data, error, &resource);
    if (error || !value.is_object()) {
        return "the endpoint sent an event that is not a JSON object";
    }
    const boost::json::object &object = value.get_object();
    if (const boost::json::value *finish = object.if_contains("finish")) {
        const auto position = readCount(object, "position");
        if (!finish->is_string() || !position) {
            return "the endpoint sent a malformed end marker";
        }
        AttemptEnded message{.attempt = attempt_, .position = *position, .finishReason = std::string(finish->get_string())};
        const boost::json::value *usage = object.if_contains("usage");
        if (usage != nullptr && usage->is_object()) {
            message.promptTokens = readCount(usage->get_object(), "prompt_tokens").value_or(0);
            message.cachedTokens = readCount(usage->get_object(), "cached_tokens").value_or(0);
        }
        inputs.emplace_back(std::move(message));
        ended_ = true;
        return std::nullopt;
    }
    const boost::json::value *text = object.if_contains("text");
    const auto tokens = readCount(object, "tokens");
    const auto position = parsePosition(event.id);
    if (text == nullptr || !text->is_string() || !tokens || !position) {
        return "the endpoint sent an event without text, tokens or position";
    }
    inputs.emplace_back(AttemptChunk{.attempt = attempt_, .position = *position, .length = *tokens, .text = std::string(text->get_string())});
    return std::nullopt;
}

}
