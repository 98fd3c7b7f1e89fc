#pragma once

#include "config/documentvalidator.h"

#include <string>

namespace Lentillock
{

/// Section texts of a small valid document.
inline SectionTexts sampleTexts()
{
    return {
        {"zones", R"({"zones":[{"id":"a","region":"r"},{"id":"b","region":"r"}],"links":[{"from":"a","to":"b","delayMs":4,"cost":1}]})"},
        {"models", R"({"models":[{"id":"m","version":"1","maxTokens":1000000}]})"},
        {"endpoints",
         R"({"endpoints":[{"id":"e1","address":"10.0.0.1:80","zone":"a","model":"m","memoryTokens":500000},)"
         R"({"id":"s1","address":"10.0.0.2:80","zone":"b","kind":"service","pathPrefix":"/credit","nonRepeatablePaths":["/credit/issue"]}]})"},
        {"priorities", R"({"classes":[{"id":"high","level":10,"weight":2}],"objectives":{"longFirstToken":3}})"},
        {"workspaces",
         R"({"owner":"accounts","workspaces":[{"id":"w","tokenHashes":[")" + std::string(64, 'a') + R"("],"priorityClass":"high","models":["m","/credit"]}]})"},
    };
}

}
