#include "base/log.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <climits>
#include <string>

namespace Lentillock::Log
{

static_assert(MaxLineBytes < PIPE_BUF, "a pipe that polls as writable must take a line and its end");

namespace
{

std::string valueOf(const std::string &line, const char *name)
{
    return std::string(boost::json::parse(line).at(name).as_string());
}

}

TEST(LogTest, OrdinaryValues_AreFormatted_AreKept)
{
    const std::string line = detail::formatLine(Level::Info, "event", {{"text", "a \"quoted\"\nvalue"}, {"empty", ""}});
    EXPECT_EQ(valueOf(line, "event"), "event");
    EXPECT_EQ(valueOf(line, "text"), "a \"quoted\"\nvalue");
    EXPECT_EQ(valueOf(line, "empty"), "");
}

// Guards against a value of a caller or of the store that blocks the process while its log is not read.
TEST(LogTest, ValueFromOutsideIsLong_IsFormatted_LineIsBounded)
{
    for (const char filler : {'x', '\x01', '\xff', '"'}) {
        const std::string value(100'000, filler);
        const std::string line = detail::formatLine(Level::Info, "event", {{"request", value}, {"status", "200"}, {"body", value}});
        EXPECT_LE(line.size(), MaxLineBytes);
        EXPECT_EQ(valueOf(line, "status"), "200");
        EXPECT_TRUE(valueOf(line, "request").ends_with("..."));
    }
}

// Guards against a value that makes the line unreadable.
RC_GTEST_PROP(LogTest, AnyValue_IsFormatted_LineIsJson, (const std::string &value))
{
    boost::json::error_code error;
    boost::json::parse(detail::formatLine(Level::Info, "event", {{"value", value + "\xff"}}), error);
    RC_ASSERT(!error);
}

}
