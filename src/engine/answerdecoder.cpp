#include "engine/answerdecoder.h"

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

// Covers usual events, so that parsing them allocates nothing.
constexpr std::size_t ParseBufferBytes = 4096;

// Upper bound of positions and token counts; larger numbers can only be a fault of the endpoint.
constexpr std::uint64_t MaxPosition = 1ULL << 40;

std::optional<std::uint64_t> count(const boost::json::object &object, std::string_view name)
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

std::optional<std::uint64_t> positionOf(const std::string &id)
{
    std::uint64_t position = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), position);
    if (error != std::errc() || end != id.data() + id.size() || position > MaxPosition) {
        return std::nullopt;
    }
    return position;
}

}

AnswerDecoder::AnswerDecoder(AttemptId attempt)
    : attempt_(std::move(attempt))
{
}

std::optional<std::string> AnswerDecoder::decode(std::string_view bytes, std::vector<DispatchInput> &inputs)
{
    if (ended_) {
        return std::nullopt;
    }
    std::vector<SseEvent> events;
    const bool withinLimit = reader_.feed(bytes, events);
    for (const SseEvent &event : events) {
        if (auto fault = decodeEvent(event, inputs)) {
            return fault;
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

bool AnswerDecoder::ended() const
{
    return ended_;
}

std::optional<std::string> AnswerDecoder::decodeEvent(const SseEvent &event, std::vector<DispatchInput> &inputs)
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
        const auto position = count(object, "position");
        if (!finish->is_string() || !position) {
            return "the endpoint sent a malformed end marker";
        }
        AttemptEnded message{.attempt = attempt_, .position = *position, .finishReason = std::string(finish->get_string())};
        const boost::json::value *usage = object.if_contains("usage");
        if (usage != nullptr && usage->is_object()) {
            message.promptTokens = count(usage->get_object(), "prompt_tokens").value_or(0);
            message.cachedTokens = count(usage->get_object(), "cached_tokens").value_or(0);
        }
        inputs.emplace_back(std::move(message));
        ended_ = true;
        return std::nullopt;
    }
    const boost::json::value *text = object.if_contains("text");
    const auto tokens = count(object, "tokens");
    const auto position = positionOf(event.id);
    if (text == nullptr || !text->is_string() || !tokens || !position) {
        return "the endpoint sent an event without text, tokens or position";
    }
    inputs.emplace_back(AttemptChunk{.attempt = attempt_, .position = *position, .length = *tokens, .text = std::string(text->get_string())});
    return std::nullopt;
}

}
