#include "gateway/httphead.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace Lentillock
{

namespace
{

/// Fields that apply to one connection only, and Content-Length, which is written anew for each message.
constexpr std::array<std::string_view, 9> HopByHopFields{
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"};

constexpr unsigned char FirstPrintableCharacter = ' ';
constexpr unsigned char DeleteCharacter = 0x7f;

/// Whether @p character is not allowed in the value of a field.
bool isControlCharacter(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return (code < FirstPrintableCharacter && character != '\t') || code == DeleteCharacter;
}

/// Whether the comma-separated @p list contains @p name.
bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (sameFieldName(item, name)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

}

bool sameFieldName(std::string_view left, std::string_view right)
{
    return boost::beast::iequals(boost::beast::string_view(left.data(), left.size()), boost::beast::string_view(right.data(), right.size()));
}

std::string_view fieldValue(const HttpHead &head, std::string_view name)
{
    for (const auto &[field, value] : head.fields) {
        if (sameFieldName(field, name)) {
            return value;
        }
    }
    return {};
}

bool hasField(const HttpHead &head, std::string_view name)
{
    return std::any_of(head.fields.begin(), head.fields.end(), [name](const auto &field) { return sameFieldName(field.first, name); });
}

void appendEndToEndFields(std::string &text, const HttpHead &head, const std::vector<std::string_view> &excluded)
{
    const std::string_view connection = fieldValue(head, "Connection");
    for (const auto &[name, value] : head.fields) {
        const auto isName = [&name = name](std::string_view other) { return sameFieldName(name, other); };
        const bool isHopByHop = std::any_of(HopByHopFields.begin(), HopByHopFields.end(), isName) || listContains(connection, name);
        if (!isHopByHop && std::none_of(excluded.begin(), excluded.end(), isName)) {
            appendField(text, name, value);
        }
    }
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ");
    const std::size_t begin = text.size();
    text.append(value);
    std::replace_if(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), isControlCharacter, ' ');
    text.append("\r\n");
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

}
