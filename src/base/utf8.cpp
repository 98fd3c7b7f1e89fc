#include "base/utf8.h"

#include <boost/nowide/utf/convert.hpp>

#include <algorithm>

namespace Lentillock
{

namespace
{

constexpr unsigned char FirstNonAscii = 0x80;

}

std::string toValidUtf8(std::string_view text)
{
    const auto isAscii = [](char character) { return static_cast<unsigned char>(character) < FirstNonAscii; };
    if (std::all_of(text.begin(), text.end(), isAscii)) {
        return std::string(text);
    }
    return boost::nowide::utf::convert_string<char>(text.data(), text.data() + text.size());
}

}
