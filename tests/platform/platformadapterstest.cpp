#include "platform/httplogservice.h"
#include "platform/httpvmlist.h"
#include "platform/httpweightstore.h"
#include "standins/platform/platformserver.h"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace Lentillock
{
namespace
{

constexpr milliseconds Timeout = 20s;

/// For calls that are expected to time out. Long enough to connect and send the request on a busy machine.
constexpr milliseconds ShortTimeout = 700ms;

template<typename Error, typename Function>
std::optional<Error> errorOf(Function function)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Error>> {
            BOOST_LEAF_CHECK(function());
            return std::optional<Error>();
        },
        [](Error error) { return std::optional<Error>(error); },
        [] { return std::optional<Error>(); });
}

class PlatformAdaptersTest : public testing::Test
{
protected:
    PlatformAdaptersTest()
        : server_({.port = 0, .retentionRecords = 3, .retention = 1h, .fetchesPerMinute = 1})
        , url_("http://" + server_.start())
        , log_(url_)
        , faultClient_(url_)
    {
    }

    ~PlatformAdaptersTest() override
    {
        server_.stop();
    }

    void injectFault(const std::string &fault)
    {
        const leaf::result<HttpResponse> response = faultClient_.post("/fault", fault, Timeout);
        ASSERT_TRUE(response);
        ASSERT_EQ(response->status, 200) << response->body;
    }

    std::optional<LogError> appendError(milliseconds timeout = Timeout)
    {
        return errorOf<LogError>([&] { return log_.append("s", {"x"}, timeout); });
    }

    std::vector<std::string> readAll(std::uint64_t from)
    {
        std::vector<std::string> data;
        const leaf::result<LogBatch> batch = log_.read("s", from, 100, 0ms, Timeout);
        EXPECT_TRUE(batch);
        for (const LogRecord &record : batch->records) {
            data.push_back(record.data);
        }
        return data;
    }

    PlatformServer server_;
    std::string url_;
    HttpLogService log_;
    HttpClient faultClient_;
};

TEST_F(PlatformAdaptersTest, AppendedRecords_AreRead_InOrderWithOffsets)
{
    EXPECT_EQ(log_.append("s", {"a", "b \"\n\xc3\xa9"}, Timeout).value(), 1U);
    const LogBatch batch = log_.read("s", 0, 1, 0ms, Timeout).value();
    ASSERT_EQ(batch.records.size(), 1U);
    EXPECT_EQ(batch.records[0].offset, 1U);
    EXPECT_EQ(batch.next, 2U);
    EXPECT_EQ(batch.earliest, 1U);
    EXPECT_EQ(readAll(2), std::vector<std::string>{"b \"\n\xc3\xa9"});
    EXPECT_EQ(log_.read("other/stream", 1, 10, 0ms, Timeout)->records.size(), 0U);
}

// Guards against treating a log whose oldest records have expired as complete.
TEST_F(PlatformAdaptersTest, ExpiredOffset_IsRead_ErrorHasEarliestOffset)
{
    ASSERT_TRUE(log_.append("s", {"a", "b", "c", "d", "e"}, Timeout));
    std::uint64_t earliest = 0;
    const LogError error = leaf::try_handle_all(
        [&]() -> leaf::result<LogError> {
            BOOST_LEAF_CHECK(log_.read("s", 1, 10, 0ms, Timeout));
            return LogError::Unavailable;
        },
        [&](LogError cause, EarliestOffset offset) {
            earliest = offset.value;
            return cause;
        },
        [] { return LogError::Unavailable; });
    EXPECT_EQ(error, LogError::Expired);
    EXPECT_EQ(earliest, 3U);
}

TEST_F(PlatformAdaptersTest, WaitingRead_RecordIsAppended_ReturnsRecord)
{
    std::thread writer([this] {
        HttpLogService other(url_);
        std::this_thread::sleep_for(50ms);
        EXPECT_TRUE(other.append("s", {"late"}, Timeout));
    });
    const TimePoint start = std::chrono::steady_clock::now();
    const leaf::result<LogBatch> batch = log_.read("s", 1, 10, 30s, 40s);
    writer.join();
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->records.size(), 1U);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 20s);
}

// Guards against reporting a lost response as "had no effect": the writer would append again, and its operation would run twice.
TEST_F(PlatformAdaptersTest, LostResponse_IsReportedAsUnknown_AndRecordExistsOnce)
{
    injectFault(R"({"fault":"loseAnswers","service":"log"})");
    EXPECT_EQ(appendError(ShortTimeout), LogError::OutcomeUnknown);
    EXPECT_EQ(readAll(1), std::vector<std::string>{"x"});
}

TEST_F(PlatformAdaptersTest, Outage_IsReportedAsUnavailable_UntilItEnds)
{
    injectFault(R"({"fault":"outage","service":"log"})");
    EXPECT_EQ(appendError(), LogError::Unavailable);
    EXPECT_EQ(errorOf<LogError>([&] { return log_.read("s", 1, 10, 0ms, Timeout); }), LogError::Unavailable);
    injectFault(R"({"fault":"none"})");
    EXPECT_EQ(appendError(), std::nullopt);
    EXPECT_EQ(readAll(1), std::vector<std::string>{"x"});
}

// Guards against a call that waits for a frozen service indefinitely, and against reusing the unresponsive connection afterwards.
TEST_F(PlatformAdaptersTest, FrozenService_TimesOut_AndNextCallSucceeds)
{
    EXPECT_EQ(readAll(1).size(), 0U);
    injectFault(R"({"fault":"freeze","service":"log","durationMs":60000})");
    const TimePoint start = std::chrono::steady_clock::now();
    EXPECT_EQ(errorOf<LogError>([&] { return log_.read("s", 1, 10, 0ms, ShortTimeout); }), LogError::Unavailable);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 30s);
    injectFault(R"({"fault":"none"})");
    EXPECT_EQ(readAll(1).size(), 0U);
}

TEST_F(PlatformAdaptersTest, SlowService_RespondsAfterDelay)
{
    injectFault(R"({"fault":"slow","service":"log","delayMs":100})");
    const TimePoint start = std::chrono::steady_clock::now();
    EXPECT_EQ(appendError(), std::nullopt);
    EXPECT_GE(std::chrono::steady_clock::now() - start, 100ms);
}

TEST_F(PlatformAdaptersTest, RefusedConnection_IsReportedAsUnavailable)
{
    server_.stop();
    HttpLogService unreachableLog("http://127.0.0.1:1");
    EXPECT_EQ(errorOf<LogError>([&] { return unreachableLog.append("s", {"x"}, Timeout); }), LogError::Unavailable);
}

TEST_F(PlatformAdaptersTest, VmList_IsFetched_WithRoleAndState)
{
    HttpVmList list(url_, Timeout);
    EXPECT_EQ(list.fetch().value(), std::vector<VmListEntry>());
    ASSERT_TRUE(server_.setVms(R"({"vms":[{"id":"v1","address":"10.0.0.1","zone":"a","role":"entry","state":"live"},)"
                               R"({"id":"e1","address":"10.0.0.2:80","zone":"b","role":"endpoint","state":"leaving"}]})"));
    const std::vector<VmListEntry> expected{{"v1", "10.0.0.1", ZoneId("a"), VmRole::Entry, VmState::Live},
                                            {"e1", "10.0.0.2:80", ZoneId("b"), VmRole::Endpoint, VmState::Leaving}};
    EXPECT_EQ(list.fetch().value(), expected);
}

// Guards against accepting a partial list: VMs that are missing from it would be treated as gone.
TEST_F(PlatformAdaptersTest, VmListWithMalformedEntry_IsRejected)
{
    HttpVmList list(url_, Timeout);
    ASSERT_TRUE(server_.setVms(R"({"vms":[{"id":"v1","address":"10.0.0.1","zone":"a","role":"entry","state":"live"},{"id":"v2"}]})"));
    EXPECT_EQ(errorOf<VmListError>([&] { return list.fetch(); }), VmListError::Unavailable);
}

TEST_F(PlatformAdaptersTest, WeightStoreIsRateLimited_ReturnsRetryDelay)
{
    HttpWeightStore store(url_);
    EXPECT_TRUE(store.fetch(ModelId("m"), "1", Timeout)->started);
    const WeightFetch second = store.fetch(ModelId("m"), "1", Timeout).value();
    EXPECT_FALSE(second.started);
    EXPECT_GT(second.retryAfter, 50s);
    EXPECT_LE(second.retryAfter, 60s);
}

}
}
