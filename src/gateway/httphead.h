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
    bool keepAlive = true; ///< Whether the connection may carry another message after this one.
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const HttpHead &) const = default;
};

/// Compares two field names, ignoring case.
bool sameFieldName(std::string_view left, std::string_view right);

/// Returns the value of the first field named @p name, or an empty view.
std::string_view fieldValue(const HttpHead &head, std::string_view name);

bool hasField(const HttpHead &head, std::string_view name);

/// Appends the fields of @p head to @p text, except hop-by-hop fields, Content-Length and the fields in @p excluded.
void appendEndToEndFields(std::string &text, const HttpHead &head, const std::vector<std::string_view> &excluded);

/// Appends a field. Control characters of @p value, which would end the field, become blanks.
void appendField(std::string &text, std::string_view name, std::string_view value);

/// Returns the part of @p target before the query.
std::string_view pathOf(std::string_view target);

}
