#include "base/log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <chrono>
#include <iostream>

namespace Lentillock::Log
{

namespace
{

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

void write(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    boost::json::object line{{"timeMs", wallClockMilliseconds()}, {"level", levelName(level)}, {"program", programName}, {"event", event}};
    for (const auto &[name, value] : fields) {
        line[name] = value;
    }
    BOOST_LOG_SEV(logger(), level) << boost::json::serialize(line);
}

}
