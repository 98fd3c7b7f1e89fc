#include "base/log.h"

#include "base/utf8.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <iostream>

namespace Lentillock::Log
{

namespace
{

/// Ends a value that was cut off.
constexpr const char *CutMark = "...";

std::string programName;

boost::log::sources::severity_logger_mt<Level> &logger()
{
    static boost::log::sources::severity_logger_mt<Level> instance;
    return instance;
}

std::string_view levelName(Level level)
{
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::uint64_t droppedLinesTotal = 0;

/// Writes lines to standard output and drops those that would block or exceed the rate limit.
class RateLimitedBackend : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>
{
public:
    explicit RateLimitedBackend(int linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    {
    }

    void consume(const boost::log::record_view & /*record*/, const std::string &line)
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - windowStart_ >= std::chrono::seconds(1)) {
            windowStart_ = now;
            linesInWindow_ = 0;
        }
        if (++linesInWindow_ > linesPerSecond_ || !isWritable()) {
            ++droppedLinesTotal;
            return;
        }
        std::string text = line + '\n';
        if (droppedLinesTotal != reportedDroppedLines_) {
            reportedDroppedLines_ = droppedLinesTotal;
            text = "{\"level\":\"warning\",\"event\":\"log-lines-dropped\",\"total\":\"" + std::to_string(reportedDroppedLines_) + "\"}\n" + text;
        }
        if (::write(STDOUT_FILENO, text.data(), text.size()) < 0) {
            ++droppedLinesTotal;
        }
    }

private:
    /// A pipe that polls as writable accepts PIPE_BUF bytes without blocking; MaxLineBytes is less than that.
    static bool isWritable()
    {
        pollfd descriptor{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
    }

    int linesPerSecond_;
    int linesInWindow_ = 0;
    std::uint64_t reportedDroppedLines_ = 0;
    std::chrono::steady_clock::time_point windowStart_{};
};

std::int64_t wallClockMilliseconds()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}

void initialize(std::string_view program, Level minimum)
{
    programName = program;
    namespace expressions = boost::log::expressions;
    boost::log::core::get()->remove_all_sinks();
    boost::log::add_console_log(
        std::clog, boost::log::keywords::format = expressions::stream << expressions::smessage, boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(expressions::attr<Level>("Severity") >= minimum);
}

void initializeRateLimited(std::string_view program, Level minimum, int linesPerSecond)
{
    programName = program;
    namespace expressions = boost::log::expressions;
    const auto core = boost::log::core::get();
    core->remove_all_sinks();
    const auto backend = boost::make_shared<RateLimitedBackend>(linesPerSecond);
    const auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<RateLimitedBackend>>(backend);
    sink->set_formatter(expressions::stream << expressions::smessage);
    core->add_sink(sink);
    core->set_filter(expressions::attr<Level>("Severity") >= minimum);
}

std::uint64_t droppedLines()
{
    return droppedLinesTotal;
}

namespace detail
{

std::string formatLine(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    std::string text;
    for (std::size_t maxValueBytes = MaxLineBytes; maxValueBytes > 0; maxValueBytes /= 2) {
        boost::json::object line{{"timeMs", wallClockMilliseconds()}, {"level", levelName(level)}, {"program", programName}, {"event", event}};
        for (const auto &[name, value] : fields) {
            line[name] = value.size() > maxValueBytes ? toValidUtf8(std::string_view(value).substr(0, maxValueBytes)) + CutMark : toValidUtf8(value);
        }
        text = boost::json::serialize(line);
        if (text.size() <= MaxLineBytes) {
            break;
        }
    }
    return text;
}

}

void write(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    BOOST_LOG_SEV(logger(), level) << detail::formatLine(level, event, fields);
}

}
