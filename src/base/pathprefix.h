#pragma once

#include <string_view>

namespace Lentillock
{

/// Whether @p path is @p prefix or below it. "/a" does not cover "/ab", and an empty prefix covers nothing.
bool isBelow(std::string_view path, std::string_view prefix);

}
