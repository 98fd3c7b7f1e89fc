#include "engine/engineclient.h"
#include "engine/ssereader.h"
#include "entrysupport/scriptedendpoint.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

namespace Lentillock
{
namespace
{

using testing::HasSubstr;
using testing::StartsWith;

class EngineClientTest : public testing::Test
{
protected:
    EngineClientTest()
        : client_(
            {.owner = "vm/7"},
            [this](std::vector<DispatchInput> inputs) {
                const std::lock_guard lock(mutex_);
                largestBatch_ = std::max(largestBatch_, inputs.size());
                std::move(inputs.begin(), inputs.end(), std::back_inserter(inputs_));
                condition_.notify_all();
            },
            metrics_)
    {
    }

    static RequestSpecPtr spec(const std::string &prompt = "say \"hi\"", bool idempotent = true)
    {
        RequestSpec result;
        result.id = RequestId("r");
        result.model = ModelId("doc-reader");
        result.idempotent = idempotent;
        result.deadline = std::chrono::steady_clock::now() + 10s;
        result.maxTokens = 4;
        result.prompt = std::make_shared<const std::string>(prompt);
        result.cacheSalt = "salt";
        return std::make_shared<const RequestSpec>(result);
    }

    static StartAttempt attempt(const std::string &address, RequestSpecPtr requestSpec)
    {
        StartAttempt action;
        action.attempt = AttemptId("a1");
        action.endpoint = EndpointId("e1");
        action.address = address;
        action.spec = std::move(requestSpec);
        return action;
    }

    static RequestSpecPtr serviceSpec()
    {
        RequestSpec result = *spec("{\"amount\":5}");
        result.kind = RequestKind::Service;
        result.method = "PUT";
        result.path = "/ledger/x?y=1";
        result.contentType = "application/json";
        return std::make_shared<const RequestSpec>(result);
    }

    /// Waits for a message of type @c Kind and returns the first one.
    template<typename Kind>
    Kind waitFor()
    {
        std::unique_lock lock(mutex_);
        const auto isKind = [](const DispatchInput &input) { return std::holds_alternative<Kind>(input); };
        const bool arrived = condition_.wait_for(lock, 5s, [&] { return std::any_of(inputs_.begin(), inputs_.end(), isKind); });
        EXPECT_TRUE(arrived) << "no message of the expected kind";
        return arrived ? std::get<Kind>(*std::find_if(inputs_.begin(), inputs_.end(), isKind)) : Kind{};
    }

    std::string receivedText()
    {
        const std::lock_guard lock(mutex_);
        std::string text;
        for (const DispatchInput &input : inputs_) {
            if (const auto *chunk = std::get_if<AttemptChunk>(&input)) {
                text += chunk->text;
            }
        }
        return text;
    }

    AttemptFailed failureOf(const std::string &response, RequestSpecPtr requestSpec)
    {
        const ScriptedEndpoint endpoint([&](RawSocket &connection, const ScriptedEndpoint::Request &) {
            connection.send(response);
            return false;
        });
        client_.post(attempt(endpoint.address(), std::move(requestSpec)));
        return waitFor<AttemptFailed>();
    }

    Metrics metrics_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::vector<DispatchInput> inputs_;
    std::size_t largestBatch_ = 0;
    EngineClient client_;
};

TEST_F(EngineClientTest, Completion_IsStreamed_InTheSpecifiedWireFormat)
{
    std::string head;
    std::string body;
    const ScriptedEndpoint endpoint([&](RawSocket &connection, const ScriptedEndpoint::Request &request) {
        head = request.head;
        body = request.body;
        connection.send(ScriptedEndpoint::streamHead() + ScriptedEndpoint::event(0, 1, "one ") + ScriptedEndpoint::event(1, 1, "two")
                        + ScriptedEndpoint::endEvent(2));
        return false;
    });
    client_.post(attempt(endpoint.address(), spec()));
    EXPECT_EQ(waitFor<AttemptEnded>().position, 2U);
    EXPECT_EQ(waitFor<AttemptAccepted>().status, 200);
    EXPECT_EQ(receivedText(), "one two");
    EXPECT_THAT(head, StartsWith("POST /v1/completions HTTP/1.1\r\n"));
    EXPECT_THAT(head, HasSubstr("X-Request-Id: a1\r\n"));
    EXPECT_THAT(head, HasSubstr("X-Deadline-Ms: "));
    EXPECT_EQ(body, R"({"model":"doc-reader","max_tokens":4,"stream":true,"cache_salt":"salt","prompt":"say \"hi\""})");
}

TEST_F(EngineClientTest, RefusedConnection_IsNotConnected)
{
    std::uint16_t port = 0;
    {
        const RawListener listener;
        port = listener.port();
    }
    client_.post(attempt("127.0.0.1:" + std::to_string(port), spec()));
    EXPECT_EQ(waitFor<AttemptFailed>().failure, AttemptFailure::NotConnected);
}

TEST_F(EngineClientTest, ExplicitRefusal_IsRefusedNotRun)
{
    const std::string response = ScriptedEndpoint::json(503, R"({"error":{"message":"draining","runState":"was-not-run"}})");
    const AttemptFailed failed = failureOf(response, spec());
    EXPECT_EQ(failed.failure, AttemptFailure::RefusedNotRun);
    EXPECT_EQ(failed.message, "draining");
}

TEST_F(EngineClientTest, ExplicitRefusalByService_IsRefusedNotRun)
{
    EXPECT_EQ(failureOf(ScriptedEndpoint::json(503, R"({"error":{"runState":"was-not-run"}})"), serviceSpec()).failure, AttemptFailure::RefusedNotRun);
}

// Guards against treating a server error that does not state "was-not-run" as a refusal: the engine may have run the request.
TEST_F(EngineClientTest, ServerErrorWithoutRefusal_IsBroken)
{
    EXPECT_EQ(failureOf(ScriptedEndpoint::json(503, R"({"error":{"runState":"unknown"}})"), spec()).failure, AttemptFailure::Broken);
}

TEST_F(EngineClientTest, ClientError_IsRejected)
{
    EXPECT_EQ(failureOf(ScriptedEndpoint::json(400, "{}"), spec()).failure, AttemptFailure::Rejected);
}

// Guards against retrying a request that the endpoint may have received.
TEST_F(EngineClientTest, ConnectionClosedAfterTheRequest_IsBroken)
{
    EXPECT_EQ(failureOf("", spec("p", false)).failure, AttemptFailure::Broken);
}

// Guards against memory use that grows with the amount that an endpoint sends at once: the sink can slow the client down only between batches.
TEST_F(EngineClientTest, ManyEventsAtOnce_AreDeliveredInBoundedBatches)
{
    constexpr std::uint64_t events = 50'000;
    const ScriptedEndpoint endpoint([](RawSocket &connection, const ScriptedEndpoint::Request &) {
        std::string bytes = ScriptedEndpoint::streamHead();
        for (std::uint64_t position = 0; position < events; ++position) {
            bytes += ScriptedEndpoint::event(position, 1, "x");
        }
        connection.send(bytes + ScriptedEndpoint::endEvent(events));
        return false;
    });
    client_.post(attempt(endpoint.address(), spec()));
    EXPECT_EQ(waitFor<AttemptEnded>().position, events);
    const std::lock_guard lock(mutex_);
    EXPECT_LT(largestBatch_, 4096U);
}

TEST_F(EngineClientTest, MalformedEvents_AreBroken)
{
    EXPECT_THAT(failureOf(ScriptedEndpoint::streamHead() + "data: nonsense\n\n", spec()).message, HasSubstr("not a JSON object"));
}

TEST_F(EngineClientTest, MissingEndMarker_IsBroken)
{
    EXPECT_THAT(failureOf(ScriptedEndpoint::streamHead() + ScriptedEndpoint::event(0, 1, "x"), spec()).message, HasSubstr("without its end marker"));
}

TEST_F(EngineClientTest, UnterminatedLine_IsBroken)
{
    EXPECT_THAT(failureOf(ScriptedEndpoint::streamHead() + "data: " + std::string(SseReader::DefaultMaxEventBytes + 1, 'x'), spec()).message,
                HasSubstr("more than 1048576 bytes"));
}

// Guards against treating a resume that cannot connect as a request of which no byte was sent.
TEST_F(EngineClientTest, ResumeCannotConnect_IsBroken)
{
    std::uint16_t port = 0;
    {
        const RawListener listener;
        port = listener.port();
    }
    client_.post(ResumeAttempt{AttemptId("a1"), EndpointId("e1"), "127.0.0.1:" + std::to_string(port), 3});
    EXPECT_EQ(waitFor<AttemptFailed>().failure, AttemptFailure::Broken);
}

TEST_F(EngineClientTest, ResumeWithExplicitRefusal_IsBroken)
{
    const ScriptedEndpoint endpoint([](RawSocket &connection, const ScriptedEndpoint::Request &) {
        connection.send(ScriptedEndpoint::json(404, R"({"error":{"runState":"was-not-run"}})"));
        return false;
    });
    client_.post(ResumeAttempt{AttemptId("a1"), EndpointId("e1"), endpoint.address(), 3});
    EXPECT_EQ(waitFor<AttemptFailed>().failure, AttemptFailure::Broken);
    EXPECT_EQ(endpoint.requestLines().at(0), "GET /v1/requests/a1/stream?from=3 HTTP/1.1");
}

// Guards against libcurl's automatic retry: if a reused connection was closed, libcurl sends the request a second time.
TEST_F(EngineClientTest, NonIdempotentRequest_IdleConnectionExists_IsSentOnceOnANewConnection)
{
    int requests = 0;
    const ScriptedEndpoint endpoint([&](RawSocket &connection, const ScriptedEndpoint::Request &) {
        ++requests;
        if (requests == 1) {
            connection.send(ScriptedEndpoint::json(400, "{}"));
            return true;
        }
        return false;
    });
    client_.post(attempt(endpoint.address(), spec()));
    EXPECT_EQ(waitFor<AttemptFailed>().failure, AttemptFailure::Rejected);
    {
        const std::lock_guard lock(mutex_);
        inputs_.clear();
    }
    client_.post(attempt(endpoint.address(), spec("p", false)));
    EXPECT_EQ(waitFor<AttemptFailed>().failure, AttemptFailure::Broken);
    EXPECT_EQ(endpoint.requestLines().size(), 2U);
}

TEST_F(EngineClientTest, ServiceResponse_IsForwarded)
{
    std::string head;
    std::string body;
    const ScriptedEndpoint endpoint([&](RawSocket &connection, const ScriptedEndpoint::Request &request) {
        head = request.head;
        body = request.body;
        connection.send(ScriptedEndpoint::json(422, R"({"problem":"amount"})"));
        return false;
    });
    client_.post(attempt(endpoint.address(), serviceSpec()));
    EXPECT_EQ(waitFor<AttemptEnded>().position, 20U);
    EXPECT_EQ(waitFor<AttemptAccepted>().status, 422);
    EXPECT_EQ(waitFor<AttemptAccepted>().contentType, "application/json");
    EXPECT_EQ(receivedText(), R"({"problem":"amount"})");
    EXPECT_THAT(head, StartsWith("PUT /ledger/x?y=1 HTTP/1.1\r\n"));
    EXPECT_EQ(body, R"({"amount":5})");
}

TEST_F(EngineClientTest, ServiceResponseIsTruncated_IsBroken)
{
    EXPECT_EQ(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", serviceSpec()).failure, AttemptFailure::Broken);
}

TEST_F(EngineClientTest, EndpointDoesNotRespond_ProbeTimesOut)
{
    const ScriptedEndpoint endpoint([](RawSocket &connection, const ScriptedEndpoint::Request &) {
        connection.readAll(3000ms);
        return false;
    });
    const TimePoint start = std::chrono::steady_clock::now();
    client_.post(ProbeAttempt{AttemptId("a1"), EndpointId("e1"), endpoint.address()});
    EXPECT_EQ(waitFor<AttemptProbed>().state, EngineRequestState::NoAnswer);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 2500ms);
}

TEST_F(EngineClientTest, ProbesAndAllocations_UseTheSpecifiedWireFormats)
{
    std::vector<std::string> bodies;
    std::mutex bodiesMutex;
    const ScriptedEndpoint endpoint([&](RawSocket &connection, const ScriptedEndpoint::Request &request) {
        {
            const std::lock_guard lock(bodiesMutex);
            bodies.push_back(request.body);
        }
        if (request.head.starts_with("GET /v1/requests/")) {
            connection.send(ScriptedEndpoint::json(200, R"({"state":"running","position":12})"));
        } else if (request.head.starts_with("GET /v1/load")) {
            connection.send(
                ScriptedEndpoint::json(200, R"({"generation":"g1","draining":true,"models":["doc-reader"],"totalTokens":9,"freeTokens":8,"ageMs":50})"));
        } else {
            connection.send(ScriptedEndpoint::json(request.head.starts_with("POST /v1/allocations") ? 201 : 200, R"({"tokens":3})"));
        }
        return false;
    });
    const std::string address = endpoint.address();
    client_.post(ProbeAttempt{AttemptId("a1"), EndpointId("e1"), address});
    const AttemptProbed probed = waitFor<AttemptProbed>();
    EXPECT_EQ(probed.state, EngineRequestState::Running);
    EXPECT_EQ(probed.position, 12U);
    client_.post(ProbeEndpoint{EndpointId("e1"), address});
    const EndpointProbed load = waitFor<EndpointProbed>();
    ASSERT_TRUE(load.load);
    EXPECT_TRUE(load.load->draining);
    EXPECT_EQ(load.load->freeTokens, 8U);
    client_.post(ReserveAllocation{AllocationId("k1"), RequestId("r1"), EndpointId("e1"), address, 100, std::chrono::steady_clock::now() + 5s});
    EXPECT_TRUE(waitFor<AllocationAnswered>().granted);
    client_.post(PrefillPart{AllocationId("k1"), EndpointId("e1"), address, spec("0123456789"), 1, 2, 3, {{EndpointId("e0"), AllocationId("k0")}}});
    EXPECT_TRUE(waitFor<PrefillAnswered>().succeeded);
    const std::lock_guard lock(bodiesMutex);
    EXPECT_THAT(bodies.at(2), HasSubstr(R"("owner":"vm/7/r1")"));
    EXPECT_EQ(bodies.at(3), R"({"allocation":"k1","part":1,"imports":[{"endpoint":"e0","allocation":"k0"}],"prompt":"234"})");
}

TEST_F(EngineClientTest, Cancel_EndsTheStreamAndDeletesTheRequest)
{
    const ScriptedEndpoint endpoint([](RawSocket &connection, const ScriptedEndpoint::Request &request) {
        if (request.head.starts_with("POST")) {
            connection.send(ScriptedEndpoint::streamHead() + ScriptedEndpoint::event(0, 1, "x"));
            return true;
        }
        connection.send(ScriptedEndpoint::json(200, "{}"));
        return false;
    });
    client_.post(attempt(endpoint.address(), spec()));
    waitFor<AttemptChunk>();
    client_.post(CancelAttempt{AttemptId("a1"), EndpointId("e1"), endpoint.address()});
    client_.post(ProbeEndpoint{EndpointId("e1"), endpoint.address()});
    waitFor<EndpointProbed>();
    for (int i = 0; i < 500 && endpoint.requestLines().size() < 3; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_THAT(endpoint.requestLines(), testing::Contains("DELETE /v1/requests/a1 HTTP/1.1"));
    const std::lock_guard lock(mutex_);
    EXPECT_FALSE(std::any_of(inputs_.begin(), inputs_.end(), [](const auto &input) { return std::holds_alternative<AttemptFailed>(input); }));
}

}
}
