#include "base/pathprefix.h"

namespace Lentillock
{

bool hasPathPrefix(std::string_view path, std::string_view prefix)
{
    return !prefix.empty() && path.starts_with(prefix) && (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
}

}
