#pragma once

#include <string>
#include <string_view>

namespace Lentillock
{

/// Returns @p text with each sequence of bytes that is not UTF-8 replaced by U+FFFD.
std::string toValidUtf8(std::string_view text);

}
