#include "bench/capacity/configcost.h"

#include "bench/capacity/resourceusage.h"
#include "config/configstatemachine.h"
#include "routing/workspacelimits.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace Lentillock
{

namespace
{

/// Sections in an order in which each may refer to those before.
constexpr std::array<const char *, 5> PublishOrder{"zones", "models", "priorities", "endpoints", "workspaces"};

ServingDocumentPtr validated(const SectionTexts &texts)
{
    Findings findings;
    ServingDocumentPtr document = DocumentValidator::validate(texts, findings);
    if (document == nullptr) {
        std::fputs(findings.toText().c_str(), stderr);
        std::exit(3);
    }
    return document;
}

LogRecord publishRecord(const ConfigStateMachine &fold, const std::string &section, const std::string &text)
{
    const std::uint64_t offset = fold.nextOffset();
    const PublishRecord record{newestRulesVersion(), "publish-" + std::to_string(offset), section, fold.section(section).version, "operator", text};
    return {offset, WallTime(milliseconds(1764838625000)), encodeRecord(record)};
}

void applyAccepted(ConfigStateMachine &fold, const LogRecord &record)
{
    const ConfigDecision decision = fold.apply(record);
    if (decision.verdict != ConfigVerdict::Accepted) {
        std::fprintf(stderr, "record %llu was not accepted\n%s", static_cast<unsigned long long>(record.offset), decision.findings.toText().c_str());
        std::exit(3);
    }
}

void measureFold(const SampleSize &size, std::uint64_t seed, const SectionTexts &texts)
{
    constexpr unsigned changes = 3;
    const double before = residentMegabytes();
    ConfigStateMachine fold;
    for (const char *section : PublishOrder) {
        applyAccepted(fold, publishRecord(fold, section, texts.at(section)));
    }
    const double held = residentMegabytes() - before;
    double changeTime = 0;
    std::size_t recordBytes = 0;
    for (unsigned edition = 1; edition <= changes; ++edition) {
        const LogRecord record = publishRecord(fold, "workspaces", workspacesText(size, seed, edition));
        recordBytes = record.data.size();
        changeTime += meanCpuMilliseconds(1, [&] { applyAccepted(fold, record); });
    }
    std::size_t snapshotBytes = 0;
    const double snapshotTime = meanCpuMilliseconds(1, [&] { snapshotBytes = fold.snapshotData().size(); });
    std::printf("fold workspaces=%zu publish_record_bytes=%zu change_cpu_ms=%.2f fold_mb=%.1f snapshot_bytes=%zu snapshot_cpu_ms=%.2f peak_mb=%.1f\n",
                size.workspaces,
                recordBytes,
                changeTime / changes,
                held,
                snapshotBytes,
                snapshotTime,
                peakResidentMegabytes());
}

}

void measureConfig(const SampleSize &size, std::uint64_t seed)
{
    const SectionTexts texts = sectionTexts(size, seed);
    std::size_t textBytes = 0;
    for (const auto &[name, text] : texts) {
        textBytes += text.size();
    }
    const double before = residentMegabytes();
    ServingDocumentPtr document;
    const double time = meanCpuMilliseconds(1, [&] { document = validated(texts); });
    std::printf("document workspaces=%zu endpoints=%zu workspaces_bytes=%zu all_sections_bytes=%zu validate_cpu_ms=%.2f document_mb=%.1f\n",
                size.workspaces,
                size.endpoints,
                texts.at("workspaces").size(),
                textBytes,
                time,
                residentMegabytes() - before);
    document.reset();
    measureFold(size, seed, texts);
    std::fflush(stdout);
}

void measureLimits(const SampleSize &size, std::size_t vms, std::uint64_t seed)
{
    const ServingDocumentPtr document = validated(sectionTexts(size, seed));
    std::vector<VmId> live;
    for (std::size_t i = 0; i < vms; ++i) {
        live.emplace_back("vm-" + std::to_string(i));
    }
    const double before = residentMegabytes();
    WorkspaceLimits limits(live.front(), vms);
    limits.setVms(TimePoint(), live);
    const double first = meanCpuMilliseconds(1, [&] { limits.setWorkspaces(document->workspaces); });
    const double again = meanCpuMilliseconds(3, [&] { limits.setWorkspaces(document->workspaces); });
    TimePoint now;
    const double admit = meanCpuMilliseconds(3, [&] {
        for (const Workspace &workspace : document->workspaces) {
            now += 20us;
            static_cast<void>(limits.admit(now, workspace.id, 100));
        }
    });
    const double admitMicroseconds = admit * 1e3 / static_cast<double>(size.workspaces);
    const double held = residentMegabytes() - before;
    const double demand = meanCpuMilliseconds(3, [&] { static_cast<void>(limits.ownDemand(now)); });
    std::printf("limits workspaces=%zu vms=%zu set_first_cpu_ms=%.2f set_again_cpu_ms=%.2f admit_cpu_us=%.2f own_demand_cpu_ms=%.2f limits_mb=%.1f\n",
                size.workspaces,
                vms,
                first,
                again,
                admitMicroseconds,
                demand,
                held);
    std::fflush(stdout);
}

}
