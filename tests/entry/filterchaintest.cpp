#include "entry/filterchain.h"

#include "base/hash.h"
#include "routing/prefixblocks.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Lentillock
{
namespace
{

class FilterChainTest : public testing::Test
{
protected:
    FilterChainTest()
    {
        auto document = std::make_shared<ServingDocument>();
        document->models.push_back({.id = ModelId("m"), .version = "1"});
        // Workspace "g" has the name of a sharing group as its identifier but is not in that group.
        for (const auto &[id, group] : std::vector<std::pair<std::string, std::string>>{{"a", ""}, {"b", ""}, {"c", "g"}, {"d", "g"}, {"e", "h"}, {"g", ""}}) {
            Workspace workspace;
            workspace.id = WorkspaceId(id);
            workspace.tokenHashes = {sha256Hex("token-" + id)};
            workspace.models = {ModelId("m")};
            workspace.sharingGroup = group;
            document->workspaces.push_back(workspace);
        }
        auto view = std::make_shared<ServingView>();
        view->document = document;
        auto entryView = std::make_shared<EntryView>();
        entryView->directory = std::make_shared<const WorkspaceDirectory>(document);
        entryView->view = view;
        view_ = entryView;
    }

    /// The specification of a request from @p workspace with a fixed long prompt.
    [[nodiscard]] RequestSpec specOf(const std::string &workspace) const
    {
        HttpRequestHead head;
        head.method = "POST";
        head.target = "/v1/completions";
        head.fields = {{"authorization", "Bearer token-" + workspace}};
        RequestContext context;
        context.head = &head;
        context.view = view_;
        EXPECT_FALSE(filters_.applyToHead(context).has_value()) << workspace;
        context.body = R"({"model":"m","prompt":")" + std::string(4 * PrefixBlockBytes, 'x') + R"("})";
        EXPECT_FALSE(filters_.applyToBody(context).has_value()) << workspace;
        EXPECT_EQ(context.spec.prefixBlocks.size(), 4U);
        EXPECT_FALSE(context.spec.cacheSalt.empty());
        return context.spec;
    }

    static bool shareBlocks(const RequestSpec &left, const RequestSpec &right)
    {
        return std::find_first_of(left.prefixBlocks.begin(), left.prefixBlocks.end(), right.prefixBlocks.begin(), right.prefixBlocks.end())
            != left.prefixBlocks.end();
    }

    FilterChain filters_;
    EntryViewPtr view_;
};

// Guards against prompt caching across workspaces without a common sharing group: response times would disclose whether another workspace has sent a prompt.
TEST_F(FilterChainTest, SamePrompt_OfWorkspacesWithoutACommonGroup_SharesNeitherSaltNorBlocks)
{
    const std::vector<std::string> separate{"a", "b", "c", "e", "g"};
    for (const std::string &left : separate) {
        for (const std::string &right : separate) {
            const RequestSpec first = specOf(left);
            const RequestSpec second = specOf(right);
            EXPECT_EQ(first.cacheSalt == second.cacheSalt, left == right) << left << ' ' << right;
            EXPECT_EQ(shareBlocks(first, second), left == right) << left << ' ' << right;
        }
    }
}

// Guards against a sharing group that has no effect.
TEST_F(FilterChainTest, SamePrompt_OfWorkspacesOfOneGroup_SharesSaltAndBlocks)
{
    EXPECT_EQ(specOf("c").cacheSalt, specOf("d").cacheSalt);
    EXPECT_EQ(specOf("c").prefixBlocks, specOf("d").prefixBlocks);
}

}
}
