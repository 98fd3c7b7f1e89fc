#include "config/configstatemachine.h"

#include <algorithm>

namespace Lentillock
{

std::vector<ConfigRules> knownConfigRules()
{
    return {{1, DocumentValidator::validate, DocumentValidator::validateChange}};
}

std::uint32_t newestRulesVersion()
{
    return knownConfigRules().back().version;
}

ConfigStateMachine::ConfigStateMachine(std::vector<ConfigRules> rules)
    : rules_(std::move(rules))
    , document_(std::make_shared<const ServingDocument>())
{
    state_.rulesVersion = rules_.front().version;
    state_.throughOffset = FirstOffset - 1;
    recordDigest();
}

std::optional<ConfigStateMachine> ConfigStateMachine::restore(std::string_view snapshotData, Findings &findings, std::vector<ConfigRules> rules)
{
    ConfigStateMachine stateMachine(std::move(rules));
    ConfigRecord record = decodeRecord(snapshotData, [&](std::uint64_t version) { return stateMachine.findRules(version) != nullptr; });
    if (const auto *malformed = std::get_if<MalformedRecord>(&record)) {
        findings.append(malformed->findings);
        return std::nullopt;
    }
    auto *snapshot = std::get_if<SnapshotRecord>(&record);
    if (snapshot == nullptr) {
        findings.addError("record", "", "is not a snapshot with a supported rules version");
        return std::nullopt;
    }
    if (snapshot->snapshot.digest() != snapshot->digest) {
        findings.addError("record", "/digest", "does not match the content of the snapshot");
        return std::nullopt;
    }
    stateMachine.state_ = std::move(snapshot->snapshot);
    SectionTexts texts;
    for (const auto &[name, state] : stateMachine.state_.sections) {
        texts.emplace(name, state.text);
        stateMachine.version_ = std::max(stateMachine.version_, state.version);
    }
    if (stateMachine.version_ > stateMachine.state_.throughOffset) {
        findings.addError("record", "/throughOffset", "must not be below the version of a section");
        return std::nullopt;
    }
    stateMachine.document_ = stateMachine.findRules(stateMachine.state_.rulesVersion)->validate(texts, findings);
    if (stateMachine.document_ == nullptr) {
        return std::nullopt;
    }
    stateMachine.recentDigests_.clear();
    stateMachine.recordDigest();
    return stateMachine;
}

ConfigDecision ConfigStateMachine::apply(const LogRecord &record)
{
    ConfigDecision decision;
    decision.offset = record.offset;
    decision.time = record.time;
    if (unknownRulesVersion_ || record.offset < nextOffset()) {
        return decision;
    }
    ConfigRecord decoded = decodeRecord(record.data, [this](std::uint64_t version) { return findRules(version) != nullptr; });
    if (const auto *unknown = std::get_if<UnknownRulesVersion>(&decoded)) {
        unknownRulesVersion_ = unknown->rulesVersion;
        return decision;
    }
    if (const auto *snapshot = std::get_if<SnapshotRecord>(&decoded)) {
        verifySnapshot(*snapshot, decision);
    }
    // Expiry of ids depends only on record times and runs for every kind of record, so that all replicas drop the same ids.
    pruneDecidedIds(record.time);
    state_.throughOffset = record.offset;
    if (auto *publish = std::get_if<PublishRecord>(&decoded)) {
        applyPublish(record, std::move(*publish), decision);
    } else if (auto *malformed = std::get_if<MalformedRecord>(&decoded)) {
        decision.verdict = ConfigVerdict::Malformed;
        decision.findings = std::move(malformed->findings);
    }
    recordDigest();
    return decision;
}

void ConfigStateMachine::applyPublish(const LogRecord &record, PublishRecord publish, ConfigDecision &decision)
{
    const SectionState current = section(publish.section);
    decision.currentVersion = current.version;
    decision.record = std::move(publish);
    const PublishRecord &proposal = decision.record;
    if (!state_.decidedIds.emplace(proposal.id, record.time).second) {
        decision.verdict = ConfigVerdict::Repeated;
        return;
    }
    if (proposal.base != current.version) {
        decision.verdict = ConfigVerdict::Conflict;
        decision.currentText = current.text;
        return;
    }
    if (proposal.rulesVersion < state_.rulesVersion) {
        decision.verdict = ConfigVerdict::OldRules;
        return;
    }
    ServingDocumentPtr document = validate(proposal, decision.findings);
    if (document == nullptr) {
        decision.verdict = ConfigVerdict::Invalid;
        return;
    }
    decision.verdict = ConfigVerdict::Accepted;
    document_ = std::move(document);
    version_ = record.offset;
    state_.rulesVersion = proposal.rulesVersion;
    state_.sections.insert_or_assign(proposal.section, SectionState{record.offset, proposal.text});
}

ServingDocumentPtr ConfigStateMachine::validate(const PublishRecord &record, Findings &findings) const
{
    const ConfigRules &applicable = *findRules(record.rulesVersion);
    if (record.rulesVersion == state_.rulesVersion) {
        return applicable.validateChange(*document_, record.section, record.text, findings);
    }
    // The other sections were accepted under older rules and have to be validated again.
    SectionTexts texts;
    for (const auto &[name, state] : state_.sections) {
        texts.emplace(name, state.text);
    }
    texts.insert_or_assign(record.section, record.text);
    return applicable.validate(texts, findings);
}

void ConfigStateMachine::verifySnapshot(const SnapshotRecord &record, ConfigDecision &decision) const
{
    decision.verdict = ConfigVerdict::Snapshot;
    const std::uint64_t offset = record.snapshot.throughOffset;
    const std::string digest = record.snapshot.digest();
    decision.snapshotThroughOffset = offset;
    const auto own = std::find_if(recentDigests_.begin(), recentDigests_.end(), [&](const auto &entry) { return entry.first == offset; });
    if (digest != record.digest || offset >= decision.offset || (own != recentDigests_.end() && own->second != digest)) {
        decision.verdict = ConfigVerdict::SnapshotMismatch;
        decision.findings.addError(
            "record", "/digest", "the snapshot through offset " + std::to_string(offset) + " differs from the state computed from the log");
    }
}

void ConfigStateMachine::pruneDecidedIds(WallTime now)
{
    std::erase_if(state_.decidedIds, [now](const auto &entry) { return entry.second + DeduplicationWindow < now; });
}

void ConfigStateMachine::recordDigest()
{
    recentDigests_.emplace_back(state_.throughOffset, state_.digest());
    if (recentDigests_.size() > MaxRecentDigests) {
        recentDigests_.pop_front();
    }
}

const ConfigRules *ConfigStateMachine::findRules(std::uint64_t version) const
{
    const auto found = std::find_if(rules_.begin(), rules_.end(), [version](const ConfigRules &candidate) { return candidate.version == version; });
    return found == rules_.end() ? nullptr : &*found;
}

std::uint64_t ConfigStateMachine::nextOffset() const
{
    return state_.throughOffset + 1;
}

std::uint64_t ConfigStateMachine::version() const
{
    return version_;
}

const ServingDocumentPtr &ConfigStateMachine::document() const
{
    return document_;
}

SectionState ConfigStateMachine::section(std::string_view name) const
{
    const auto found = state_.sections.find(name);
    return found == state_.sections.end() ? SectionState() : found->second;
}

const ConfigSnapshot &ConfigStateMachine::state() const
{
    return state_;
}

std::string ConfigStateMachine::snapshotData() const
{
    return encodeRecord(state_);
}

std::optional<std::uint64_t> ConfigStateMachine::unknownRulesVersion() const
{
    return unknownRulesVersion_;
}

}
