#pragma once

#include "base/findings.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Reads the members of a JSON object and collects a finding for each missing, mistyped, out-of-range or unknown member.
///
/// Call finish() after reading the last member. It reports each unknown member, with the nearest known name as a suggestion.
class JsonReader
{
public:
    /// @p value may have any type; a finding is added if it is not an object.
    JsonReader(const boost::json::value &value, std::string source, std::string pointer, Findings &findings);

    std::string requiredString(std::string_view name);
    std::string string(std::string_view name, std::string_view defaultValue);
    std::int64_t requiredInteger(std::string_view name, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(std::string_view name, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum);
    double number(std::string_view name, double defaultValue, double minimum, double maximum);
    bool boolean(std::string_view name, bool defaultValue);
    std::vector<std::string> strings(std::string_view name);

    /// Returns the unconverted member, or null if it is absent. Marks the name as known.
    const boost::json::value *member(std::string_view name);

    /// JSON pointer to member @p name, with "~" and "/" escaped.
    [[nodiscard]] std::string pointerTo(std::string_view name) const;
    [[nodiscard]] const std::string &source() const;
    Findings &findings();
    void addError(std::string_view name, std::string message);

    void finish();

private:
    std::string nearestKnownName(std::string_view name) const;

    const boost::json::object *object_ = nullptr;
    std::string source_;
    std::string pointer_;
    Findings &findings_;
    std::set<std::string, std::less<>> knownNames_;
};

/// Parses @p text as JSON. If it is malformed, adds a finding with the byte offset and returns nothing.
std::optional<boost::json::value> parseJson(std::string_view text, const std::string &source, Findings &findings);

}
