#include "platform/httpweightstore.h"

#include <boost/leaf/handle_errors.hpp>

namespace Lentillock
{

namespace
{

constexpr int StatusNotFound = 404;
constexpr int StatusTooManyRequests = 429;

/// Wait after a refusal for the rate limit that does not say how long.
constexpr milliseconds DefaultRetryAfter = 1s;

leaf::result<WeightFetch> fetchResult(const HttpResponse &response)
{
    if (response.status / 100 == 2) {
        return WeightFetch{true, 0ms};
    }
    if (response.status == StatusTooManyRequests) {
        return WeightFetch{false, response.retryAfter.value_or(DefaultRetryAfter)};
    }
    return leaf::new_error(response.status == StatusNotFound ? WeightStoreError::Refused : WeightStoreError::Unavailable);
}

}

HttpWeightStore::HttpWeightStore(std::string baseUrl)
    : client_(std::move(baseUrl))
{
}

leaf::result<WeightFetch> HttpWeightStore::fetch(const ModelId &model, const std::string &version, milliseconds timeout)
{
    const std::string path = "/v1/weights/" + HttpClient::escaped(model.value()) + '/' + HttpClient::escaped(version) + "/fetch";
    return leaf::try_handle_some(
        [&]() -> leaf::result<WeightFetch> {
            BOOST_LEAF_AUTO(response, client_.post(path, "{}", timeout));
            return fetchResult(response);
        },
        [](HttpError) -> leaf::result<WeightFetch> { return leaf::new_error(WeightStoreError::Unavailable); });
}

}
