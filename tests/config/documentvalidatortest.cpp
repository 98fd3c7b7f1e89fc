#include "config/documentvalidator.h"
#include "config/sampledocument.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class DocumentValidatorTest : public testing::Test
{
protected:
    std::string findingsFor(const SectionTexts &texts)
    {
        Findings findings;
        const ServingDocumentPtr document = DocumentValidator::validate(texts, findings);
        EXPECT_EQ(document == nullptr, findings.hasErrors());
        return findings.toText();
    }

    SectionTexts texts_ = sampleTexts();
};

TEST_F(DocumentValidatorTest, ValidDocument_IsValidated_HasAllSections)
{
    Findings findings;
    const ServingDocumentPtr document = DocumentValidator::validate(texts_, findings);
    EXPECT_EQ(findings.toText(), "");
    ASSERT_NE(document, nullptr);
    EXPECT_EQ(document->workspaces.at(0).defaultTimeout, 60s);
    EXPECT_EQ(document->workspaces.at(0).maxTimeout, 600s);
    EXPECT_EQ(document->objectives, (Objectives{3.0, 1.0}));
    EXPECT_EQ(document->links.at(0), (ZoneLink{ZoneId("a"), ZoneId("b"), 4ms, 1.0}));
    EXPECT_EQ(document->endpoints.at(0).memoryTokens, 500000);
    EXPECT_EQ(document->endpoints.at(1).kind, EndpointKind::Service);
    EXPECT_EQ(document->endpoints.at(1).nonRepeatablePaths, std::vector<std::string>{"/credit/issue"});
}

// Guards against reporting only the first section's errors: correcting several errors would take one publish attempt each.
TEST_F(DocumentValidatorTest, ProblemsInSeveralSections_AreValidated_AreReportedTogether)
{
    texts_["zones"] = R"({"zones":[{"id":"a","region":"r"},{"id":"a","region":"r"}],"links":[{"from":"a","to":"x","delayMs":4}]})";
    texts_["models"] = R"({"modles":[]})";
    texts_["endpoints"] = R"({"endpoints":[{"id":"e1","address":"host:80","zone":"q","model":"n","memorytokens":5},{"id":"e2","address":"10.0.0.2:80",)"
                          R"("zone":"a","kind":"service","pathPrefix":"/v1","model":"m"}]})";
    texts_["workspaces"] = R"({"workspaces":[{"id":"w","tokenHashes":["A"],"priorityClass":"low","defaultTimeoutMs":900000}]})";
    EXPECT_EQ(findingsFor(texts_),
              "error: endpoints#/endpoints/0/address: must be an IP address and a port, for example 10.0.0.7:8000 or [fd00::7]:8000\n"
              "error: endpoints#/endpoints/0/memoryTokens: is missing\n"
              "error: endpoints#/endpoints/0/memorytokens: is not a known member; did you mean \"memoryTokens\"?\n"
              "error: endpoints#/endpoints/1/pathPrefix: overlaps with /v1/completions, which lentillock serves itself\n"
              "error: endpoints#/endpoints/1/pathPrefix: overlaps with /v1/chat/completions, which lentillock serves itself\n"
              "error: endpoints#/endpoints/1/model: is allowed only for endpoints of kind \"engine\"\n"
              "error: models#/models: is missing\n"
              "error: models#/modles: is not a known member; did you mean \"models\"?\n"
              "error: workspaces#/workspaces/0/tokenHashes/0: must be a SHA-256 digest of 64 lower-case hexadecimal digits\n"
              "error: workspaces#/workspaces/0/defaultTimeoutMs: must not exceed maxTimeoutMs\n"
              "error: zones#/zones/1/id: \"a\" is already used by /zones/0\n"
              "error: zones#/links/0/to: zone \"x\" does not exist\n"
              "error: workspaces#/workspaces/0/priorityClass: priority class \"low\" does not exist in section priorities\n"
              "error: endpoints#/endpoints/0/zone: zone \"q\" does not exist in section zones\n"
              "error: endpoints#/endpoints/0/model: model \"n\" does not exist in section models\n");
}

// Guards against a token that gives access to two workspaces.
TEST_F(DocumentValidatorTest, SharedToken_IsValidated_IsRejected)
{
    const std::string hash(64, 'a');
    texts_["workspaces"] = R"({"workspaces":[{"id":"w","tokenHashes":[")" + hash + R"("],"priorityClass":"high"},{"id":"v","tokenHashes":[")" + hash
        + R"("],"priorityClass":"high"}]})";
    EXPECT_EQ(findingsFor(texts_), "error: workspaces#/workspaces/1/tokenHashes/0: is already used by /workspaces/0\n");
}

// Guards against a change that removes an entry to which another section still refers. Sections are edited by different teams.
TEST_F(DocumentValidatorTest, ChangeThatBreaksReference_IsValidated_IsRejected)
{
    Findings findings;
    const ServingDocumentPtr document = DocumentValidator::validate(texts_, findings);
    ASSERT_NE(document, nullptr);
    EXPECT_EQ(DocumentValidator::validateChange(*document, "models", R"({"models":[]})", findings), nullptr);
    EXPECT_EQ(findings.toText(),
              "error: workspaces#/workspaces/0/models/0: \"m\" is neither a model of section models nor a pathPrefix of section endpoints\n"
              "error: endpoints#/endpoints/0/model: model \"m\" does not exist in section models\n");
}

TEST_F(DocumentValidatorTest, TooFewEndpoints_AreValidated_GiveWarning)
{
    texts_["models"] = R"({"models":[{"id":"m","version":"1","minEndpoints":3,"maxTokens":1000000}]})";
    EXPECT_EQ(findingsFor(texts_), "warning: models#/models/0/minEndpoints: requires 3 endpoints, but section endpoints has only 1 for this model\n");
}

}
}
