#include "base/metrics.h"

// Boost.Accumulators 1.81 uses std::ostringstream without including <sstream>.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace Lentillock
{

namespace
{

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> Quantiles{0.5, 0.95, 0.99};

using Accumulator
    = accumulators::accumulator_set<double,
                                    accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::extended_p_square_quantile>>;

std::string escapedLabelValue(const std::string &value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            escaped += '\\';
        }
        if (character == '\n') {
            escaped += "\\n";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

std::string seriesKey(std::string_view name, const MetricLabels &labels)
{
    std::string key(name);
    if (labels.empty()) {
        return key;
    }
    key += '{';
    for (const auto &[label, value] : labels) {
        key += label + "=\"" + escapedLabelValue(value) + "\",";
    }
    key.back() = '}';
    return key;
}

std::string addLabel(const std::string &key, const std::string &suffix, const std::string &label)
{
    const std::size_t brace = key.find('{');
    if (brace == std::string::npos) {
        return key + suffix + (label.empty() ? "" : '{' + label + '}');
    }
    return key.substr(0, brace) + suffix + key.substr(brace, key.size() - brace - 1) + (label.empty() ? "" : ',' + label) + '}';
}

std::string_view familyName(std::string_view key)
{
    return key.substr(0, key.find('{'));
}

void writeTypeLine(std::ostream &stream, std::string_view key, std::string_view type, std::string &lastFamily)
{
    if (familyName(key) != lastFamily) {
        lastFamily = familyName(key);
        stream << "# TYPE " << lastFamily << ' ' << type << '\n';
    }
}

}

struct Metrics::Summary {
    Accumulator accumulator{accumulators::tag::extended_p_square_quantile::probabilities = Quantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

template<typename Series>
Series *Metrics::findOrCreate(std::map<std::string, Series, std::less<>> &series, const std::string &key)
{
    const auto existing = series.find(key);
    if (existing != series.end()) {
        return &existing->second;
    }
    if (counters_.size() + gauges_.size() + summaries_.size() >= MaxSeries) {
        ++droppedUpdates_;
        return nullptr;
    }
    return &series[key];
}

void Metrics::increment(std::string_view name, const MetricLabels &labels, std::uint64_t amount)
{
    const std::string key = seriesKey(name, labels);
    const std::lock_guard lock(mutex_);
    if (std::uint64_t *counter = findOrCreate(counters_, key)) {
        *counter += amount;
    }
}

void Metrics::setGauge(std::string_view name, double value, const MetricLabels &labels)
{
    const std::string key = seriesKey(name, labels);
    const std::lock_guard lock(mutex_);
    if (double *gauge = findOrCreate(gauges_, key)) {
        *gauge = value;
    }
}

void Metrics::observe(std::string_view name, double value, const MetricLabels &labels)
{
    const std::string key = seriesKey(name, labels);
    const std::lock_guard lock(mutex_);
    std::unique_ptr<Summary> *summary = findOrCreate(summaries_, key);
    if (summary == nullptr) {
        return;
    }
    if (*summary == nullptr) {
        *summary = std::make_unique<Summary>();
    }
    (*summary)->accumulator(value);
}

double Metrics::value(std::string_view name, const MetricLabels &labels) const
{
    const std::string key = seriesKey(name, labels);
    const std::lock_guard lock(mutex_);
    if (const auto counter = counters_.find(key); counter != counters_.end()) {
        return static_cast<double>(counter->second);
    }
    const auto gauge = gauges_.find(key);
    return gauge == gauges_.end() ? 0.0 : gauge->second;
}

std::string Metrics::toText() const
{
    std::ostringstream stream;
    std::string lastFamily;
    const std::lock_guard lock(mutex_);
    for (const auto &[key, value] : counters_) {
        writeTypeLine(stream, key, "counter", lastFamily);
        stream << key << ' ' << value << '\n';
    }
    for (const auto &[key, value] : gauges_) {
        writeTypeLine(stream, key, "gauge", lastFamily);
        stream << key << ' ' << value << '\n';
    }
    for (const auto &[key, summary] : summaries_) {
        writeTypeLine(stream, key, "summary", lastFamily);
        const Accumulator &accumulator = summary->accumulator;
        for (const double quantile : Quantiles) {
            std::ostringstream label;
            label << "quantile=\"" << quantile << '"';
            stream << addLabel(key, "", label.str()) << ' ' << accumulators::quantile(accumulator, accumulators::quantile_probability = quantile) << '\n';
        }
        stream << addLabel(key, "_sum", "") << ' ' << accumulators::sum(accumulator) << '\n';
        stream << addLabel(key, "_count", "") << ' ' << accumulators::count(accumulator) << '\n';
    }
    stream << "# TYPE lentillock_metrics_dropped_total counter\nlentillock_metrics_dropped_total " << droppedUpdates_ << '\n';
    return stream.str();
}

}
