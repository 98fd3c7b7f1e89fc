#pragma once

#include <cstdint>
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

/// Sends all log lines to standard output. A line is dropped, and counted, rather than to wait for a reader that is slow, and when more than
/// @p linesPerSecond are written. The next line that is not dropped tells how many were.
void initializeBounded(std::string_view program, Level minimum, int linesPerSecond);

/// Lines that have been dropped since the start.
std::uint64_t droppedLines();

/// Writes one line. @p event names the change of state; values go into @p fields.
void write(Level level, std::string_view event, std::initializer_list<Field> fields = {});

}
