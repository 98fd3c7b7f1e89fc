#pragma once

#include "base/identifier.h"
#include "base/time.h"

#include <boost/leaf/result.hpp>

#include <compare>
#include <string>

namespace Lentillock
{

namespace leaf = boost::leaf;

enum class WeightStoreError {
    Unavailable, ///< No definite response. The fetch may have counted against the rate limit.
    Refused, ///< The store does not have the version.
};

struct WeightFetch {
    bool started = false;
    milliseconds retryAfter{0}; ///< Delay before the next attempt, if the rate limit prevented the start.

    auto operator<=>(const WeightFetch &) const = default;
};

/// The platform's rate-limited store of model weights. Calls block. Errors are WeightStoreError values.
class WeightStore
{
public:
    WeightStore() = default;
    WeightStore(const WeightStore &) = delete;
    WeightStore &operator=(const WeightStore &) = delete;
    virtual ~WeightStore() = default;

    /// Asks the store to prepare a version for loading. Safe to repeat.
    virtual leaf::result<WeightFetch> fetch(const ModelId &model, const std::string &version, milliseconds timeout) = 0;
};

}
