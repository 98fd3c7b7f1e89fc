#include "bench/statistics.h"

#include "bench/simulatedfleet.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace Lentillock
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Total time of the request on an idle engine, without network delay.
Duration idleTime(const BenchResult &result)
{
    const TimePoint start{};
    EngineModel engine(EngineSettings(), "1", start);
    EngineRequest request;
    request.id = result.id;
    request.promptTokens = result.promptTokens;
    request.maxTokens = result.maxTokens;
    engine.submit(start, request);
    TimePoint end = start;
    while (engine.nextStepEnd()) {
        end = *engine.nextStepEnd();
        engine.advance(end);
    }
    return end - start;
}

double fairnessOf(const std::vector<BenchResult> &requests)
{
    std::map<std::size_t, std::pair<double, double>> answeredAndRequestedTokens;
    for (const BenchResult &result : requests) {
        auto &[answeredTokens, requestedTokens] = answeredAndRequestedTokens[result.workspace];
        requestedTokens += static_cast<double>(result.promptTokens);
        answeredTokens += result.outcome == BenchOutcome::Finished ? static_cast<double>(result.promptTokens) : 0;
    }
    std::vector<double> shares;
    shares.reserve(answeredAndRequestedTokens.size());
    for (const auto &[workspace, tokens] : answeredAndRequestedTokens) {
        shares.push_back(tokens.first / tokens.second);
    }
    return jainIndex(shares);
}

}

Quantiles quantilesOf(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto at
        = [&values](double share) { return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))]; };
    return {at(0.5), at(0.95), at(0.99)};
}

double jainIndex(const std::vector<double> &values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    const double squares = std::inner_product(values.begin(), values.end(), values.begin(), 0.0);
    return squares == 0 ? 0 : sum * sum / (static_cast<double>(values.size()) * squares);
}

RunStatistics statisticsOf(const SituationResult &result)
{
    RunStatistics statistics;
    std::array<std::vector<double>, LengthBands> firstTokens;
    std::vector<double> slowdowns;
    double goodTokens = 0;
    double goodRequests = 0;
    for (const BenchResult &request : result.requests) {
        const auto band = static_cast<std::size_t>(request.band);
        ++statistics.requests.at(band);
        statistics.late += request.outcome == BenchOutcome::Late ? 1 : 0;
        statistics.refused += request.outcome == BenchOutcome::Refused ? 1 : 0;
        statistics.failed += request.outcome == BenchOutcome::Failed ? 1 : 0;
        if (request.outcome == BenchOutcome::Refused) {
            continue;
        }
        firstTokens.at(band).push_back(seconds(request.firstToken.value_or(request.total)));
        if (request.band == LengthBand::Under4k) {
            slowdowns.push_back(seconds(request.total) / seconds(idleTime(request)));
        }
        if (request.outcome == BenchOutcome::Finished) {
            goodRequests += 1;
            goodTokens += static_cast<double>(request.promptTokens);
        }
    }
    for (std::size_t band = 0; band < LengthBands; ++band) {
        statistics.firstToken.at(band) = quantilesOf(firstTokens.at(band));
    }
    statistics.shortSlowdown = quantilesOf(slowdowns);
    statistics.goodput = goodRequests / seconds(result.measured);
    statistics.goodputTokens = goodTokens / seconds(result.measured);
    statistics.fairness = fairnessOf(result.requests);
    statistics.busyShare = result.busyShare;
    return statistics;
}

}
