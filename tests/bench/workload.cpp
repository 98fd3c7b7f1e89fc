#include "bench/workload.h"

#include "base/hash.h"
#include "routing/prefixblocks.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

namespace
{

constexpr std::array<double, LengthBands + 1> BandLimits{1e3, 4e3, 32e3, 100e3, 1e6};
constexpr std::array<Duration, LengthBands> Timeouts{10s, 20s, 60s, 300s};
constexpr std::size_t LargeWorkspaces = 3;
constexpr double SharingProbability = 0.4;
constexpr std::uint64_t TemplatesPerBand = 4;

}

WorkloadProfile utilityProfile()
{
    return {"utility", {0.55, 0.30, 0.13, 0.02}, 0.1, 10, 0.75};
}

WorkloadProfile consortiumProfile()
{
    return {"consortium", {0.70, 0.20, 0.08, 0.02}, 0.1, 10, 0.75};
}

Workload::Workload(WorkloadProfile profile, std::uint64_t seed)
    : profile_(std::move(profile))
    , random_(seed)
{
}

BenchRequest Workload::next()
{
    BenchRequest request;
    request.id = "r" + std::to_string(count_++);
    request.workspace = sampleWorkspace();
    request.band = sampleBand();
    const auto band = static_cast<std::size_t>(request.band);
    request.promptTokens = static_cast<std::uint64_t>(random_.logUniform(BandLimits.at(band), BandLimits.at(band + 1)));
    request.maxTokens = static_cast<std::uint64_t>(random_.logUniform(50, 400));
    const bool hasSharedPrefix = random_.uniform() < SharingProbability;
    const double sharedFraction = 0.3 + (0.6 * random_.uniform());
    request.sharedTokens = hasSharedPrefix ? static_cast<std::uint64_t>(sharedFraction * static_cast<double>(request.promptTokens)) : 0;
    request.timeout = Timeouts.at(band);
    // Only the larger model serves prompts of 32,000 tokens or more.
    request.smallModel = random_.uniform() < profile_.smallModelShare && request.band < LengthBand::Under100k;
    computePrefixBlocks(request);
    return request;
}

double Workload::meanEngineSeconds(const WorkloadProfile &profile, const EngineSettings &engine)
{
    constexpr int samples = 20'000;
    Workload workload(profile, 1);
    double sum = 0;
    for (int i = 0; i < samples; ++i) {
        const BenchRequest request = workload.next();
        if (!request.smallModel) {
            const double computeSeconds = engineSeconds(engine, request.sharedTokens, request.promptTokens, request.maxTokens);
            const double decodeSeconds = static_cast<double>(request.maxTokens) * std::chrono::duration<double>(engine.stepBase).count();
            const double memoryFraction = static_cast<double>(request.promptTokens + request.maxTokens) / static_cast<double>(engine.memoryTokens);
            sum += computeSeconds + (memoryFraction * (computeSeconds + decodeSeconds));
        }
    }
    return sum / samples;
}

std::size_t Workload::sampleWorkspace()
{
    if (random_.uniform() < profile_.largeWorkspaceShare) {
        return random_.bits() % LargeWorkspaces;
    }
    return LargeWorkspaces + (random_.bits() % (profile_.workspaces - LargeWorkspaces));
}

LengthBand Workload::sampleBand()
{
    double remaining = random_.uniform();
    for (std::size_t band = 0; band + 1 < LengthBands; ++band) {
        remaining -= profile_.bandShares.at(band);
        if (remaining < 0) {
            return static_cast<LengthBand>(band);
        }
    }
    return LengthBand::UpTo1M;
}

void Workload::computePrefixBlocks(BenchRequest &request)
{
    const std::uint64_t sharedBlocks = request.sharedTokens / PrefixBlockTokens;
    const std::string sharedPrefixKey
        = std::to_string(request.workspace) + '/' + std::to_string(static_cast<int>(request.band)) + '/' + std::to_string(random_.bits() % TemplatesPerBand);
    const std::uint64_t sharedSeed = stableHash(sharedPrefixKey);
    const std::uint64_t uniqueSeed = stableHash(request.id);
    for (std::uint64_t block = 0; block < request.promptTokens / PrefixBlockTokens; ++block) {
        request.prefixBlocks.push_back(stableHash(std::to_string(block), block < sharedBlocks ? sharedSeed : uniqueSeed));
    }
}

double engineSeconds(const EngineSettings &engine, std::uint64_t cachedTokens, std::uint64_t promptTokens, std::uint64_t maxTokens)
{
    const auto seconds = [](Duration duration) { return std::chrono::duration<double>(duration).count(); };
    const auto uncachedTokens = static_cast<double>(promptTokens - cachedTokens);
    const double meanContext = static_cast<double>(promptTokens + cachedTokens) / 2;
    const double contextFactor = 1 + (meanContext / static_cast<double>(engine.doublingContext));
    const double steps = uncachedTokens / static_cast<double>(engine.chunkTokens);
    return (uncachedTokens * seconds(engine.stepPerPrefillToken) * contextFactor) + (steps * seconds(engine.stepBase))
        + (static_cast<double>(maxTokens) * seconds(engine.stepPerSequence));
}

}
