#include "gateway/requestadmission.h"

#include <gtest/gtest.h>

#include <map>

namespace Lentillock
{

namespace
{

class RequestAdmissionTest : public testing::Test
{
protected:
    RequestAdmissionTest()
    {
        RouteEntry closed;
        closed.name = "closed";
        closed.host = "h";
        closed.pathPrefix = "/closed/";
        closed.services = {{.service = "engines", .weight = 3}, {.service = "other", .weight = 1}, {.service = "off", .weight = 0}};
        RouteEntry open = closed;
        open.name = "open";
        open.pathPrefix = "/open/";
        open.isPublic = true;
        RouteEntry dangling = open;
        dangling.name = "dangling";
        dangling.pathPrefix = "/dangling/";
        dangling.services = {{.service = "missing", .weight = 1}};
        ServingPlanParts parts;
        parts.routes = {closed, open, dangling};
        parts.services = {{.name = "engines", .engine = {}}, {.name = "other", .engine = {}}, {.name = "off", .engine = {}}};
        parts.workspaces = {{.name = WorkspaceId("w"), .apiKeys = {"k"}}};
        plan_.emplace(std::move(parts));
    }

    static CallerHead caller(const std::string &apiKey, const std::string &id = "r")
    {
        CallerHead head;
        head.id = RequestId(id);
        head.host = "h";
        head.apiKey = apiKey;
        return head;
    }

    AdmissionResult admit(const std::string &apiKey, std::string_view path, std::optional<Duration> drainingFor = {}) const
    {
        return admitRequest(&*plan_, caller(apiKey), path, drainingFor);
    }

    static unsigned statusOf(const AdmissionResult &result)
    {
        const auto *rejection = std::get_if<AdmissionRejection>(&result);
        return rejection != nullptr ? rejection->status : 0;
    }

    std::optional<ServingPlan> plan_;
};

}

// A VM without a serving document cannot tell whether a route or API key exists, so it must not report them as unknown.
TEST_F(RequestAdmissionTest, NoPlan_IsRejectedAsUnavailable)
{
    const AdmissionResult result = admitRequest(nullptr, caller("k"), "/closed/x", {});
    EXPECT_EQ(statusOf(result), 503U);
    EXPECT_TRUE(std::get<AdmissionRejection>(result).isRetryable);
}

TEST_F(RequestAdmissionTest, ApiKey_IsKnown_SelectsWorkspace)
{
    const AdmissionResult result = admit("k", "/closed/x");
    ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(result));
    EXPECT_EQ(std::get<AdmittedRequest>(result).workspace, WorkspaceId("w"));
    EXPECT_EQ(std::get<AdmittedRequest>(result).route->name, "closed");
}

TEST_F(RequestAdmissionTest, ApiKey_IsUnknown_IsRejectedPermanently)
{
    const AdmissionResult result = admit("other", "/closed/x");
    EXPECT_EQ(statusOf(result), 401U);
    EXPECT_FALSE(std::get<AdmissionRejection>(result).isRetryable);
    EXPECT_EQ(statusOf(admit("", "/closed/x")), 401U);
}

TEST_F(RequestAdmissionTest, Route_IsPublic_NeedsNoApiKeyAndHasNoWorkspace)
{
    const AdmissionResult result = admit("", "/open/x");
    ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(result));
    EXPECT_TRUE(std::get<AdmittedRequest>(result).workspace.isEmpty());
}

TEST_F(RequestAdmissionTest, Route_IsUnknown_IsRejectedBeforeApiKeyCheck)
{
    EXPECT_EQ(statusOf(admit("other", "/none/x")), 404U);
}

TEST_F(RequestAdmissionTest, Service_HasNoEntry_IsRetryable)
{
    const AdmissionResult result = admit("", "/dangling/x");
    EXPECT_EQ(statusOf(result), 503U);
    EXPECT_TRUE(std::get<AdmissionRejection>(result).isRetryable);
}

TEST_F(RequestAdmissionTest, DrainAdmissionPeriod_HasPassed_IsRejected)
{
    EXPECT_EQ(statusOf(admit("k", "/closed/x", 2s)), 0U);
    EXPECT_EQ(statusOf(admit("k", "/closed/x", 3s)), 503U);
}

TEST_F(RequestAdmissionTest, Services_HaveWeights_GetProportionalRequests)
{
    std::map<std::string, int> counts;
    for (int index = 0; index < 4000; ++index) {
        const AdmissionResult result = admitRequest(&*plan_, caller("k", "request" + std::to_string(index)), "/closed/x", {});
        ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(result));
        ++counts[std::get<AdmittedRequest>(result).service->name];
    }
    EXPECT_NEAR(counts["engines"], 3000, 150);
    EXPECT_NEAR(counts["other"], 1000, 150);
    EXPECT_EQ(counts["off"], 0);
}

}
