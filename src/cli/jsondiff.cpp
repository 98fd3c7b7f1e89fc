#include "cli/jsondiff.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace Lentillock
{

namespace
{

using Children = std::vector<std::pair<std::string, const boost::json::value *>>;

std::optional<std::string> idComponent(const boost::json::value &element)
{
    const boost::json::object *object = element.if_object();
    const boost::json::value *id = object == nullptr ? nullptr : object->if_contains("id");
    if (id == nullptr || !id->is_string()) {
        return std::nullopt;
    }
    return '[' + std::string(id->get_string()) + ']';
}

/// Members of an object or elements of an array, with their path components; no value for scalars.
std::optional<Children> children(const boost::json::value &value)
{
    Children result;
    if (const boost::json::object *object = value.if_object()) {
        for (const auto &member : *object) {
            result.emplace_back(member.key(), &member.value());
        }
        return result;
    }
    if (const boost::json::array *array = value.if_array()) {
        for (const boost::json::value &element : *array) {
            result.emplace_back(idComponent(element).value_or(std::to_string(result.size())), &element);
        }
        return result;
    }
    return std::nullopt;
}

const boost::json::value *findChild(const Children &children, const std::string &name)
{
    const auto found = std::find_if(children.begin(), children.end(), [&](const auto &child) { return child.first == name; });
    return found == children.end() ? nullptr : found->second;
}

void collectChanges(const std::string &path, const boost::json::value &before, const boost::json::value &after, std::vector<JsonChange> &changes)
{
    if (before == after) {
        return;
    }
    const std::optional<Children> oldChildren = children(before);
    const std::optional<Children> newChildren = children(after);
    if (!oldChildren || !newChildren || before.kind() != after.kind()) {
        changes.push_back({path, boost::json::serialize(before), boost::json::serialize(after)});
        return;
    }
    for (const auto &[name, value] : *oldChildren) {
        std::string childPath = path;
        childPath.append("/").append(name);
        if (const boost::json::value *changed = findChild(*newChildren, name)) {
            collectChanges(childPath, *value, *changed, changes);
        } else {
            changes.push_back({std::move(childPath), boost::json::serialize(*value), {}});
        }
    }
    for (const auto &[name, value] : *newChildren) {
        if (findChild(*oldChildren, name) == nullptr) {
            std::string childPath = path;
            childPath.append("/").append(name);
            changes.push_back({std::move(childPath), {}, boost::json::serialize(*value)});
        }
    }
}

}

std::vector<JsonChange> jsonDifferences(const boost::json::value &before, const boost::json::value &after)
{
    std::vector<JsonChange> changes;
    collectChanges("", before, after, changes);
    return changes;
}

}
