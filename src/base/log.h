#pragma once

#include <cstddef>
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

/// Writes log lines of level @p minimum and above to standard error, as one JSON object per line.
void initialize(std::string_view program, Level minimum);

/// Writes log lines of level @p minimum and above to standard output without blocking. A line is dropped and counted if the reader is too slow or
/// more than @p linesPerSecond are written. The total of dropped lines is reported before the next line that is written.
void initializeRateLimited(std::string_view program, Level minimum, int linesPerSecond);

/// Number of lines dropped since the process started.
std::uint64_t droppedLines();

/// Writes one line. @p event is the name of the event; its values go into @p fields. They may come from outside: bytes that are not UTF-8 are replaced, and
/// long values are cut off so that the line takes at most MaxLineBytes.
void write(Level level, std::string_view event, std::initializer_list<Field> fields = {});

/// A longer line may block the process when it is written to a pipe.
inline constexpr std::size_t MaxLineBytes = 4000;

namespace detail
{

/// Formats a line without its end.
std::string formatLine(Level level, std::string_view event, std::initializer_list<Field> fields);

}

}
