#include "routing/fleetbuilder.h"

namespace Lentillock
{

FleetBuilder::FleetBuilder(std::size_t endpoints, TimePoint measuredAt)
{
    for (std::size_t i = 0; i < endpoints; ++i) {
        Endpoint endpoint;
        endpoint.id = id(i);
        endpoint.model = ModelId("model");
        endpoint.zone = ZoneId("zone-" + std::to_string(i % 3));
        endpoint.memoryTokens = MemoryTokens;
        document_->endpoints.push_back(endpoint);
        LoadReport report;
        report.totalTokens = MemoryTokens;
        report.freeTokens = MemoryTokens;
        report.measuredAt = measuredAt;
        view_.endpoints[endpoint.id] = {endpoint.id, EndpointHealth::Live, report, measuredAt};
    }
}

LoadReport &FleetBuilder::load(std::size_t index)
{
    return *view_.endpoints.at(id(index)).load;
}

EndpointState &FleetBuilder::state(std::size_t index)
{
    return view_.endpoints.at(id(index));
}

EndpointId FleetBuilder::id(std::size_t index)
{
    return EndpointId("engine-" + std::to_string(index));
}

FleetState FleetBuilder::build() const
{
    auto view = std::make_shared<ServingView>(view_);
    view->document = document_;
    FleetState fleet;
    fleet.setView(view);
    return fleet;
}

}
