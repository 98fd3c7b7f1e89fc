#include "base/settingsreader.h"

#include <arpa/inet.h>

#include <charconv>
#include <limits>
#include <sstream>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::string_view HttpScheme = "http://";
constexpr const char *AddressMessage = "must be an address of the form IP:PORT";

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    in_addr parsed{};
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && stop == end && inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &parsed) == 1;
}

template<typename Setting>
std::string helpLines(const std::vector<Setting> &settings)
{
    std::ostringstream text;
    text.precision(std::numeric_limits<double>::digits10); // Without scientific notation for large limits.
    for (const Setting &setting : settings) {
        text << "  " << setting.name << " (" << setting.unit << ", default " << setting.defaultValue << ", " << setting.minimum << " to " << setting.maximum
             << "): " << setting.description << '\n';
    }
    return text.str();
}

}

std::string helpText(const std::vector<NumberSetting> &settings)
{
    return helpLines(settings);
}

std::string helpText(const std::vector<DecimalSetting> &settings)
{
    return helpLines(settings);
}

SettingsReader::SettingsReader(const boost::json::value &value, std::string source, Findings &findings)
    : JsonReader(value, std::move(source), "", findings)
{
}

std::string SettingsReader::address(std::string_view name)
{
    std::string address = requiredString(name);
    if (!address.empty() && !isAddress(address)) {
        addError(name, AddressMessage);
    }
    return address;
}

std::vector<std::string> SettingsReader::addresses(std::string_view name)
{
    std::vector<std::string> addresses = strings(name);
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        if (!isAddress(addresses[index])) {
            findings().addError(source(), pointerTo(name) + '/' + std::to_string(index), AddressMessage);
        }
    }
    return addresses;
}

std::string SettingsReader::identifier(std::string_view name)
{
    std::string value = requiredString(name);
    if (value.empty() || value.find('/') != std::string::npos) {
        addError(name, "must not be empty or contain a slash");
    }
    return value;
}

std::string SettingsReader::requiredUrl(std::string_view name)
{
    return checkedUrl(name, requiredString(name));
}

std::string SettingsReader::url(std::string_view name)
{
    return checkedUrl(name, string(name, ""));
}

std::string SettingsReader::checkedUrl(std::string_view name, std::string url)
{
    if (!url.empty() && !url.starts_with(HttpScheme)) {
        addError(name, "must be a URL that starts with http://");
    }
    return url;
}

std::map<std::string_view, std::int64_t> SettingsReader::numbers(const std::vector<NumberSetting> &settings)
{
    std::map<std::string_view, std::int64_t> values;
    for (const NumberSetting &setting : settings) {
        values[setting.name] = integer(setting.name, setting.defaultValue, setting.minimum, setting.maximum);
    }
    return values;
}

std::map<std::string_view, double> SettingsReader::decimals(const std::vector<DecimalSetting> &settings)
{
    std::map<std::string_view, double> values;
    for (const DecimalSetting &setting : settings) {
        values[setting.name] = number(setting.name, setting.defaultValue, setting.minimum, setting.maximum);
    }
    return values;
}

}
