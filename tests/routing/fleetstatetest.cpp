#include "routing/fleetstate.h"

#include <gtest/gtest.h>

#include <memory>

namespace Lentillock
{
namespace
{

class FleetStateTest : public testing::Test
{
protected:
    FleetStateTest()
    {
        auto document = std::make_shared<ServingDocument>();
        for (const std::string prefix : {"/a", "/a/b"}) {
            Endpoint &endpoint = document->endpoints.emplace_back();
            endpoint.id = EndpointId(prefix);
            endpoint.kind = EndpointKind::Service;
            endpoint.pathPrefix = prefix;
        }
        auto view = std::make_shared<ServingView>();
        view->document = std::move(document);
        fleet_.setView(std::move(view));
    }

    std::string prefixFor(const std::string &path) const
    {
        const auto candidates = fleet_.candidatesForPath(path);
        return candidates.empty() ? "" : candidates.front().endpoint->pathPrefix;
    }

    FleetState fleet_;
};

// Guards against routing a request to a service other than the one for which the entry has checked permission.
TEST_F(FleetStateTest, PathSharesCharactersWithLongerPrefix_GoesToTheWholeSegmentMatch)
{
    EXPECT_EQ(prefixFor("/a/bc"), "/a");
    EXPECT_EQ(prefixFor("/a/b"), "/a/b");
    EXPECT_EQ(prefixFor("/a/b/c"), "/a/b");
    EXPECT_EQ(prefixFor("/ab"), "");
}

}
}
