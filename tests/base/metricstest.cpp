#include "base/metrics.h"

#include <gtest/gtest.h>

namespace Lentillock
{
namespace
{

class MetricsTest : public testing::Test
{
protected:
    Metrics metrics_;
};

TEST_F(MetricsTest, CounterGaugeAndSummary_AreWritten_InPrometheusText)
{
    metrics_.increment("requests_total", {{"reason", "a\"b"}}, 3);
    metrics_.setGauge("queue_length", 2);
    metrics_.observe("wait_seconds", 0.5);
    const std::string text = metrics_.toText();
    EXPECT_NE(text.find("# TYPE requests_total counter\nrequests_total{reason=\"a\\\"b\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("# TYPE queue_length gauge\nqueue_length 2\n"), std::string::npos);
    EXPECT_NE(text.find("wait_seconds_count 1\n"), std::string::npos);
    EXPECT_DOUBLE_EQ(metrics_.value("requests_total", {{"reason", "a\"b"}}), 3.0);
}

// Guards against unbounded memory use when callers control the values of a label.
TEST_F(MetricsTest, MoreSeriesThanAllowed_AreWritten_AreCountedAsDropped)
{
    for (std::size_t i = 0; i < Metrics::MaxSeries + 10; ++i) {
        metrics_.increment("requests_total", {{"workspace", std::to_string(i)}});
    }
    EXPECT_NE(metrics_.toText().find("lentillock_metrics_dropped_total 10\n"), std::string::npos);
}

}
}
