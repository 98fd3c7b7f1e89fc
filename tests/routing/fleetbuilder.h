#pragma once

#include "dispatch/servingview.h"
#include "routing/fleetstate.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Lentillock
{

/// Builds a serving view with engines of one model, spread over three zones.
class FleetBuilder
{
public:
    static constexpr std::uint64_t MemoryTokens = 400'000;

    FleetBuilder(std::size_t endpoints, TimePoint measuredAt);

    LoadReport &load(std::size_t index);
    EndpointState &state(std::size_t index);
    [[nodiscard]] static EndpointId id(std::size_t index);
    [[nodiscard]] FleetState build() const;

private:
    ServingView view_;
    std::shared_ptr<ServingDocument> document_ = std::make_shared<ServingDocument>();
};

}
