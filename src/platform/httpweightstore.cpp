#include "platform/httpweightstore.h"

#include <boost/leaf/handle_errors.hpp>

namespace Lentillock
{

namespace
{

constexpr int StatusNotFound = 404;
constexpr int StatusTooManyRequests = 429;

/// Retry delay if the store refuses a fetch because of its rate limit and sends no Retry-After header.
constexpr milliseconds DefaultRetryAfter = 1s;

leaf::result<WeightFetch> parseFetchResponse(const HttpResponse &response)
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
    const std::string path = "/v1/weights/" + HttpClient::percentEncode(model.value()) + '/' + HttpClient::percentEncode(version) + "/fetch";
    return leaf::try_handle_some(
        [&]() -> leaf::result<WeightFetch> {
            BOOST_LEAF_AUTO(response, client_.post(path, "{}", timeout));
            return parseFetchResponse(response);
        },
        [](HttpError) -> leaf::result<WeightFetch> { return leaf::new_error(WeightStoreError::Unavailable); });
}

}
