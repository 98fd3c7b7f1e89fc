#include "entry/callerserver.h"
#include "config/documentvalidator.h"
#include "entrysupport/rawsocket.h"
#include "entrysupport/scriptedcontrol.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace Lentillock
{
namespace
{

using testing::HasSubstr;
using testing::StartsWith;

constexpr std::size_t BudgetBytes = 8UL * 1024 * 1024;

class CallerServerTest : public testing::Test
{
protected:
    CallerServerTest()
        : environment_{.limits = limits(),
                       .filters = filters_,
                       .budget = budget_,
                       .metrics = metrics_,
                       .view = [this] { return view_; },
                       .newRequestId = [this] { return RequestId("r" + std::to_string(++requests_)); },
                       .diagnostics = [](std::string_view) { return std::nullopt; }}
        , server_(settings(), environment_, [this](DispatchInput input) {
            const std::lock_guard lock(mutex_);
            inputs_.push_back(std::move(input));
            condition_.notify_all();
        })
    {
        Findings findings;
        const auto texts = smallDocument("127.0.0.1:1");
        auto view = std::make_shared<ServingView>();
        view->document = DocumentValidator::validate(SectionTexts(texts.begin(), texts.end()), findings);
        auto entryView = std::make_shared<EntryView>();
        entryView->directory = std::make_shared<const WorkspaceDirectory>(view->document);
        entryView->view = view;
        view_ = entryView;
        port_ = server_.start();
    }

    static SessionLimits limits()
    {
        SessionLimits result;
        result.headTimeout = 300ms;
        result.bodyTimeout = 300ms;
        return result;
    }

    static CallerServerSettings settings()
    {
        CallerServerSettings result;
        result.address = "127.0.0.1:0";
        result.stallTimeout = 500ms;
        result.maxBacklogBytes = 256UL * 1024;
        return result;
    }

    static std::string request(const std::string &prompt, bool stream = true, const std::string &headers = {})
    {
        const std::string body = R"({"model":"doc-reader","stream":)" + std::string(stream ? "true" : "false") + R"(,"prompt":")" + prompt + "\"}";
        return "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer secret-a\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    template<typename Kind>
    Kind waitFor()
    {
        std::unique_lock lock(mutex_);
        std::optional<Kind> result;
        condition_.wait_for(lock, 5s, [&] {
            while (!inputs_.empty() && !result) {
                if (const Kind *input = std::get_if<Kind>(&inputs_.front())) {
                    result = *input;
                }
                inputs_.pop_front();
            }
            return result.has_value();
        });
        EXPECT_TRUE(result) << "no message of the expected kind";
        return result.value_or(Kind{});
    }

    void sendPart(const RequestId &id, const std::string &text)
    {
        server_.deliver(SendToCaller{.request = id, .text = text, .length = 1, .contentType = {}});
        server_.flush();
    }

    void finish(const RequestId &id)
    {
        FinishRequest end;
        end.request = id;
        end.succeeded = true;
        end.finishReason = "stop";
        server_.deliver(end);
        server_.flush();
    }

    FilterChain filters_;
    BufferBudget budget_{BudgetBytes};
    Metrics metrics_;
    EntryViewPtr view_;
    std::atomic<int> requests_ = 0;
    SessionEnvironment environment_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::deque<DispatchInput> inputs_;
    std::uint16_t port_ = 0;
    CallerServer server_;
};

// Guards against the use of Pistache's ResponseStream::flush, which terminates the process if it is called outside the handler's thread.
TEST_F(CallerServerTest, Answer_FromAnotherThread_IsStreamed)
{
    RawSocket caller = RawSocket::connect(port_);
    caller.send(request("p"));
    const RequestId id = waitFor<RequestArrived>().spec->id;
    std::thread([&] {
        for (int i = 0; i < 100; ++i) {
            sendPart(id, "token" + std::to_string(i) + ' ');
        }
        finish(id);
    }).join();
    const std::string response = caller.readUntil("0\r\n\r\n");
    EXPECT_THAT(response, StartsWith("HTTP/1.1 200 OK\r\n"));
    std::size_t at = 0;
    for (int i = 0; i < 100; ++i) {
        at = response.find("token" + std::to_string(i) + ' ', at);
        ASSERT_NE(at, std::string::npos) << i;
    }
    EXPECT_THAT(response, HasSubstr("data: [DONE]"));
}

// Without an interim response, curl waits 1 s before it sends a long body.
TEST_F(CallerServerTest, ExpectContinue_IsAnsweredBeforeTheBody)
{
    RawSocket caller = RawSocket::connect(port_);
    const std::string bytes = request("p", false, "Expect: 100-continue\r\n");
    const std::size_t bodyAt = bytes.find("\r\n\r\n") + 4;
    caller.send(bytes.substr(0, bodyAt));
    EXPECT_EQ(caller.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send(bytes.substr(bodyAt));
    finish(waitFor<RequestArrived>().spec->id);
    EXPECT_THAT(caller.readUntil("\r\n\r\n"), StartsWith("HTTP/1.1 200 OK\r\n"));
}

// Guards against connections that stay open after a response with "Connection: close".
TEST_F(CallerServerTest, ConnectionClose_EndsTheConnectionAfterTheAnswer)
{
    RawSocket caller = RawSocket::connect(port_);
    caller.send(request("p", false, "Connection: close\r\n"));
    finish(waitFor<RequestArrived>().spec->id);
    EXPECT_THAT(caller.readAll(), HasSubstr("\r\nConnection: close\r\n"));
    EXPECT_TRUE(caller.ended());
}

TEST_F(CallerServerTest, HugeHead_IsAnsweredAndClosed)
{
    RawSocket caller = RawSocket::connect(port_);
    caller.send("GET / HTTP/1.1\r\nX: ");
    caller.send(std::string(2UL * 1024 * 1024, 'x'));
    EXPECT_THAT(caller.readAll(), StartsWith("HTTP/1.1 431 "));
    EXPECT_TRUE(caller.ended());
}

TEST_F(CallerServerTest, SlowWriter_GetsATimeoutWhileOthersAreServed)
{
    RawSocket slow = RawSocket::connect(port_);
    slow.send("POST /v1/completions HTTP/1.1\r\nAuth");
    RawSocket other = RawSocket::connect(port_);
    other.send(request("p", false));
    finish(waitFor<RequestArrived>().spec->id);
    EXPECT_THAT(other.readUntil("\r\n\r\n"), StartsWith("HTTP/1.1 200 OK\r\n"));
    EXPECT_THAT(slow.readAll(), StartsWith("HTTP/1.1 408 "));
    EXPECT_TRUE(slow.ended());
}

// Guards against unbounded buffering for a caller that does not read, and against effects on other callers.
TEST_F(CallerServerTest, SlowReader_IsDisconnectedWithinItsLimitWhileOthersAreServed)
{
    RawSocket slow = RawSocket::connect(port_);
    slow.setReceiveBuffer(4096);
    slow.send(request("slow"));
    const RequestId slowId = waitFor<RequestArrived>().spec->id;
    RawSocket other = RawSocket::connect(port_);
    other.send(request("other"));
    const RequestId otherId = waitFor<RequestArrived>().spec->id;
    const std::string text(16UL * 1024, 'x');
    std::size_t maxUsed = 0;
    for (int i = 0; i < 2000; ++i) {
        sendPart(slowId, text);
        maxUsed = std::max(maxUsed, budget_.used());
    }
    EXPECT_EQ(waitFor<CallerDisconnected>().request, slowId);
    EXPECT_LT(maxUsed, 512UL * 1024);
    sendPart(otherId, "unaffected");
    finish(otherId);
    EXPECT_THAT(other.readUntil("0\r\n\r\n"), HasSubstr("unaffected"));
    slow.readAll(3000ms);
    EXPECT_TRUE(slow.ended());
}

TEST_F(CallerServerTest, StalledReader_IsDisconnectedAfterTheStallTimeout)
{
    RawSocket slow = RawSocket::connect(port_);
    slow.setReceiveBuffer(4096);
    slow.send(request("slow", false));
    const RequestId id = waitFor<RequestArrived>().spec->id;
    sendPart(id, std::string(6UL * 1024 * 1024, 'x'));
    finish(id);
    EXPECT_FALSE(server_.isIdle());
    for (int i = 0; i < 300 && !server_.isIdle(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_TRUE(server_.isIdle());
    EXPECT_EQ(budget_.used(), 0U);
}

TEST_F(CallerServerTest, CallerLeaves_DispatcherIsTold)
{
    RequestId id;
    {
        RawSocket caller = RawSocket::connect(port_);
        caller.send(request("p"));
        id = waitFor<RequestArrived>().spec->id;
    }
    EXPECT_EQ(waitFor<CallerDisconnected>().request, id);
}

// Guards against sending bytes queued for a closed connection to the next caller whose connection gets the same descriptor.
TEST_F(CallerServerTest, CallersComeAndGo_NoneReceivesBytesOfAnother)
{
    std::atomic<bool> stopped = false;
    std::thread responder([&] {
        while (!stopped) {
            std::deque<DispatchInput> inputs;
            {
                const std::lock_guard lock(mutex_);
                inputs.swap(inputs_);
            }
            for (const DispatchInput &input : inputs) {
                if (const auto *arrived = std::get_if<RequestArrived>(&input)) {
                    for (int i = 0; i < 5; ++i) {
                        sendPart(arrived->spec->id, '[' + *arrived->spec->prompt + ']');
                    }
                    finish(arrived->spec->id);
                }
            }
        }
    });
    std::vector<std::thread> callers;
    callers.reserve(4);
    std::atomic<int> foreignParts = 0;
    std::atomic<int> completeResponses = 0;
    for (int thread = 0; thread < 4; ++thread) {
        callers.emplace_back([&, thread] {
            for (int i = 0; i < 150; ++i) {
                const std::string prompt = "p" + std::to_string(thread) + '-' + std::to_string(i);
                RawSocket caller = RawSocket::connect(port_);
                caller.send(request(prompt));
                if (i % 2 == 0) {
                    continue; // Disconnects without reading the response.
                }
                const std::string response = caller.readUntil("0\r\n\r\n");
                std::size_t at = 0;
                while ((at = response.find('[', at)) != std::string::npos) {
                    const bool done = response.compare(at, 7, "[DONE]\n") == 0;
                    const bool choices = response.compare(at, 3, "[{\"") == 0;
                    foreignParts += done || choices || response.compare(at + 1, prompt.size() + 1, prompt + ']') == 0 ? 0 : 1;
                    ++at;
                }
                completeResponses += response.starts_with("HTTP/1.1 200") && response.ends_with("0\r\n\r\n") ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    stopped = true;
    responder.join();
    EXPECT_EQ(foreignParts, 0);
    EXPECT_EQ(completeResponses, 300);
}

}
}
