#include "bench/baselines.h"
#include "bench/benchreport.h"
#include "bench/decisiontime.h"
#include "routing/expectedfirsttokenpolicy.h"

#include <boost/program_options.hpp>

#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace
{

using namespace Lentillock;
namespace options = boost::program_options;

template<typename Policy>
BenchPolicy baseline(const std::string &name)
{
    return {name, {}, [](const ServingDocument &, std::uint64_t) { return std::make_unique<Policy>(); }, false};
}

BenchPolicy expectedFirstToken(const std::string &name, const Objectives &objectives)
{
    return {name,
            objectives,
            [](const ServingDocument &document, std::uint64_t) { return std::make_unique<ExpectedFirstTokenPolicy>(document.objectives, document.links); },
            true};
}

std::vector<BenchPolicy> allPolicies()
{
    return {expectedFirstToken("expected-equal", {1, 1}),
            expectedFirstToken("expected-utility", {4, 1}),
            expectedFirstToken("expected-consortium", {1, 4}),

            baseline<RoundRobinPolicy>("round-robin"),
            baseline<LeastOutstandingPolicy>("least-outstanding"),
            baseline<PrefixAffinityPolicy>("prefix-affinity")};
}

std::vector<Situation> allSituations()
{
    return {
        {"healthy-80", 0.8, 200ms, "", ""},
        {"dead-endpoint", 0.8, 200ms, "reader-0", ""},
        {"dead-zone", 0.8, 200ms, "", "zone-0"},
        {"late-reports", 0.8, 2s, "", ""},
        {"load-100", 1.0, 200ms, "", ""},
        {"load-130", 1.3, 200ms, "", ""},
    };
}

struct Job {
    Situation situation;
    WorkloadProfile profile;
    BenchPolicy policy;
};

bool matchesFilter(const options::variables_map &values, const std::string &option, const std::string &name)
{
    return values.count(option) == 0 || name.find(values[option].as<std::string>()) != std::string::npos;
}

std::vector<Job> selectJobs(const options::variables_map &values)
{
    std::vector<Job> jobs;
    for (const WorkloadProfile &profile : {utilityProfile(), consortiumProfile()}) {
        for (const Situation &situation : allSituations()) {
            for (const BenchPolicy &policy : allPolicies()) {
                if (matchesFilter(values, "profile", profile.name) && matchesFilter(values, "situation", situation.name)
                    && matchesFilter(values, "policy", policy.name)) {
                    jobs.push_back({situation, profile, policy});
                }
            }
        }
    }
    return jobs;
}

std::vector<ReportRow> runAll(const std::vector<Job> &jobs, std::uint64_t seed, Duration length, unsigned threads)
{
    std::vector<ReportRow> rows(jobs.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> pool;
    for (unsigned i = 0; i < threads; ++i) {
        pool.emplace_back([&] {
            for (std::size_t job = next++; job < jobs.size(); job = next++) {
                const auto &[situation, profile, policy] = jobs[job];
                rows[job] = {profile.name, situation.name, policy.name, statisticsOf(runSituation(situation, profile, policy, seed, length))};
            }
        });
    }
    pool.clear();
    return rows;
}

std::string commandLine(int argc, char **argv)
{
    std::string command = "lentillock-bench";
    for (int i = 1; i < argc; ++i) {
        command.append(" ").append(argv[i]);
    }
    return command;
}

int printDecisionTimes()
{
    std::cout << "microseconds per decision: candidates, prompt tokens, choose, with candidatesForModel\n";
    for (const std::uint64_t promptTokens : {2'000U, 20'000U, 200'000U}) {
        for (const std::size_t candidates : {30U, 75U, 150U, 300U}) {
            const DecisionTime time = measureDecisionTime(candidates, promptTokens);
            std::cout << candidates << ' ' << promptTokens << ' ' << time.choose << ' ' << time.withCandidates << '\n';
        }
    }
    return 0;
}

int run(const options::variables_map &values, const std::string &command)
{
    if (values.count("decisions") > 0) {
        return printDecisionTimes();
    }
    const auto seed = values["seed"].as<std::uint64_t>();
    std::cout << command << "\nseed " << seed << ", " << std::thread::hardware_concurrency() << " cores\n";
    const auto length = std::chrono::seconds(values["seconds"].as<unsigned>());
    const std::vector<ReportRow> rows = runAll(selectJobs(values), seed, length, values["threads"].as<unsigned>());
    writeTable(std::cout, rows);
    if (values.count("output") > 0) {
        const auto base = values["output"].as<std::string>();
        std::ofstream json(base + ".json");
        writeJson(json, rows, command, seed);
        std::ofstream data(base + ".dat");
        writeData(data, rows);
    }
    return 0;
}

}

int main(int argc, char **argv)
{
    options::options_description description("Compares routing policies on a simulated fleet");
    auto add = description.add_options();
    add("help", "print this text");
    add("decisions", "measure the time of a routing decision instead");
    add("seed", options::value<std::uint64_t>()->default_value(20261204), "seed of arrivals, lengths and tie-breaking");
    add("seconds", options::value<unsigned>()->default_value(600), "virtual time that is measured, after a warm-up of 30 s");
    add("threads", options::value<unsigned>()->default_value(4), "runs at a time");
    add("profile", options::value<std::string>(), "only profiles whose name contains this");
    add("situation", options::value<std::string>(), "only situations whose name contains this");
    add("policy", options::value<std::string>(), "only policies whose name contains this");
    add("output", options::value<std::string>(), "also write OUTPUT.json and OUTPUT.dat");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        return run(values, commandLine(argc, argv));
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
