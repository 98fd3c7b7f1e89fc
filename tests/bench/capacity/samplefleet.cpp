#include "bench/capacity/samplefleet.h"

#include "base/hash.h"

namespace Lentillock
{

namespace
{

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

std::string modelName(std::size_t index)
{
    return "model-" + std::to_string(index);
}

std::string zoneName(std::size_t index)
{
    return "zone-" + std::to_string(index);
}

/// Returns the JSON text of a section whose array has @p count items.
template<typename Item>
std::string section(const std::string &array, std::size_t count, const Item &item)
{
    std::string text = R"({"owner":"team@example.test",)" + quoted(array) + ":[";
    for (std::size_t i = 0; i < count; ++i) {
        text += (i == 0 ? "\n" : ",\n") + item(i);
    }
    return text + "\n]}";
}

std::string workspaceText(const SampleSize &size, std::uint64_t seed, std::size_t index, unsigned revision)
{
    const std::string id = "workspace-" + std::to_string(index);
    return R"({"id":)" + quoted(id) + R"(,"tokenHashes":[)" + quoted(sha256Hex(std::to_string(seed) + id)) + R"(],"priorityClass":"standard","models":[)"
        + quoted(modelName(index % size.models)) + "," + quoted(modelName((index + 1) % size.models)) + R"(],"requestsPerSecond":)"
        + std::to_string(10 + (index == 0 ? revision : 0)) + R"(,"tokensPerSecond":40000,"defaultTimeoutMs":60000,"maxTimeoutMs":300000})";
}

std::string endpointText(const SampleSize &size, std::size_t index)
{
    const std::string address = "10." + std::to_string(index / 60000) + "." + std::to_string(index / 250 % 240) + "." + std::to_string(index % 250) + ":8000";
    return R"({"id":)" + quoted("endpoint-" + std::to_string(index)) + R"(,"address":)" + quoted(address) + R"(,"zone":)"
        + quoted(zoneName(index / size.models % size.zones)) + R"(,"model":)" + quoted(modelName(index % size.models)) + R"(,"memoryTokens":400000})";
}

}

std::string workspacesText(const SampleSize &size, std::uint64_t seed, unsigned revision)
{
    return section("workspaces", size.workspaces, [&](std::size_t i) { return workspaceText(size, seed, i, revision); });
}

SectionTexts sectionTexts(const SampleSize &size, std::uint64_t seed)
{
    SectionTexts texts;
    texts["zones"] = section("zones", size.zones, [](std::size_t i) {
        return R"({"id":)" + quoted(zoneName(i)) + R"(,"region":)" + quoted("region-" + std::to_string(i / 4)) + "}";
    });
    texts["models"]
        = section("models", size.models, [](std::size_t i) { return R"({"id":)" + quoted(modelName(i)) + R"(,"version":"v1","maxTokens":1000000})"; });
    texts["priorities"] = R"({"classes":[{"id":"standard","level":1}]})";
    texts["endpoints"] = section("endpoints", size.endpoints, [&](std::size_t i) { return endpointText(size, i); });
    texts["workspaces"] = workspacesText(size, seed, 0);
    return texts;
}

LoadReport sampleLoad(const ModelId &model, TimePoint now)
{
    return {.generation = "1764838625000-1",
            .draining = false,
            .models = {model},
            .totalTokens = 400000,
            .freeTokens = 150000,
            .queuedTokens = 20000,
            .running = 12,
            .measuredAt = now};
}

}
