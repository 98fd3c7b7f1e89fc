#include "gateway/retrydelay.h"

#include <charconv>
#include <cmath>

namespace Lentillock
{

namespace
{

constexpr std::size_t MaxLoggedCharacters = 40;

}

RetryDelay RetryDelay::fromText(std::string_view text)
{
    if (text.empty()) {
        return {};
    }
    double seconds = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const bool isTooLarge = result.ec == std::errc::result_out_of_range;
    const bool isValid = result.ptr == end && (result.ec == std::errc() || isTooLarge) && !std::signbit(seconds) && std::isfinite(seconds);
    RetryDelay delay;
    if (!isValid) {
        delay.rejectedText = std::string(text.substr(0, MaxLoggedCharacters));
    } else if (isTooLarge || seconds > std::chrono::duration<double>(MaxRetryDelay).count()) {
        delay.time = MaxRetryDelay;
        delay.rejectedText = std::string(text.substr(0, MaxLoggedCharacters));
    } else if (seconds > 0) {
        delay.time = std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
    }
    return delay;
}

}
