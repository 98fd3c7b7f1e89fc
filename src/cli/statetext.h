#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace Lentillock
{

/// Formats a state as indented text, one member per line; short objects and arrays stay on one line.
std::string stateText(const boost::json::value &state);

}
