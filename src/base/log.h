#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Lentillock::Log
{

enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

using Field = std::pair<std::string_view, std::string>;

/// Sends all log lines to standard error as JSON objects, one a line, from @p minimum upwards.
void initialize(std::string_view program, Level minimum);

/// Writes one line. @p event names the change of state; values go into @p fields.
void write(Level level, std::string_view event, std::initializer_list<Field> fields = {});

}
