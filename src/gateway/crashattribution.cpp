#include "gateway/crashattribution.h"

#include "gateway/crashevidence.h"
#include "gateway/crashexplanations.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Lentillock
{

namespace
{

/// After this time without an outcome, for example because the caller has left, another request may be tried.
constexpr Duration TrialTimeout = 30s;

/// Crashes that are no evidence, or not yet, are sent for this time, so that all VMs learn it, and know the prompt.
constexpr Duration SoundCrashSendTime = 5s;

bool containsAll(const PromptParts &known, const PromptParts &parts)
{
    return std::all_of(parts.begin(), parts.end(), [&known](const PromptPartId &part) { return std::find(known.begin(), known.end(), part) != known.end(); });
}

}

bool StartCrash::implicates(const PromptPartId &part) const
{
    const auto found = std::find(parts.begin(), parts.end(), part);
    return found != parts.end() && (soundParts >> (found - parts.begin()) & 1) == 0;
}

bool StartCrash::implicatesPrompt() const
{
    return promptHash != 0 && !isPromptSound;
}

PromptIdentity StartCrash::prompt() const
{
    return {parts, promptHash};
}

bool PromptPartBlock::isInForce() const
{
    return revision % 2 == 1;
}

bool PromptPartBlock::isForWholePrompt() const
{
    return promptHash != 0;
}

bool PromptPartBlock::matches(const PromptIdentity &prompt) const
{
    return isForWholePrompt() ? prompt.hash == promptHash : containsAll(prompt.parts, parts);
}

bool PromptPartBlock::matches(const StartCrash &crash) const
{
    return isForWholePrompt() ? crash.promptHash == promptHash : containsAll(crash.parts, parts);
}

bool PromptPartBlock::hasSameSubject(const PromptPartBlock &other) const
{
    return promptHash == other.promptHash && (isForWholePrompt() || parts == other.parts);
}

bool CrashAttributionUpdate::isEmpty() const
{
    return crashes.empty() && blocks.empty();
}

CrashAttribution::CrashAttribution(Duration initialBlockTime)
    : initialBlockTime_(initialBlockTime)
    , soundParts_(MaxSoundParts)
    , soundPrompts_(MaxSoundPrompts)
{
}

void CrashAttribution::recordCrash(const StartCrash &crash, TimePoint now)
{
    if (crash.prompt().isEmpty()) {
        return;
    }
    addCrash(crash);
    hasUnsentEvidence_ = true;
    for (PromptPartBlock &block : blocks_) {
        // The crash may have been confirmed much later than it happened.
        if (block.isInForce() && block.matches(crash) && crash.at >= block.until) {
            prolong(block, crash.at);
        }
    }
    evaluate(now);
}

bool CrashAttribution::hasCrashOf(std::uint64_t endpoint, TimePoint at) const
{
    return std::any_of(crashes_.begin(), crashes_.end(), [endpoint, at](const auto &entry) {
        const StartCrash &crash = entry.second.crash;
        return crash.endpoint == endpoint && std::chrono::abs(crash.at - at) <= detail::SameCrashTime;
    });
}

void CrashAttribution::recordStart(const PromptIdentity &prompt, TimePoint now)
{
    for (const PromptPartId &part : prompt.parts) {
        soundParts_.record(part.value, now);
    }
    if (prompt.hash != 0) {
        soundPrompts_.record(prompt.hash, now);
    }
    const bool hasChanged = markSound(prompt, now);
    for (PromptPartBlock &block : blocks_) {
        if (block.isInForce() && block.matches(prompt)) {
            release(block, now);
            hasUnsentEvidence_ = true;
        }
    }
    if (hasChanged) {
        evaluate(now);
    }
}

PromptPartDecision CrashAttribution::decide(const PromptIdentity &prompt, bool mayTry, TimePoint now)
{
    std::vector<const PromptPartBlock *> matching;
    for (const PromptPartBlock &block : blocks_) {
        if (block.isInForce() && block.matches(prompt)) {
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
    const PromptIdentity subject{last->parts, last->promptHash};
    const auto trial = trials_.find(subject);
    const bool isTrying = trial != trials_.end() && now - trial->second < TrialTimeout;
    if (!mayTry || matching.size() > 1 || isTrying) {
        return {.kind = PromptPartDecision::Kind::Reject, .retryAfter = TrialTimeout};
    }
    trials_[subject] = now;
    return {.kind = PromptPartDecision::Kind::Try};
}

bool CrashAttribution::isBlocked(const PromptIdentity &prompt) const
{
    return std::any_of(blocks_.begin(), blocks_.end(), [&prompt](const PromptPartBlock &block) { return block.isInForce() && block.matches(prompt); });
}

bool CrashAttribution::isSuspected(const PromptIdentity &prompt) const
{
    const detail::CrashExplanations explained = explanations();
    return std::any_of(prompt.parts.begin(), prompt.parts.end(), [this, &explained](const PromptPartId &part) {
        const Crashes crashes = evidenceAgainst(part, explained);
        return detail::incidentsOf(crashes, MinCrashInterval).size() + 1 >= BlockingCrashes && detail::endpointCount(crashes) >= MinCrashedEndpoints;
    });
}

void CrashAttribution::merge(const CrashAttributionUpdate &update, TimePoint now)
{
    for (const StartCrash &received : update.crashes) {
        if (received.prompt().isEmpty() || received.parts.size() > MaxPromptParts || now - received.at > CrashRetention) {
            continue;
        }
        Evidence &evidence = addCrash(received);
        // A VM that does not know of a start yet, although it has been sent, has lost the datagram.
        evidence.sharedSoundParts = received.soundParts;
        evidence.isSharedPromptSound = received.isPromptSound;
        StartCrash &crash = evidence.crash;
        for (std::size_t index = 0; index < crash.parts.size(); ++index) {
            if (soundParts_.hasStartedAfter(crash.parts[index].value, crash.at)) {
                crash.soundParts |= static_cast<std::uint16_t>(1U << index);
            }
        }
        crash.isPromptSound = crash.isPromptSound || soundPrompts_.hasStartedAfter(crash.promptHash, crash.at);
    }
    for (const PromptPartBlock &received : update.blocks) {
        const auto unsent = unsentBlocks_.find({received.parts, received.promptHash});
        if (unsent != unsentBlocks_.end() && received.revision >= unsent->second) {
            unsentBlocks_.erase(unsent);
        }
        const bool hasSubject = received.isForWholePrompt() || !received.parts.empty();
        if (hasSubject && received.parts.size() <= MaxPromptParts && mergeBlock(received)) {
            reportChange(received);
        }
    }
    evaluate(now);
}

CrashAttributionUpdate CrashAttribution::update(TimePoint now) const
{
    CrashAttributionUpdate result;
    const std::map<PromptPartId, std::size_t> counts = implicationCounts();
    for (const auto &[run, evidence] : crashes_) {
        const StartCrash &crash = evidence.crash;
        // Most waiting runs are victims, whose parts no other crash implicates. They are sent once.
        const std::size_t neededCount = crash.stage == CrashedRunStage::Waiting ? 2 : 1;
        const bool isSuspicious = std::any_of(
            crash.parts.begin(), crash.parts.end(), [&](const PromptPartId &part) { return crash.implicates(part) && counts.at(part) >= neededCount; });
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

bool CrashAttribution::hasUnsentVerdicts() const
{
    return hasOutdatedPeer_ || !unsentBlocks_.empty() || std::any_of(crashes_.begin(), crashes_.end(), [](const auto &entry) {
               const Evidence &evidence = entry.second;
               return evidence.crash.soundParts != evidence.sharedSoundParts || evidence.crash.isPromptSound != evidence.isSharedPromptSound;
           });
}

void CrashAttribution::markSent()
{
    hasUnsentEvidence_ = false;
    hasOutdatedPeer_ = false;
    unsentBlocks_.clear();
    for (auto &[run, evidence] : crashes_) {
        evidence.sharedSoundParts = evidence.crash.soundParts;
        evidence.isSharedPromptSound = evidence.crash.isPromptSound;
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
    if (hasUnreportedRuns_) {
        evaluate(now);
    }
}

const std::vector<PromptPartBlock> &CrashAttribution::blocks() const
{
    return blocks_;
}

std::size_t CrashAttribution::crashCount() const
{
    return crashes_.size();
}

bool CrashAttribution::markSound(const PromptIdentity &prompt, TimePoint at)
{
    bool hasChanged = false;
    for (auto &[run, evidence] : crashes_) {
        StartCrash &crash = evidence.crash;
        if (crash.at >= at) {
            continue;
        }
        const std::uint16_t before = crash.soundParts;
        const bool wasPromptSound = crash.isPromptSound;
        for (std::size_t index = 0; index < crash.parts.size(); ++index) {
            if (std::find(prompt.parts.begin(), prompt.parts.end(), crash.parts[index]) != prompt.parts.end()) {
                crash.soundParts |= static_cast<std::uint16_t>(1U << index);
            }
        }
        crash.isPromptSound = crash.isPromptSound || (prompt.hash != 0 && prompt.hash == crash.promptHash);
        hasChanged = hasChanged || crash.soundParts != before || crash.isPromptSound != wasPromptSound;
    }
    return hasChanged;
}

CrashAttribution::Evidence &CrashAttribution::addCrash(const StartCrash &crash)
{
    const auto [found, isNew] = crashes_.try_emplace(crash.run, Evidence{.crash = crash});
    if (!isNew && found->second.crash.prompt() == crash.prompt()) {
        found->second.crash.soundParts |= crash.soundParts;
        found->second.crash.isPromptSound = found->second.crash.isPromptSound || crash.isPromptSound;
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
    if (PromptPartBlock *known = findBlock(block)) {
        block.revision = known->revision + 1;
        *known = block;
    } else {
        if (blocks_.size() >= MaxPromptPartBlocks) {
            blocks_.erase(std::min_element(blocks_.begin(), blocks_.end(), [](const auto &left, const auto &right) {
                return std::tuple(left.isInForce(), !left.isForWholePrompt(), left.until)
                    < std::tuple(right.isInForce(), !right.isForWholePrompt(), right.until);
            }));
        }
        blocks_.push_back(block);
    }
    unsentBlocks_[{block.parts, block.promptHash}] = block.revision;
    reportChange(block);
}

void CrashAttribution::prolong(PromptPartBlock &block, TimePoint crashedAt)
{
    Duration time = initialBlockTime_;
    for (int trial = 0; trial <= block.failedTrials && time < MaxBlockTime; ++trial) {
        time *= 2;
    }
    ++block.failedTrials;
    block.revision += 2;
    block.until = crashedAt + std::min(time, MaxBlockTime);
    trials_.erase({block.parts, block.promptHash});
    reportChange(block);
}

void CrashAttribution::release(PromptPartBlock &block, TimePoint at)
{
    ++block.revision;
    block.since = at;
    trials_.erase({block.parts, block.promptHash});
    reportChange(block);
}

void CrashAttribution::reportChange(const PromptPartBlock &block)
{
    PromptPartBlockChange change{.block = block};
    for (const auto &[run, evidence] : crashes_) {
        if (block.matches(evidence.crash)) {
            change.crashes.push_back(evidence.crash);
        }
    }
    std::sort(change.crashes.begin(), change.crashes.end(), [](const StartCrash &left, const StartCrash &right) { return left.at < right.at; });
    changes_.push_back(std::move(change));
}

bool CrashAttribution::mergeBlock(const PromptPartBlock &received)
{
    PromptPartBlock *known = findBlock(received);
    if (known == nullptr) {
        if (blocks_.size() >= MaxPromptPartBlocks) {
            return false;
        }
        blocks_.push_back(received);
        return received.isInForce();
    }
    if (received.revision <= known->revision) {
        hasOutdatedPeer_ = hasOutdatedPeer_ || received.revision < known->revision;
        return false;
    }
    const bool wasInForce = known->isInForce();
    *known = received;
    if (!received.isInForce()) {
        // The datagram that says so may have been lost. Crashes since then are evidence.
        markSound({received.parts, received.promptHash}, received.since);
    }
    return received.isInForce() || wasInForce;
}

void CrashAttribution::evaluate(TimePoint now)
{
    releaseRefutedBlocks();
    evaluatePrompts(now);
    evaluateParts(now);
    hasUnreportedRuns_ = std::any_of(crashes_.begin(), crashes_.end(), [now](const auto &entry) { return !detail::isReported(entry.second.crash, now); });
}

void CrashAttribution::evaluatePrompts(TimePoint now)
{
    std::map<std::uint64_t, Crashes> byPrompt;
    for (const auto &[run, evidence] : crashes_) {
        if (evidence.crash.implicatesPrompt()) {
            byPrompt[evidence.crash.promptHash].push_back(&evidence.crash);
        }
    }
    for (auto &[promptHash, crashes] : byPrompt) {
        std::sort(crashes.begin(), crashes.end(), detail::isEarlier);
        if (detail::areSufficientForPrompt(crashes, detail::MinPromptCrashInterval) && !isBlocked(crashes.front()->prompt())) {
            PromptParts parts = crashes.front()->parts;
            std::sort(parts.begin(), parts.end());
            addBlock({.parts = std::move(parts), .promptHash = promptHash, .revision = 1, .since = now, .until = now + initialBlockTime_});
        }
    }
}

void CrashAttribution::evaluateParts(TimePoint now)
{
    detail::CrashExplanations explained = explanations();
    for (const PromptPartId &part : suspectedParts(explained, now)) {
        // The blocks added so far may explain what seemed to be evidence against this part.
        const Crashes evidence = detail::reported(evidenceAgainst(part, explained), now);
        if (!detail::areSufficient(evidence, MinCrashInterval)) {
            continue;
        }
        const PromptParts parts = detail::commonParts(evidence);
        if (!isBlocked(parts)) {
            const PromptPartBlock block{.parts = parts, .revision = 1, .since = now, .until = now + initialBlockTime_};
            addBlock(block);
            explained.add(block);
        }
    }
}

PromptParts CrashAttribution::suspectedParts(const detail::CrashExplanations &explanations, TimePoint now) const
{
    std::vector<std::pair<double, PromptPartId>> suspects; // With the number of runs for each incident.
    for (const auto &[part, count] : implicationCounts()) {
        if (count < BlockingCrashes) {
            continue;
        }
        const Crashes evidence = detail::reported(evidenceAgainst(part, explanations), now);
        if (detail::areSufficient(evidence, MinCrashInterval)) {
            suspects.emplace_back(static_cast<double>(evidence.size()) / static_cast<double>(detail::incidentsOf(evidence, MinCrashInterval).size()), part);
        }
    }
    std::sort(suspects.begin(), suspects.end());
    PromptParts parts;
    for (const auto &[runs, part] : suspects) {
        parts.push_back(part);
    }
    return parts;
}

std::map<PromptPartId, std::size_t> CrashAttribution::implicationCounts() const
{
    std::map<PromptPartId, std::size_t> counts;
    for (const auto &[run, evidence] : crashes_) {
        for (const PromptPartId &part : evidence.crash.parts) {
            counts[part] += evidence.crash.implicates(part) ? 1 : 0;
        }
    }
    return counts;
}

detail::CrashExplanations CrashAttribution::explanations() const
{
    Crashes crashes;
    for (const auto &[run, evidence] : crashes_) {
        crashes.push_back(&evidence.crash);
    }
    detail::CrashExplanations result(std::move(crashes));
    for (const PromptPartBlock &block : blocks_) {
        if (block.isInForce()) {
            result.add(block);
        }
    }
    return result;
}

void CrashAttribution::releaseRefutedBlocks()
{
    for (PromptPartBlock &block : blocks_) {
        if (!block.isInForce()) {
            continue;
        }
        Crashes matching;
        for (const auto &[run, evidence] : crashes_) {
            if (block.matches(evidence.crash)) {
                matching.push_back(&evidence.crash);
            }
        }
        std::sort(matching.begin(), matching.end(), detail::isEarlier);
        if (const auto startedAfter = detail::refutation(block, matching)) {
            release(block, *startedAfter);
        }
    }
}

CrashAttribution::Crashes CrashAttribution::evidenceAgainst(const PromptPartId &part, const detail::CrashExplanations &explanations) const
{
    Crashes result;
    for (const auto &[run, evidence] : crashes_) {
        if (evidence.crash.implicates(part) && !explanations.isExplained(run, part)) {
            result.push_back(&evidence.crash);
        }
    }
    std::sort(result.begin(), result.end(), detail::isEarlier);
    return result;
}

PromptPartBlock *CrashAttribution::findBlock(const PromptPartBlock &subject)
{
    const auto found = std::find_if(blocks_.begin(), blocks_.end(), [&subject](const PromptPartBlock &block) { return block.hasSameSubject(subject); });
    return found == blocks_.end() ? nullptr : &*found;
}

}
