#include "base/jsonreader.h"

#include <boost/json/parser.hpp>

#include <algorithm>
#include <numeric>

namespace Lentillock
{

namespace
{

/// Maximum edit distance at which a known name is suggested as a correction.
constexpr std::size_t MaxSuggestionDistance = 3;

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

std::string rangeText(const std::string &minimum, const std::string &maximum)
{
    return "must be from " + minimum + " to " + maximum;
}

}

JsonReader::JsonReader(const boost::json::value &value, std::string source, std::string pointer, Findings &findings)
    : object_(value.if_object())
    , source_(std::move(source))
    , pointer_(std::move(pointer))
    , findings_(findings)
{
    if (object_ == nullptr) {
        findings_.addError(source_, pointer_, "must be an object");
    }
}

const boost::json::value *JsonReader::member(std::string_view name)
{
    knownNames_.emplace(name);
    return object_ == nullptr ? nullptr : object_->if_contains(name);
}

std::string JsonReader::requiredString(std::string_view name)
{
    if (object_ != nullptr && member(name) == nullptr) {
        addError(name, "is missing");
        return {};
    }
    return string(name, {});
}

std::string JsonReader::string(std::string_view name, std::string_view defaultValue)
{
    const boost::json::value *value = member(name);
    if (value == nullptr) {
        return std::string(defaultValue);
    }
    const boost::json::string *text = value->if_string();
    if (text == nullptr) {
        addError(name, "must be a string");
        return std::string(defaultValue);
    }
    return {text->data(), text->size()};
}

std::int64_t JsonReader::requiredInteger(std::string_view name, std::int64_t minimum, std::int64_t maximum)
{
    if (object_ != nullptr && member(name) == nullptr) {
        addError(name, "is missing");
        return minimum;
    }
    return integer(name, minimum, minimum, maximum);
}

std::int64_t JsonReader::integer(std::string_view name, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum)
{
    const boost::json::value *value = member(name);
    if (value == nullptr) {
        return defaultValue;
    }
    boost::json::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    if (error || value->is_double()) {
        addError(name, "must be an integer");
        return defaultValue;
    }
    if (number < minimum || number > maximum) {
        addError(name, rangeText(std::to_string(minimum), std::to_string(maximum)));
        return defaultValue;
    }
    return number;
}

double JsonReader::number(std::string_view name, double defaultValue, double minimum, double maximum)
{
    const boost::json::value *value = member(name);
    if (value == nullptr) {
        return defaultValue;
    }
    boost::json::error_code error;
    const auto number = value->to_number<double>(error);
    if (error) {
        addError(name, "must be a number");
        return defaultValue;
    }
    if (!(number >= minimum && number <= maximum)) {
        addError(name, rangeText(std::to_string(minimum), std::to_string(maximum)));
        return defaultValue;
    }
    return number;
}

bool JsonReader::boolean(std::string_view name, bool defaultValue)
{
    const boost::json::value *value = member(name);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_bool()) {
        addError(name, "must be true or false");
        return defaultValue;
    }
    return value->get_bool();
}

std::vector<std::string> JsonReader::strings(std::string_view name)
{
    std::vector<std::string> result;
    const boost::json::value *value = member(name);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        addError(name, "must be an array of strings");
        return result;
    }
    std::size_t index = 0;
    for (const boost::json::value &element : value->get_array()) {
        if (element.is_string()) {
            result.emplace_back(element.get_string().data(), element.get_string().size());
        } else {
            findings_.addError(source_, pointerTo(name) + '/' + std::to_string(index), "must be a string");
        }
        ++index;
    }
    return result;
}

std::string JsonReader::pointerTo(std::string_view name) const
{
    std::string pointer = pointer_ + '/';
    for (const char character : name) {
        if (character == '~') {
            pointer += "~0";
        } else if (character == '/') {
            pointer += "~1";
        } else {
            pointer += character;
        }
    }
    return pointer;
}

const std::string &JsonReader::source() const
{
    return source_;
}

Findings &JsonReader::findings()
{
    return findings_;
}

void JsonReader::addError(std::string_view name, std::string message)
{
    findings_.addError(source_, pointerTo(name), std::move(message));
}

void JsonReader::finish()
{
    if (object_ == nullptr) {
        return;
    }
    for (const auto &entry : *object_) {
        if (knownNames_.contains(entry.key())) {
            continue;
        }
        const std::string nearest = nearestKnownName(entry.key());
        addError(entry.key(), nearest.empty() ? "is not a known member" : "is not a known member; did you mean \"" + nearest + "\"?");
    }
}

std::string JsonReader::nearestKnownName(std::string_view name) const
{
    std::string nearest;
    std::size_t nearestDistance = MaxSuggestionDistance + 1;
    for (const std::string &known : knownNames_) {
        const std::size_t distance = editDistance(name, known);
        if (distance < nearestDistance) {
            nearestDistance = distance;
            nearest = known;
        }
    }
    return nearest;
}

std::optional<boost::json::value> parseJson(std::string_view text, const std::string &source, Findings &findings)
{
    boost::json::parser parser;
    boost::json::error_code error;
    const std::size_t consumed = parser.write(text.data(), text.size(), error);
    if (error) {
        findings.addError(source, "", "malformed JSON at byte " + std::to_string(consumed) + ": " + error.message());
        return std::nullopt;
    }
    return parser.release();
}

}
