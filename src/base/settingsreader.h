#pragma once

#include "base/jsonreader.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// A setting with a number, for readers and for the help text.
struct NumberSetting {
    const char *name;
    const char *unit;
    std::int64_t defaultValue;
    std::int64_t minimum;
    std::int64_t maximum;
    const char *description;
};

/// A setting with a text or a list of texts.
struct TextSetting {
    const char *name;
    bool required;
    const char *description;
};

/// One line of help text for each of @p settings.
std::string helpText(const std::vector<NumberSetting> &settings);

/// Reads the settings of a daemon and collects a finding for each one that is not valid.
class SettingsReader : public JsonReader
{
public:
    SettingsReader(const boost::json::value &value, std::string source, Findings &findings);

    /// A required address, IP:PORT.
    std::string address(std::string_view name);
    std::vector<std::string> addresses(std::string_view name);
    /// A required identifier, not empty and without a slash.
    std::string identifier(std::string_view name);
    std::string requiredUrl(std::string_view name);
    /// Empty if the URL is absent.
    std::string url(std::string_view name);
    std::map<std::string_view, std::int64_t> numbers(const std::vector<NumberSetting> &settings);

private:
    std::string checkedUrl(std::string_view name, std::string url);
};

}
