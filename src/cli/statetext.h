#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace Lentillock
{

/// A state for people: one member a line, indented by depth; small objects and arrays on one line.
std::string stateText(const boost::json::value &state);

}
