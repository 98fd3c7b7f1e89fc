// Measures the memory of ClaimStateMachine for each key and the claims that coordinators decide through 300 appends a second.
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

std::size_t usedBytes()
{
    return mallinfo2().uordblks;
}

void measureMemory(std::uint64_t keys)
{
    ClaimStateMachine stateMachine;
    const std::size_t before = usedBytes();
    const auto started = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < keys; ++i) {
        stateMachine.apply({stateMachine.nextOffset(), Start, encodeClaimRecord(claimRecord(i))});
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - started;
    std::printf("ledger keys=%llu bytes_per_key=%.0f us_per_record=%.2f\n",
                static_cast<unsigned long long>(keys),
                static_cast<double>(usedBytes() - before) / static_cast<double>(keys),
                time.count() / static_cast<double>(keys));
}

/// One shard with @p perStep claims every 10 ms of simulated time; appends take 20 ms. Returns appends and decided claims a second.
void measureRate(int perStep)
{
    constexpr int steps = 1000;
    ClaimCoordinator coordinator;
    FakeLog log;
    log.setTime(Start);
    TimePoint now{std::chrono::hours(1)};
    std::uint64_t asked = 0;
    std::uint64_t decided = 0;
    std::uint64_t appends = 0;
    std::optional<std::pair<TimePoint, AppendRecords>> flight;
    const auto perform = [&](const ClaimActions &actions) {
        for (const ClaimAction &action : actions) {
            if (const auto *append = std::get_if<AppendRecords>(&action)) {
                flight.emplace(now + 20ms, *append);
                ++appends;
            } else if (std::get_if<AnswerClaim>(&action) != nullptr) {
                ++decided;
            }
        }
    };
    const auto started = std::chrono::steady_clock::now();
    for (int step = 0; step < steps; ++step) {
        now += 10ms;
        for (int i = 0; i < perStep; ++i) {
            const ClaimRecord record = claimRecord(asked);
            perform(coordinator.propose(now, Start, {asked++, record.workspace, record.key, record.attempt, now + 30s}));
        }
        if (flight && now >= flight->first) {
            const auto append = std::exchange(flight, std::nullopt)->second;
            log.append("claims-00", append.records);
            perform(coordinator.appendFinished(now, append.batch, AppendResult::Appended));
            perform(coordinator.readFinished(now, log.read("claims-00", coordinator.nextOffset(), 1000), now, true));
        }
        perform(coordinator.advance(now));
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - started;
    constexpr double seconds = steps / 100.0;
    std::printf("coordinator asked_per_s=%.0f decided_per_s=%.0f appends_per_s=%.1f us_per_claim=%.1f (with the fake log)\n",
                static_cast<double>(asked) / seconds,
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
    for (const int perStep : {1, 4, 16, 64}) {
        Lentillock::measureRate(perStep);
    }
    return 0;
}
