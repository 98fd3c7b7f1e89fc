#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lentillock
{

/// Label names and values of a metric, for example {{"reason", "timeout"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Registry of counters, gauges and summaries, exported in the Prometheus text format. Thread-safe.
///
/// The number of series is limited: once MaxSeries exist, updates of further series are dropped and counted in lentillock_metrics_dropped_total.
class Metrics
{
public:
    static constexpr std::size_t MaxSeries = 2000;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds @p amount to counter @p name. By convention names end in "_total".
    void increment(std::string_view name, const MetricLabels &labels = {}, std::uint64_t amount = 1);

    void setGauge(std::string_view name, double value, const MetricLabels &labels = {});

    /// Adds an observation to summary @p name, in the unit given by the suffix of the name, for example "_seconds". The quantiles 0.5, 0.95 and 0.99
    /// are estimated.
    void observe(std::string_view name, double value, const MetricLabels &labels = {});

    /// Value of a counter or gauge; 0 if it does not exist.
    [[nodiscard]] double value(std::string_view name, const MetricLabels &labels = {}) const;

    [[nodiscard]] std::string toText() const;

private:
    struct Summary;
    template<typename Series>
    Series *findOrCreate(std::map<std::string, Series, std::less<>> &series, const std::string &key);

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries_;
    std::uint64_t droppedUpdates_ = 0;
};

}
