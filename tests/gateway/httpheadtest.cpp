#include "gateway/httphead.h"

#include <gtest/gtest.h>

namespace Lentillock
{

// Guards against values from outside, such as names in a document, that end a field and add others.
TEST(HttpHeadTest, ValueWithControlCharacters_IsAppended_StaysOneField)
{
    std::string text;
    appendField(text, "X-Tenant", std::string_view("a\r\nX-Odd: y\0z\x7f", 14));
    EXPECT_EQ(text, "X-Tenant: a  X-Odd: y z \r\n");
}

TEST(HttpHeadTest, ValueWithTabAndBytesOutsideAscii_IsAppended_IsKept)
{
    std::string text;
    appendField(text, "X-Text", "a\tb\xc3\xa9\xff");
    EXPECT_EQ(text, "X-Text: a\tb\xc3\xa9\xff\r\n");
}

}
