#include "cli/statetext.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr std::size_t IndentWidth = 2;
/// Objects and arrays whose JSON text is longer are split into several lines.
constexpr std::size_t MaxInlineLength = 100;

void appendValue(std::string &text, const boost::json::value &value, std::size_t depth);

void appendLabeled(std::string &text, std::string_view label, const boost::json::value &value, std::size_t depth)
{
    text.append(depth * IndentWidth, ' ').append(label).append(":");
    appendValue(text, value, depth);
}

void appendValue(std::string &text, const boost::json::value &value, std::size_t depth)
{
    const std::string line = boost::json::serialize(value);
    if (value.is_string()) {
        text.append(" ").append(value.get_string()).append("\n");
    } else if (line.size() <= MaxInlineLength || !value.is_structured()) {
        text.append(" ").append(line).append("\n");
    } else if (const boost::json::object *object = value.if_object()) {
        text.append("\n");
        for (const auto &member : *object) {
            appendLabeled(text, member.key(), member.value(), depth + 1);
        }
    } else {
        text.append("\n");
        for (const boost::json::value &element : value.get_array()) {
            appendLabeled(text, "-", element, depth + 1);
        }
    }
}

}

std::string stateText(const boost::json::value &state)
{
    std::string text;
    if (const boost::json::object *object = state.if_object()) {
        for (const auto &member : *object) {
            appendLabeled(text, member.key(), member.value(), 0);
        }
        return text;
    }
    appendValue(text, state, 0);
    return text.substr(text.find_first_not_of(" \n"));
}

}
