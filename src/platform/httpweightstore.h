#pragma once

#include "platform/httpclient.h"
#include "platform/weightstore.h"

#include <string>

namespace Lentillock
{

/// Accesses the platform's weight store over HTTP.
class HttpWeightStore : public WeightStore
{
public:
    explicit HttpWeightStore(std::string baseUrl);

    leaf::result<WeightFetch> fetch(const ModelId &model, const std::string &version, milliseconds timeout) override;

private:
    HttpClient client_;
};

}
