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
    std::uint64_t sharedTokens = 0; ///< Leading tokens that other requests of the workspace have as well.
    std::vector<std::uint64_t> prefixBlocks;
    bool deskModel = false; ///< For the smaller of the user's two models.
    Duration timeout = Duration::zero();
};

/// What one user's callers send.
struct WorkloadProfile {
    std::string name;
    std::array<double, LengthBands> bandShares{};
    double deskShare = 0;
    std::size_t workspaces = 10;
    double largeWorkspaceShare = 0; ///< Of all requests, for the first three workspaces together.
};

WorkloadProfile utilityProfile();
WorkloadProfile consortiumProfile();

/// Draws requests; the same seed gives the same requests.
class Workload
{
public:
    Workload(WorkloadProfile profile, std::uint64_t seed);

    BenchRequest next();

    /// Mean share of an engine that a request for the model with 14 engines takes, times its duration, if every shared prefix were cached.
    ///
    /// It is the sum of computing time and of memory held while the request runs alone. An engine that computes for the share c of its
    /// time stretches each request by 1 / (1 - c), so its memory m is sufficient as long as m / (1 - c) <= 1, that is c + m <= 1.
    [[nodiscard]] static double meanEngineSeconds(const WorkloadProfile &profile, const EngineSettings &engine);

private:
    std::size_t pickWorkspace();
    LengthBand pickBand();
    void fillBlocks(BenchRequest &request);

    WorkloadProfile profile_;
    BenchRandom random_;
    std::uint64_t count_ = 0;
};

/// Time that an engine with nothing else to do needs for the steps of one request's prefill and its share of decode steps.
double engineSeconds(const EngineSettings &engine, std::uint64_t cachedTokens, std::uint64_t promptTokens, std::uint64_t maxTokens);

}
