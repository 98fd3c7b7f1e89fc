#include "records.h"
#include "storeclient.h"
#include "wireformat.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Lentillock::Platform
{

namespace
{

constexpr const char *Document = R"({"version":7,
  "routes":[{"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":10000,"target_latency_ms":300,"priority":1,
             "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"public":false,"sticky":true,
             "resumable":true,"gap_aim_ms":250},
            {"name":"r2","host":"h","path_prefix":"/b/","kind":"non_idempotent","timeout_ms":800,"service":"s2","max_attempts":1,"new_field":1}],
  "services":[{"name":"s1","health_path":"/healthz","max_connections":264,"protocol":"h1",
               "engine":{"slots":16,"kv_capacity_tokens":315000,"stride":51,"step_ms":0.85,"read_per_s":177000.0,"pairs_per_m":0.184,
                         "usual":{"prompt":11108,"answer":1622}}},
              {"name":"s2","health_path":"/healthz","max_connections":100}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1}]})";

constexpr const char *Endpoint
    = R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":4,"born":17})";

}

TEST(RecordsTest, Document_IsDecoded_FillsPlan)
{
    Findings findings;
    const ServingPlanPointer plan = decodePlan(Document, findings);
    ASSERT_TRUE(plan);
    EXPECT_FALSE(findings.hasErrors()) << findings.toText();
    EXPECT_EQ(plan->version(), 7U);
    const RouteEntry *stream = plan->route("h", "/a/x");
    ASSERT_NE(stream, nullptr);
    EXPECT_TRUE(stream->isStream && stream->isResumable && stream->isGeneration);
    EXPECT_EQ(stream->executionSemantics, ExecutionSemantics::AtMostOnce);
    EXPECT_EQ(stream->services.size(), 2U);
    EXPECT_EQ(plan->route("h", "/b/")->executionSemantics, ExecutionSemantics::AtMostOnce);
    ASSERT_NE(plan->service("s1"), nullptr);
    EXPECT_EQ(plan->service("s1")->engine->prefillTokensPerMs, 177);
    EXPECT_EQ(plan->service("s1")->engine->meanOutputTokens, 1622);
    EXPECT_FALSE(plan->service("s2")->engine.has_value());
    EXPECT_EQ(plan->service("s1")->maxConnections, 264U);
    EXPECT_EQ(plan->workspace("k2")->name, WorkspaceId("w"));
}

// Guards against times that are replaced by their defaults because they are fractions.
TEST(RecordsTest, Document_HasFractionsOfMilliseconds_AreRoundedUp)
{
    std::string text = Document;
    for (const auto &[from, to] :
         {std::pair("\"timeout_ms\":800", "\"timeout_ms\":812.5"), std::pair("\"header_timeout_ms\":3000", "\"header_timeout_ms\":0.5")}) {
        text.replace(text.find(from), std::string(from).size(), to);
    }
    Findings findings;
    const ServingPlanPointer plan = decodePlan(text, findings);
    ASSERT_TRUE(plan);
    EXPECT_FALSE(findings.hasErrors()) << findings.toText();
    EXPECT_EQ(plan->route("h", "/b/")->timeout, 813ms);
    EXPECT_EQ(plan->limits().headTimeout, 1ms);
}

TEST(RecordsTest, Document_IsNoObject_IsRejectedWithFinding)
{
    Findings findings;
    EXPECT_FALSE(decodePlan("[1", findings));
    EXPECT_TRUE(findings.hasErrors());
}

TEST(RecordsTest, Endpoint_IsDecoded_HasStartTime)
{
    Findings findings;
    const auto record = decodeEndpoint("i-1", Endpoint, findings);
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->startedAtMs, 17);
    EXPECT_FALSE(record->isDraining);
}

// Another program may write arbitrary data under a key. Such a record is ignored with a finding and must not affect other records.
TEST(RecordsTest, Endpoint_IsInvalid_IsIgnoredWithFinding)
{
    for (const char *text : {"",
                             "\x01\x02",
                             "7",
                             "{}",
                             R"({"service":1,"address":"a:1","zone":"z","state":"ready"})",
                             R"({"service":"s","address":"a:1","zone":"z","state":"resting"})"}) {
        Findings findings;
        EXPECT_FALSE(decodeEndpoint("i-1", text, findings).has_value()) << text;
        EXPECT_TRUE(findings.hasErrors());
    }
}

// Guards against one odd entry that ends the processes that read the list, or that is used as an endpoint that cannot be reached.
TEST(RecordsTest, EndpointOfAnotherWriter_IsNestedOrOutOfRange_IsIgnoredWithFinding)
{
    const std::string head = R"({"service":"s","zone":"z","state":"ready","address":)";
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string nestedMember = head + R"("10.0.0.9:80","more":)" + nested;
    for (const std::string &text : {head + R"("10.0.0.9:65536"})",
                                    head + R"("10.0.0.9:99999999999999999999"})",
                                    head + R"("10.0.0.9:0"})",
                                    head + R"("10.0.0.9:-1"})",
                                    head + R"("10.0.0.9:80x"})",
                                    head + R"("10.0.0.9"})",
                                    head + R"("10.0.0.999:80"})",
                                    nestedMember + "}",
                                    head + R"("10.0.0.9:80","slots":1e999})",
                                    head + R"("10.0.0.9:80","slots":99999999999999999999999})",
                                    head + R"("10.0.0.9:80","born":1e30})",
                                    nested}) {
        Findings findings;
        EXPECT_FALSE(decodeEndpoint("i-1", text, findings).has_value()) << text.substr(0, 200);
        EXPECT_TRUE(findings.hasErrors());
    }
    Findings findings;
    EXPECT_TRUE(decodeEndpoint("i-1", head + R"("10.0.0.9:65535"})", findings).has_value()) << findings.toText();
}

// Guards against names of other writers that are used as endpoints, where they add fields to requests and make /state unreadable.
TEST(RecordsTest, EndpointOfAnotherWriter_HasNameThatNeedsEscaping_IsIgnoredWithFinding)
{
    for (const std::string &name : {std::string(),
                                    std::string("i-2 x"),
                                    std::string("i-2\r\nX-Odd: y"),
                                    std::string("i-2#x"),
                                    std::string("i-2&after="),
                                    std::string("i-2+x"),
                                    std::string("i-2%41"),
                                    std::string("i-2\"x"),
                                    std::string("i-2?x"),
                                    std::string("i-2\0x", 5),
                                    std::string("i-2\xc3\xa9"),
                                    std::string("i-2\xff\xfe")}) {
        Findings findings;
        EXPECT_FALSE(decodeEndpoint(name, Endpoint, findings).has_value()) << name;
        EXPECT_TRUE(findings.hasErrors());
    }
    for (const char *name : {"i-7f3a91c2", "gpu_7.zone~a:1@b/2"}) {
        Findings findings;
        EXPECT_TRUE(decodeEndpoint(name, Endpoint, findings).has_value()) << findings.toText();
    }
}

// Guards against addresses that hold more than an address, since they are written into requests.
TEST(RecordsTest, EndpointOfAnotherWriter_HasZeroByteInAddress_IsIgnoredWithFinding)
{
    Findings findings;
    const std::string text = R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.9\u0000\r\nX-Odd: y:80"})";
    EXPECT_FALSE(decodeEndpoint("i-1", text, findings).has_value());
}

RC_GTEST_PROP(RecordsTest, Endpoint_IsAnyBytes_DoesNotThrow, (const std::string &bytes))
{
    Findings findings;
    decodeEndpoint("i-1", bytes, findings);
    decodePlan(bytes, findings);
    decodeLogPage(bytes, 0);
    decodeNewestPage(bytes);
}

TEST(StorePageTest, KeyedRecord_IsEncodedAndRead_IsTheSame)
{
    const std::string header(16, '\0');
    const auto page = decodeLogPage(header + encodeKeyedRecord("k", "v") + encodeKeyedRecord("k", ""), 40);
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->end, 42U);
    ASSERT_EQ(page->records.size(), 2U);
    EXPECT_EQ(page->records[0].value, "v");
    EXPECT_FALSE(page->records[1].value.has_value());
    EXPECT_EQ(page->records[1].offset, 41U);
}

TEST(StorePageTest, LogPage_IsTruncated_IsRejected)
{
    const std::string body = std::string(16, '\0') + encodeKeyedRecord("k", "v");
    EXPECT_FALSE(decodeLogPage(body.substr(0, body.size() - 1), 0).has_value());
    EXPECT_FALSE(decodeLogPage(body.substr(0, 10), 0).has_value());
}

// Guards against records that are lost because of what follows them.
TEST(StorePageTest, LogPage_HasBytesThatAreNoRecord_KeepsRecordsBeforeThem)
{
    const std::string body = std::string(16, '\0') + encodeKeyedRecord("k", "v");
    const auto page = decodeLogPage(body + "\xff\xff\xff\xff odd", 40);
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->end, 41U);
    EXPECT_EQ(page->records.size(), 1U);
}

TEST(StorePageTest, NewestPage_IsEncodedAndDecoded_IsTheSame)
{
    NewestPage page{.end = 9};
    page.records.push_back({.key = "a", .value = std::string("\0\x01text", 6), .offset = 3});
    const auto decoded = decodeNewestPage(encodeNewestPage(page));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->end, 9U);
    ASSERT_EQ(decoded->records.size(), 1U);
    EXPECT_EQ(decoded->records[0].value, page.records[0].value);
}

TEST(WireFormatTest, Request_IsForwarded_HidesApiKeyAndNamesWorkspace)
{
    HttpHead head;
    head.method = "POST";
    head.target = "/a/1?x=y";
    head.fields = {{"Host", "h"}, {"X-Credential", "secret"}, {"X-Tenant", "forged"}, {"X-Model", "m"}, {"X-Deadline-Ms", "9000"}, {"X-Request-Id", "q"}};
    EndpointRequestOptions options{.expectedEndpoint = EndpointId("i-1"), .workspace = WorkspaceId("w"), .timeLeft = 800ms};
    options.helpers = {{.address = "10.0.0.1:80", .reservation = "t1"}, {.address = "10.0.0.2:80"}};
    const std::string text = WireFormat().endpointRequestHead(head, 4, options);
    EXPECT_TRUE(text.starts_with("POST /a/1?x=y HTTP/1.1\r\n"));
    EXPECT_EQ(text.find("secret"), std::string::npos);
    EXPECT_EQ(text.find("forged"), std::string::npos);
    for (const char *field : {"X-Tenant: w\r\n",
                              "X-Deadline-Ms: 800\r\n",
                              "X-Expect-Instance: i-1\r\n",
                              "X-Helpers: 10.0.0.1:80/t1,10.0.0.2:80\r\n",
                              "X-Model: m\r\n",
                              "X-Request-Id: q\r\n",
                              "Content-Length: 4\r\n"}) {
        EXPECT_NE(text.find(field), std::string::npos) << field;
    }
    EXPECT_TRUE(text.ends_with("\r\n\r\n"));
    EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4);
}

TEST(WireFormatTest, EndpointSaysLeaving_IsDecoded_UnlessAnotherEndpointSaysIt)
{
    HttpHead head;
    head.status = 200;
    head.fields = {{"server-leaving", "1"}};
    EXPECT_TRUE(WireFormat().responseHead(head).isLeaving);
    head.fields = {{"Server-Leaving", "0"}};
    EXPECT_FALSE(WireFormat().responseHead(head).isLeaving);
    head.status = 421;
    head.fields = {{"Server-Leaving", "1"}, {"X-Instance-Id", "another"}};
    EXPECT_FALSE(WireFormat().responseHead(head).isLeaving);
}

TEST(WireFormatTest, RejectionHasRetryAfter_IsDecoded_OrRejected)
{
    const auto delayOf = [](const std::string &text, unsigned status = 503) {
        HttpHead head;
        head.status = status;
        head.fields = {{"X-Not-Executed", "1"}, {"Retry-After", text}};
        return WireFormat().responseHead(head).retryDelay;
    };
    EXPECT_EQ(delayOf("2").time, 2s);
    EXPECT_EQ(delayOf("0.25").time, 250ms);
    EXPECT_EQ(delayOf("3600").time, 1h);
    EXPECT_EQ(delayOf("0"), RetryDelay());
    EXPECT_EQ(delayOf(""), RetryDelay());
    EXPECT_EQ(delayOf("2", 200), RetryDelay());
    for (const std::string text : {"-1", "-0", "soon", "1s", " 1", "nan", "inf", "1e3", "Sat, 05 Dec 2026 07:18:38 GMT"}) {
        EXPECT_EQ(delayOf(text), (RetryDelay{.rejectedText = text})) << text;
    }
    for (const std::string text : {"3601", "999999999999", "99999999999999999999999999999999999999"}) {
        EXPECT_EQ(delayOf(text), (RetryDelay{.time = MaxRetryDelay, .rejectedText = text})) << text;
    }
    EXPECT_EQ(delayOf(std::string(400, '9')).time, MaxRetryDelay);
    EXPECT_LE(delayOf(std::string(4000, 'x')).rejectedText.size(), 100U);
}

// Guards against prompts whose parts cannot be told apart, or that make the gateway keep as many parts as a caller likes.
TEST(WireFormatTest, Prompt_HasParts_SharedOnesAreDecoded)
{
    const auto partsOf = [](const std::string &list) {
        HttpHead head;
        head.fields = {{"X-Prompt-Prefix", list}};
        return promptPartsText(WireFormat().callerHead(head).sharedParts);
    };
    EXPECT_EQ(partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), "5c1e07a2,91bd3f06");
    EXPECT_EQ(partsOf("5c1e07a2:800"), "");
    EXPECT_EQ(partsOf(""), "");
    EXPECT_EQ(partsOf(",,:5,ab,"), "ab");
    EXPECT_NE(partsOf(std::string(5000, 'f') + ":1,e:2"), "");
    EXPECT_LE(partsOf(std::string(5000, 'f') + ":1,e:2").size(), 16U);
    std::string many;
    for (int part = 0; part < 1000; ++part) {
        many.append(std::to_string(part)).append(":1,");
    }
    HttpHead head;
    head.fields = {{"X-Prompt-Prefix", many + "ff:1"}};
    EXPECT_EQ(WireFormat().callerHead(head).sharedParts.size(), MaxPromptParts);
}

TEST(WireFormatTest, Misdirected_NamesAnotherEndpoint_IsReplacedAndNotRun)
{
    HttpHead head;
    head.status = 421;
    head.fields = {{"X-Instance-Id", "i-2"}};
    const ResponseHead response = WireFormat().responseHead(head);
    EXPECT_TRUE(response.wasNotRun);
    EXPECT_TRUE(response.isReplaced);
}

// A failure without the not-run field does not tell whether the request has run.
TEST(WireFormatTest, Failure_HasNoNotRunField_MayHaveRun)
{
    HttpHead head;
    head.status = 503;
    EXPECT_FALSE(WireFormat().responseHead(head).wasNotRun);
}

}
