#include "gateway/crashattribution.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Lentillock
{

namespace
{

/// After this time without an outcome, for example because the caller has left, another request may be tried.
constexpr Duration TrialTimeout = 30s;

/// Crashes of which all parts have proved sound are sent for this time, so that all VMs learn it.
constexpr Duration SoundCrashSendTime = 5s;

/// Number of @p crashes that are at least MinCrashInterval apart, or 0 if they are on too few endpoints.
std::size_t independentCrashes(const std::vector<const StartCrash *> &crashes)
{
    std::set<std::uint64_t> endpoints;
    std::size_t count = 0;
    std::optional<TimePoint> last;
    for (const StartCrash *crash : crashes) {
        endpoints.insert(crash->endpoint);
        if (!last || crash->at - *last >= MinCrashInterval) {
            last = crash->at;
            ++count;
        }
    }
    return endpoints.size() >= MinCrashedEndpoints ? count : 0;
}

/// The parts that all @p crashes have in common and that none of them has shown to be sound, in ascending order.
PromptParts commonParts(const std::vector<const StartCrash *> &crashes)
{
    PromptParts common;
    for (const PromptPartId &part : crashes.front()->parts) {
        if (std::all_of(crashes.begin(), crashes.end(), [&part](const StartCrash *crash) { return crash->implicates(part); })) {
            common.push_back(part);
        }
    }
    std::sort(common.begin(), common.end());
    common.erase(std::unique(common.begin(), common.end()), common.end());
    return common;
}

}

bool StartCrash::implicates(const PromptPartId &part) const
{
    const auto found = std::find(parts.begin(), parts.end(), part);
    return found != parts.end() && (soundParts >> (found - parts.begin()) & 1) == 0;
}

bool PromptPartBlock::isInForce() const
{
    return revision % 2 == 1;
}

bool PromptPartBlock::matches(const PromptParts &prompt) const
{
    return std::all_of(
        parts.begin(), parts.end(), [&prompt](const PromptPartId &part) { return std::find(prompt.begin(), prompt.end(), part) != prompt.end(); });
}

bool CrashAttributionUpdate::isEmpty() const
{
    return crashes.empty() && blocks.empty();
}

CrashAttribution::CrashAttribution(Duration initialBlockTime)
    : initialBlockTime_(initialBlockTime)
{
}

void CrashAttribution::recordCrash(const StartCrash &crash, TimePoint now)
{
    if (crash.parts.empty()) {
        return;
    }
    addCrash(crash);
    hasUnsentEvidence_ = true;
    for (PromptPartBlock &block : blocks_) {
        if (block.isInForce() && block.matches(crash.parts) && now >= block.until) {
            prolong(block, now);
        }
    }
    evaluate(now);
}

void CrashAttribution::recordStart(const PromptParts &parts, TimePoint now)
{
    for (const PromptPartId &part : parts) {
        auto &byPart = soundParts_.get<1>();
        if (const auto known = byPart.find(part); known != byPart.end()) {
            byPart.erase(known);
        }
        soundParts_.push_back({part, now});
        if (soundParts_.size() > MaxSoundParts) {
            soundParts_.pop_front();
        }
    }
    const bool hasChanged = markSound(parts, now);
    for (PromptPartBlock &block : blocks_) {
        if (block.isInForce() && block.matches(parts)) {
            release(block);
        }
    }
    if (hasChanged) {
        evaluate(now);
    }
}

PromptPartDecision CrashAttribution::decide(const PromptParts &parts, bool mayTry, TimePoint now)
{
    std::vector<const PromptPartBlock *> matching;
    for (const PromptPartBlock &block : blocks_) {
        if (block.isInForce() && block.matches(parts)) {
            matching.push_back(&block);
        }
    }
    if (matching.empty()) {
        return {};
    }
    const PromptPartBlock *last
        = *std::max_element(matching.begin(), matching.end(), [](const auto *left, const auto *right) { return left->until < right->until; });
    if (now < last->until) {
        return {.kind = PromptPartDecision::Kind::Reject, .retryAfter = last->until - now};
    }
    // The outcome of a request that matches several blocks would not show which of them is still needed.
    const auto trial = trials_.find(last->parts);
    const bool isTrying = trial != trials_.end() && now - trial->second < TrialTimeout;
    if (!mayTry || matching.size() > 1 || isTrying) {
        return {.kind = PromptPartDecision::Kind::Reject, .retryAfter = TrialTimeout};
    }
    trials_[last->parts] = now;
    return {.kind = PromptPartDecision::Kind::Try};
}

bool CrashAttribution::isBlocked(const PromptParts &parts) const
{
    return std::any_of(blocks_.begin(), blocks_.end(), [&parts](const PromptPartBlock &block) { return block.isInForce() && block.matches(parts); });
}

bool CrashAttribution::isSuspected(const PromptParts &parts) const
{
    return std::any_of(
        parts.begin(), parts.end(), [this](const PromptPartId &part) { return independentCrashes(evidenceAgainst(part)) + 1 >= BlockingCrashes; });
}

void CrashAttribution::merge(const CrashAttributionUpdate &update, TimePoint now)
{
    for (const StartCrash &received : update.crashes) {
        if (received.parts.empty() || received.parts.size() > MaxPromptParts || now - received.at > CrashRetention) {
            continue;
        }
        Evidence &evidence = addCrash(received);
        evidence.sharedSoundParts |= received.soundParts;
        StartCrash &crash = evidence.crash;
        for (std::size_t index = 0; index < crash.parts.size(); ++index) {
            const auto &byPart = soundParts_.get<1>();
            const auto sound = byPart.find(crash.parts[index]);
            if (sound != byPart.end() && sound->at > crash.at) {
                crash.soundParts |= static_cast<std::uint16_t>(1U << index);
            }
        }
    }
    for (const PromptPartBlock &received : update.blocks) {
        if (!received.parts.empty() && received.parts.size() <= MaxPromptParts && mergeBlock(received, now)) {
            reportChange(received);
        }
    }
    evaluate(now);
}

CrashAttributionUpdate CrashAttribution::update(TimePoint now) const
{
    CrashAttributionUpdate result;
    for (const auto &[run, evidence] : crashes_) {
        const StartCrash &crash = evidence.crash;
        const bool isSuspicious = std::any_of(crash.parts.begin(), crash.parts.end(), [&crash](const PromptPartId &part) { return crash.implicates(part); });
        if (isSuspicious || now - crash.at < SoundCrashSendTime) {
            result.crashes.push_back(crash);
        }
    }
    result.blocks = blocks_;
    return result;
}

bool CrashAttribution::hasUnsentEvidence() const
{
    return hasUnsentEvidence_;
}

bool CrashAttribution::hasUnsentStarts() const
{
    return std::any_of(crashes_.begin(), crashes_.end(), [](const auto &entry) { return entry.second.crash.soundParts != entry.second.sharedSoundParts; });
}

void CrashAttribution::markSent()
{
    hasUnsentEvidence_ = false;
    for (auto &[run, evidence] : crashes_) {
        evidence.sharedSoundParts = evidence.crash.soundParts;
    }
}

std::vector<PromptPartBlockChange> CrashAttribution::takeChanges()
{
    return std::exchange(changes_, {});
}

void CrashAttribution::expire(TimePoint now)
{
    std::erase_if(crashes_, [now](const auto &entry) { return now - entry.second.crash.at > CrashRetention; });
    // A released block is kept for a while, so that VMs that have not heard of the release do not bring it back.
    std::erase_if(blocks_, [now](const PromptPartBlock &block) { return now - std::max(block.since, block.until) > CrashRetention; });
    std::erase_if(trials_, [now](const auto &trial) { return now - trial.second > TrialTimeout; });
}

const std::vector<PromptPartBlock> &CrashAttribution::blocks() const
{
    return blocks_;
}

std::size_t CrashAttribution::crashCount() const
{
    return crashes_.size();
}

bool CrashAttribution::markSound(const PromptParts &parts, TimePoint at)
{
    bool hasChanged = false;
    for (auto &[run, evidence] : crashes_) {
        StartCrash &crash = evidence.crash;
        const std::uint16_t before = crash.soundParts;
        for (std::size_t index = 0; index < crash.parts.size(); ++index) {
            if (crash.at < at && std::find(parts.begin(), parts.end(), crash.parts[index]) != parts.end()) {
                crash.soundParts |= static_cast<std::uint16_t>(1U << index);
            }
        }
        hasChanged = hasChanged || crash.soundParts != before;
    }
    return hasChanged;
}

CrashAttribution::Evidence &CrashAttribution::addCrash(const StartCrash &crash)
{
    const auto [found, isNew] = crashes_.try_emplace(crash.run, Evidence{.crash = crash});
    if (!isNew && found->second.crash.parts == crash.parts) {
        found->second.crash.soundParts |= crash.soundParts;
    }
    if (crashes_.size() > MaxStartCrashes) {
        const auto oldest = std::min_element(crashes_.begin(), crashes_.end(), [run = crash.run](const auto &left, const auto &right) {
            return std::pair(left.first == run, left.second.crash.at) < std::pair(right.first == run, right.second.crash.at);
        });
        crashes_.erase(oldest);
    }
    return found->second;
}

void CrashAttribution::addBlock(PromptPartBlock block)
{
    if (PromptPartBlock *known = findBlock(block.parts)) {
        block.revision = known->revision + 1;
        *known = block;
    } else {
        if (blocks_.size() >= MaxPromptPartBlocks) {
            blocks_.erase(std::min_element(blocks_.begin(), blocks_.end(), [](const auto &left, const auto &right) {
                return std::pair(left.isInForce(), left.until) < std::pair(right.isInForce(), right.until);
            }));
        }
        blocks_.push_back(block);
    }
    reportChange(block);
}

void CrashAttribution::prolong(PromptPartBlock &block, TimePoint now)
{
    Duration time = initialBlockTime_;
    for (int trial = 0; trial <= block.failedTrials && time < MaxBlockTime; ++trial) {
        time *= 2;
    }
    ++block.failedTrials;
    block.revision += 2;
    block.until = now + std::min(time, MaxBlockTime);
    trials_.erase(block.parts);
    reportChange(block);
}

void CrashAttribution::release(PromptPartBlock &block)
{
    ++block.revision;
    trials_.erase(block.parts);
    hasUnsentEvidence_ = true;
    reportChange(block);
}

void CrashAttribution::reportChange(const PromptPartBlock &block)
{
    PromptPartBlockChange change{.block = block};
    for (const auto &[run, evidence] : crashes_) {
        if (block.matches(evidence.crash.parts)) {
            change.crashes.push_back(evidence.crash);
        }
    }
    std::sort(change.crashes.begin(), change.crashes.end(), [](const StartCrash &left, const StartCrash &right) { return left.at < right.at; });
    changes_.push_back(std::move(change));
}

bool CrashAttribution::mergeBlock(const PromptPartBlock &received, TimePoint now)
{
    PromptPartBlock *known = findBlock(received.parts);
    if (known == nullptr) {
        if (blocks_.size() >= MaxPromptPartBlocks) {
            return false;
        }
        blocks_.push_back(received);
        return received.isInForce();
    }
    if (received.revision <= known->revision) {
        return false;
    }
    const bool wasInForce = known->isInForce();
    *known = received;
    if (!received.isInForce()) {
        markSound(received.parts, now); // The datagram that says so may have been lost.
    }
    return received.isInForce() || wasInForce;
}

void CrashAttribution::evaluate(TimePoint now)
{
    std::map<PromptPartId, std::size_t> crashCounts;
    for (const auto &[run, evidence] : crashes_) {
        for (const PromptPartId &part : evidence.crash.parts) {
            crashCounts[part] += evidence.crash.implicates(part) ? 1 : 0;
        }
    }
    for (const auto &[part, count] : crashCounts) {
        if (count < BlockingCrashes) {
            continue;
        }
        const std::vector<const StartCrash *> evidence = evidenceAgainst(part);
        if (independentCrashes(evidence) < BlockingCrashes) {
            continue;
        }
        const PromptParts parts = commonParts(evidence);
        if (!isBlocked(parts)) {
            addBlock({.parts = parts, .revision = 1, .since = now, .until = now + initialBlockTime_});
        }
    }
}

std::vector<const StartCrash *> CrashAttribution::evidenceAgainst(const PromptPartId &part) const
{
    std::vector<const StartCrash *> result;
    for (const auto &[run, evidence] : crashes_) {
        const StartCrash &crash = evidence.crash;
        if (!crash.implicates(part)) {
            continue;
        }
        const bool isExplained = std::any_of(blocks_.begin(), blocks_.end(), [&crash, &part](const PromptPartBlock &block) {
            return block.isInForce() && block.matches(crash.parts) && std::find(block.parts.begin(), block.parts.end(), part) == block.parts.end();
        });
        if (!isExplained) {
            result.push_back(&crash);
        }
    }
    std::sort(result.begin(), result.end(), [](const StartCrash *left, const StartCrash *right) { return left->at < right->at; });
    return result;
}

PromptPartBlock *CrashAttribution::findBlock(const PromptParts &parts)
{
    const auto found = std::find_if(blocks_.begin(), blocks_.end(), [&parts](const PromptPartBlock &block) { return block.parts == parts; });
    return found == blocks_.end() ? nullptr : &*found;
}

}
