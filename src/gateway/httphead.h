#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lentillock
{

/// Start line and header fields of an HTTP message, in the order and spelling of the sender.
struct HttpHead {
    std::string method; ///< Requests only.
    std::string target; ///< Requests only.
    unsigned status = 0; ///< Responses only.
    std::string reason; ///< Responses only.
    bool keepAlive = true; ///< Whether the channel may carry another message after this one.
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const HttpHead &) const = default;
};

/// Whether two field names are equal; case does not matter.
bool sameFieldName(std::string_view left, std::string_view right);

/// Value of the first field @p name, or an empty view.
std::string_view fieldValue(const HttpHead &head, std::string_view name);

bool hasField(const HttpHead &head, std::string_view name);

/// Appends all fields of @p head to @p text, except those that describe only one channel or the framing of the body, and those in @p dropped.
void appendEndToEndFields(std::string &text, const HttpHead &head, const std::vector<std::string_view> &dropped);

void appendField(std::string &text, std::string_view name, std::string_view value);

/// The part of @p target before the query.
std::string_view pathOf(std::string_view target);

}
