// Measures the memory that ClaimStateMachine uses per key, and how many claims coordinators decide with 300 appends per second.
//
// Usage: bench-claims

#include "claims/claimcoordinator.h"
#include "claims/claimstatemachine.h"
#include "fakes/fakelog.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <thread>

namespace Lentillock
{
namespace
{

constexpr std::uint64_t Seed = 20261204;
const WallTime Start{milliseconds(1'700'000'000'000)};

ClaimRecord claimRecord(std::uint64_t number)
{
    return {ClaimRecordType::Claim,
            WorkspaceId("workspace-" + std::to_string(number % 10)),
            IdempotencyKey::create(Start + milliseconds(number / 100), Seed + number),
            AttemptId("vm-3.1700000000000." + std::to_string(number)),
            ClaimRunState::Unknown};
}

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

void measureMemory(std::uint64_t keys)
{
    ClaimStateMachine stateMachine;
    const std::size_t before = allocatedBytes();
    const auto started = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < keys; ++i) {
        stateMachine.apply({stateMachine.nextOffset(), Start, encodeClaimRecord(claimRecord(i))});
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - started;
    std::printf("ledger keys=%llu bytes_per_key=%.0f us_per_record=%.2f\n",
                static_cast<unsigned long long>(keys),
                static_cast<double>(allocatedBytes() - before) / static_cast<double>(keys),
                time.count() / static_cast<double>(keys));
}

/// Simulates one shard with @p claimsPerStep claims every 10 ms of virtual time and appends that take 20 ms. Prints the appends and decided claims per second.
void measureRate(int claimsPerStep)
{
    constexpr int steps = 1000;
    ClaimCoordinator coordinator;
    FakeLog log;
    log.setTime(Start);
    TimePoint now{std::chrono::hours(1)};
    std::uint64_t proposed = 0;
    std::uint64_t decided = 0;
    std::uint64_t appends = 0;
    std::optional<std::pair<TimePoint, AppendRecords>> inFlightAppend;
    const auto perform = [&](const ClaimActions &actions) {
        for (const ClaimAction &action : actions) {
            if (const auto *append = std::get_if<AppendRecords>(&action)) {
                inFlightAppend.emplace(now + 20ms, *append);
                ++appends;
            } else if (std::get_if<AnswerClaim>(&action) != nullptr) {
                ++decided;
            }
        }
    };
    const auto started = std::chrono::steady_clock::now();
    for (int step = 0; step < steps; ++step) {
        now += 10ms;
        for (int i = 0; i < claimsPerStep; ++i) {
            const ClaimRecord record = claimRecord(proposed);
            perform(coordinator.propose(now, Start, {proposed++, record.workspace, record.key, record.attempt, now + 30s}));
        }
        if (inFlightAppend && now >= inFlightAppend->first) {
            const auto append = std::exchange(inFlightAppend, std::nullopt)->second;
            log.append("claims-00", append.records);
            perform(coordinator.appendFinished(now, append.batch, AppendResult::Appended));
            perform(coordinator.readFinished(now, log.read("claims-00", coordinator.nextOffset(), 1000), now, true));
        }
        perform(coordinator.advance(now));
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - started;
    constexpr double seconds = steps / 100.0;
    std::printf("coordinator asked_per_s=%.0f decided_per_s=%.0f appends_per_s=%.1f us_per_claim=%.1f (with the fake log)\n",
                static_cast<double>(proposed) / seconds,
                static_cast<double>(decided) / seconds,
                static_cast<double>(appends) / seconds,
                time.count() / static_cast<double>(decided));
}

}
}

int main()
{
    std::printf("cores=%u seed=%llu\n", std::thread::hardware_concurrency(), static_cast<unsigned long long>(Lentillock::Seed));
    for (const std::uint64_t keys : {1000U, 10000U, 100000U, 400000U}) {
        Lentillock::measureMemory(keys);
    }
    for (const int claimsPerStep : {1, 4, 16, 64}) {
        Lentillock::measureRate(claimsPerStep);
    }
    return 0;
}
