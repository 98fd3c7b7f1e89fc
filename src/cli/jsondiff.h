#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace Lentillock
{

/// One difference between two JSON values.
struct JsonChange {
    std::string place; ///< JSON pointer; elements of arrays that have an "id" are named by it, for example /models/[m]/version.
    std::string before; ///< JSON text; empty when the place is new.
    std::string after; ///< JSON text; empty when the place is gone.

    auto operator<=>(const JsonChange &) const = default;
};

/// Differences in the order of the document. The order of members and of elements with an "id" has no meaning.
std::vector<JsonChange> jsonDifferences(const boost::json::value &before, const boost::json::value &after);

}
