#pragma once

#include "base/jsonreader.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Describes a numeric setting, for SettingsReader and the help text.
struct NumberSetting {
    const char *name;
    const char *unit;
    std::int64_t defaultValue;
    std::int64_t minimum;
    std::int64_t maximum;
    const char *description;
};

/// The same for a setting that takes decimal numbers.
struct DecimalSetting {
    const char *name;
    const char *unit;
    double defaultValue;
    double minimum;
    double maximum;
    const char *description;
};

/// Describes a setting that is a string or a list of strings, for the help text.
struct TextSetting {
    const char *name;
    bool required;
    const char *description;
};

/// Returns one line of help text for each of @p settings.
std::string helpText(const std::vector<NumberSetting> &settings);
std::string helpText(const std::vector<DecimalSetting> &settings);

/// Reads the settings of a daemon and adds a finding for each invalid one.
class SettingsReader : public JsonReader
{
public:
    SettingsReader(const boost::json::value &value, std::string source, Findings &findings);

    /// A required address of the form IP:PORT, with an IPv4 address.
    std::string address(std::string_view name);
    std::vector<std::string> addresses(std::string_view name);
    /// A required identifier; must not be empty or contain a slash.
    std::string identifier(std::string_view name);
    std::string requiredUrl(std::string_view name);
    /// An optional URL; empty if it is absent.
    std::string url(std::string_view name);
    std::map<std::string_view, std::int64_t> numbers(const std::vector<NumberSetting> &settings);
    std::map<std::string_view, double> decimals(const std::vector<DecimalSetting> &settings);

private:
    std::string checkedUrl(std::string_view name, std::string url);
};

}
