#include "gateway/crashattributioncodec.h"

#include "gateway/datagrambytes.h"
#include "gateway/datagramchecksum.h"

#include <boost/endian/buffers.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace Lentillock
{

namespace
{

using detail::appendBytes;
using detail::takeBytes;

constexpr std::array<char, 4> Magic{'L', 'T', 'C', '3'};

/// Limits a message to one datagram that is not fragmented.
constexpr std::size_t MaxEntryBytes = 1200;

enum class EntryType : std::uint8_t {
    Crash = 1,
    Block = 2,
};

struct WireHeader {
    std::array<char, 4> magic;
    boost::endian::little_uint8_buf_t mustForward;
};

struct WireEntry {
    boost::endian::little_uint8_buf_t type;
    boost::endian::little_uint8_buf_t partCount;
};

struct WireCrash {
    boost::endian::little_uint64_buf_t run;
    boost::endian::little_uint64_buf_t endpoint;
    boost::endian::little_uint32_buf_t ageMs;
    boost::endian::little_uint16_buf_t soundParts;
    boost::endian::little_uint64_buf_t promptHash;
    boost::endian::little_uint8_buf_t isPromptSound;
    boost::endian::little_uint8_buf_t stage;
};

struct WireBlock {
    boost::endian::little_uint32_buf_t revision;
    boost::endian::little_uint32_buf_t ageMs;
    boost::endian::little_uint32_buf_t remainingMs;
    boost::endian::little_uint8_buf_t failedTrials;
    boost::endian::little_uint64_buf_t promptHash;
};

std::uint32_t wireTime(Duration time)
{
    const auto count = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

template<typename Value>
std::string encodeEntry(EntryType type, const Value &value, const PromptParts &parts)
{
    WireEntry header{};
    header.type = static_cast<std::uint8_t>(type);
    header.partCount = static_cast<std::uint8_t>(std::min(parts.size(), MaxPromptParts));
    std::string bytes;
    appendBytes(bytes, header);
    appendBytes(bytes, value);
    for (std::size_t index = 0; index < header.partCount.value(); ++index) {
        boost::endian::little_uint64_buf_t part{};
        part = parts[index].value;
        appendBytes(bytes, part);
    }
    return bytes;
}

std::string encodeCrash(const StartCrash &crash, TimePoint now)
{
    WireCrash wire{};
    wire.run = crash.run;
    wire.endpoint = crash.endpoint;
    wire.ageMs = wireTime(now - crash.at);
    wire.soundParts = crash.soundParts;
    wire.promptHash = crash.promptHash;
    wire.isPromptSound = crash.isPromptSound ? 1 : 0;
    wire.stage = static_cast<std::uint8_t>(crash.stage);
    return encodeEntry(EntryType::Crash, wire, crash.parts);
}

std::string encodeBlock(const PromptPartBlock &block, TimePoint now)
{
    WireBlock wire{};
    wire.revision = block.revision;
    wire.promptHash = block.promptHash;
    wire.ageMs = wireTime(now - block.since);
    wire.remainingMs = wireTime(block.until - now);
    wire.failedTrials = static_cast<std::uint8_t>(std::min<int>(block.failedTrials, std::numeric_limits<std::uint8_t>::max()));
    return encodeEntry(EntryType::Block, wire, block.parts);
}

bool takeParts(std::string_view &bytes, std::size_t count, PromptParts &parts)
{
    for (std::size_t index = 0; index < count; ++index) {
        boost::endian::little_uint64_buf_t part{};
        if (!takeBytes(bytes, part)) {
            return false;
        }
        parts.push_back({part.value()});
    }
    return count <= MaxPromptParts;
}

bool takeEntry(std::string_view &bytes, CrashAttributionUpdate &update, TimePoint now)
{
    WireEntry header{};
    if (!takeBytes(bytes, header)) {
        return false;
    }
    if (header.type.value() == static_cast<std::uint8_t>(EntryType::Crash)) {
        WireCrash wire{};
        StartCrash crash;
        if (!takeBytes(bytes, wire) || !takeParts(bytes, header.partCount.value(), crash.parts)) {
            return false;
        }
        crash.run = wire.run.value();
        crash.endpoint = wire.endpoint.value();
        crash.at = now - milliseconds(wire.ageMs.value());
        crash.soundParts = wire.soundParts.value();
        crash.promptHash = wire.promptHash.value();
        crash.isPromptSound = wire.isPromptSound.value() != 0;
        crash.stage = static_cast<CrashedRunStage>(wire.stage.value());
        if (crash.prompt().isEmpty() || crash.stage > CrashedRunStage::Waiting) {
            return false;
        }
        update.crashes.push_back(std::move(crash));
        return true;
    }
    WireBlock wire{};
    PromptPartBlock block;
    if (header.type.value() != static_cast<std::uint8_t>(EntryType::Block) || !takeBytes(bytes, wire)
        || !takeParts(bytes, header.partCount.value(), block.parts)) {
        return false;
    }
    block.promptHash = wire.promptHash.value();
    if (block.parts.empty() && !block.isForWholePrompt()) {
        return false;
    }
    block.revision = wire.revision.value();
    block.since = now - milliseconds(wire.ageMs.value());
    block.until = now + std::min<Duration>(milliseconds(wire.remainingMs.value()), MaxBlockTime);
    block.failedTrials = wire.failedTrials.value();
    update.blocks.push_back(std::move(block));
    return true;
}

}

std::vector<std::string> encodeCrashAttribution(const CrashAttributionUpdate &update, bool mustForward, TimePoint now)
{
    WireHeader header{.magic = Magic, .mustForward = {}};
    header.mustForward = mustForward ? 1 : 0;
    std::vector<std::string> datagrams;
    std::string bytes;
    const auto append = [&](const std::string &entry) {
        if (!bytes.empty() && bytes.size() + entry.size() > MaxEntryBytes) {
            datagrams.push_back(std::move(bytes));
            bytes.clear();
        }
        if (bytes.empty()) {
            appendBytes(bytes, header);
        }
        bytes += entry;
    };
    for (const PromptPartBlock &block : update.blocks) {
        append(encodeBlock(block, now));
    }
    for (const StartCrash &crash : update.crashes) {
        append(encodeCrash(crash, now));
    }
    if (!bytes.empty()) {
        datagrams.push_back(std::move(bytes));
    }
    std::for_each(datagrams.begin(), datagrams.end(), appendChecksum);
    return datagrams;
}

std::optional<CrashAttributionMessage> decodeCrashAttribution(std::string_view bytes, TimePoint now)
{
    const bool hasMagic = bytes.size() >= Magic.size() && std::equal(Magic.begin(), Magic.end(), bytes.begin());
    const auto content = hasMagic ? verifyChecksum(bytes) : std::nullopt;
    WireHeader header{};
    if (!content) {
        return std::nullopt;
    }
    std::string_view rest = *content;
    if (!takeBytes(rest, header)) {
        return std::nullopt;
    }
    CrashAttributionMessage message{.mustForward = header.mustForward.value() != 0};
    while (!rest.empty()) {
        if (!takeEntry(rest, message.update, now)) {
            return std::nullopt;
        }
    }
    return message;
}

}
