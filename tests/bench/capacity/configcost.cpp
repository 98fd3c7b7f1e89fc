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

/// Order of publication: a section may refer only to sections that were published before it.
constexpr std::array<const char *, 5> PublishOrder{"zones", "models", "priorities", "endpoints", "workspaces"};

ServingDocumentPtr validateOrExit(const SectionTexts &texts)
{
    Findings findings;
    ServingDocumentPtr document = DocumentValidator::validate(texts, findings);
    if (document == nullptr) {
        std::fputs(findings.toText().c_str(), stderr);
        std::exit(3);
    }
    return document;
}

LogRecord publishRecord(const ConfigStateMachine &stateMachine, const std::string &section, const std::string &text)
{
    const std::uint64_t offset = stateMachine.nextOffset();
    const PublishRecord record{newestRulesVersion(), "publish-" + std::to_string(offset), section, stateMachine.section(section).version, "operator", text};
    return {offset, WallTime(milliseconds(1764838625000)), encodeRecord(record)};
}

void applyAccepted(ConfigStateMachine &stateMachine, const LogRecord &record)
{
    const ConfigDecision decision = stateMachine.apply(record);
    if (decision.verdict != ConfigVerdict::Accepted) {
        std::fprintf(stderr, "record %llu was not accepted\n%s", static_cast<unsigned long long>(record.offset), decision.findings.toText().c_str());
        std::exit(3);
    }
}

void measureStateMachine(const SampleSize &size, std::uint64_t seed, const SectionTexts &texts)
{
    constexpr unsigned changes = 3;
    const double before = residentMegabytes();
    ConfigStateMachine stateMachine;
    for (const char *section : PublishOrder) {
        applyAccepted(stateMachine, publishRecord(stateMachine, section, texts.at(section)));
    }
    const double memoryMegabytes = residentMegabytes() - before;
    double changeTime = 0;
    std::size_t recordBytes = 0;
    for (unsigned revision = 1; revision <= changes; ++revision) {
        const LogRecord record = publishRecord(stateMachine, "workspaces", workspacesText(size, seed, revision));
        recordBytes = record.data.size();
        changeTime += meanCpuMilliseconds(1, [&] { applyAccepted(stateMachine, record); });
    }
    std::size_t snapshotBytes = 0;
    const double snapshotTime = meanCpuMilliseconds(1, [&] { snapshotBytes = stateMachine.snapshotData().size(); });
    std::printf("fold workspaces=%zu publish_record_bytes=%zu change_cpu_ms=%.2f fold_mb=%.1f snapshot_bytes=%zu snapshot_cpu_ms=%.2f peak_mb=%.1f\n",
                size.workspaces,
                recordBytes,
                changeTime / changes,
                memoryMegabytes,
                snapshotBytes,
                snapshotTime,
                peakResidentMegabytes());
}

}

void measureConfigCost(const SampleSize &size, std::uint64_t seed)
{
    const SectionTexts texts = sectionTexts(size, seed);
    std::size_t textBytes = 0;
    for (const auto &[name, text] : texts) {
        textBytes += text.size();
    }
    const double before = residentMegabytes();
    ServingDocumentPtr document;
    const double time = meanCpuMilliseconds(1, [&] { document = validateOrExit(texts); });
    std::printf("document workspaces=%zu endpoints=%zu workspaces_bytes=%zu all_sections_bytes=%zu validate_cpu_ms=%.2f document_mb=%.1f\n",
                size.workspaces,
                size.endpoints,
                texts.at("workspaces").size(),
                textBytes,
                time,
                residentMegabytes() - before);
    document.reset();
    measureStateMachine(size, seed, texts);
    std::fflush(stdout);
}

void measureLimitsCost(const SampleSize &size, std::size_t vms, std::uint64_t seed)
{
    const ServingDocumentPtr document = validateOrExit(sectionTexts(size, seed));
    std::vector<VmId> live;
    for (std::size_t i = 0; i < vms; ++i) {
        live.emplace_back("vm-" + std::to_string(i));
    }
    const double before = residentMegabytes();
    WorkspaceLimits limits(live.front(), vms);
    limits.setVms(TimePoint(), live);
    const double first = meanCpuMilliseconds(1, [&] { limits.setWorkspaces(document->workspaces); });
    const double repeated = meanCpuMilliseconds(3, [&] { limits.setWorkspaces(document->workspaces); });
    TimePoint now;
    const double admit = meanCpuMilliseconds(3, [&] {
        for (const Workspace &workspace : document->workspaces) {
            now += 20us;
            static_cast<void>(limits.admit(now, workspace.id, 100));
        }
    });
    const double admitMicroseconds = admit * 1e3 / static_cast<double>(size.workspaces);
    const double memoryMegabytes = residentMegabytes() - before;
    const double demand = meanCpuMilliseconds(3, [&] { static_cast<void>(limits.ownDemand(now)); });
    std::printf("limits workspaces=%zu vms=%zu set_first_cpu_ms=%.2f set_again_cpu_ms=%.2f admit_cpu_us=%.2f own_demand_cpu_ms=%.2f limits_mb=%.1f\n",
                size.workspaces,
                vms,
                first,
                repeated,
                admitMicroseconds,
                demand,
                memoryMegabytes);
    std::fflush(stdout);
}

}
