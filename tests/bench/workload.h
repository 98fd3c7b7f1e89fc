#pragma once

#include "base/time.h"
#include "bench/benchrandom.h"
#include "standins/engine/enginemodel.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Lentillock
{

enum class LengthBand {
    Under4k,
    Under32k,
    Under100k,
    UpTo1M,
};

constexpr std::size_t LengthBands = 4;

struct BenchRequest {
    std::string id;
    std::size_t workspace = 0;
    LengthBand band = LengthBand::Under4k;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::uint64_t sharedTokens = 0; ///< Length of the prompt prefix that is shared with other requests of the workspace.
    std::vector<std::uint64_t> prefixBlocks;
    bool smallModel = false; ///< Whether the request is for the smaller of the user's two models.
    Duration timeout = Duration::zero();
};

/// Distribution of the requests that the callers of one user send.
struct WorkloadProfile {
    std::string name;
    std::array<double, LengthBands> bandShares{};
    double smallModelShare = 0;
    std::size_t workspaces = 10;
    double largeWorkspaceShare = 0; ///< Fraction of all requests that belong to the first three workspaces together.
};

WorkloadProfile utilityProfile();
WorkloadProfile consortiumProfile();

/// Generates random requests. Equal seeds generate equal requests.
class Workload
{
public:
    Workload(WorkloadProfile profile, std::uint64_t seed);

    BenchRequest next();

    /// Mean engine time that a request for the larger model (14 engines) occupies: the fraction of an engine that it uses, times its duration.
    /// Assumes that every shared prefix is cached.
    ///
    /// The result is the sum of the compute time and of the memory fraction times the duration of the request on an idle engine. An engine that
    /// computes for a fraction c of the time slows each request down by 1 / (1 - c), so its memory use m fits as long as m / (1 - c) <= 1,
    /// that is c + m <= 1.
    [[nodiscard]] static double meanEngineSeconds(const WorkloadProfile &profile, const EngineSettings &engine);

private:
    std::size_t sampleWorkspace();
    LengthBand sampleBand();
    void computePrefixBlocks(BenchRequest &request);

    WorkloadProfile profile_;
    BenchRandom random_;
    std::uint64_t count_ = 0;
};

/// Compute time of one request on an idle engine: its prefill steps and its part of the decode steps.
double engineSeconds(const EngineSettings &engine, std::uint64_t cachedTokens, std::uint64_t promptTokens, std::uint64_t maxTokens);

}
