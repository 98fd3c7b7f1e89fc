#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace Lentillock
{

/// One difference between two JSON values.
struct JsonChange {
    std::string path; ///< JSON pointer, but with an array element that has an "id" as [id], for example /models/[m]/version.
    std::string before; ///< JSON text; empty if the value was added.
    std::string after; ///< JSON text; empty if the value was removed.

    auto operator<=>(const JsonChange &) const = default;
};

/// Returns the changes in document order. Ignores the order of object members and of array elements with an "id".
std::vector<JsonChange> jsonDifferences(const boost::json::value &before, const boost::json::value &after);

}
