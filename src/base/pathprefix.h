#pragma once

#include <string_view>

namespace Lentillock
{

/// Whether @p path equals @p prefix or is below it, compared by segments: "/a" does not match "/ab". An empty prefix matches no path.
bool hasPathPrefix(std::string_view path, std::string_view prefix);

}
