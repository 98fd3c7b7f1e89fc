#include "gateway/loadreportcodec.h"

#include "gateway/datagrambytes.h"
#include "gateway/datagramchecksum.h"

#include <boost/endian/buffers.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <limits>

namespace Lentillock
{

namespace
{

using detail::appendBytes;

/// Of messages that end with the era of the store, and of those of earlier versions, which do not.
constexpr std::array<char, 4> ReportMagic{'L', 'T', 'L', '5'};
constexpr std::array<char, 4> ReportMagicWithoutEra{'L', 'T', 'L', '4'};
constexpr std::array<char, 4> DigestMagic{'L', 'T', 'D', '5'};
constexpr std::array<char, 4> DigestMagicWithoutEra{'L', 'T', 'D', '4'};

/// Demand and memory are sent in these fractions of their unit.
constexpr double DemandFactor = 10;
constexpr double TokensPerKiloToken = 1000;

struct WireView {
    boost::endian::little_uint64_buf_t planVersion;
    boost::endian::little_uint32_buf_t endpointOffset;
    boost::endian::little_uint32_buf_t endpointDigest;
    boost::endian::little_uint16_buf_t planAgeMs;
    boost::endian::little_uint16_buf_t endpointAgeMs;
};

struct WireNumber {
    boost::endian::little_uint32_buf_t incarnation;
    boost::endian::little_uint32_buf_t sequence;
};

struct WireGroup {
    boost::endian::little_uint32_buf_t zone;
    boost::endian::little_uint16_buf_t part;
    boost::endian::little_uint8_buf_t splitBits;
};

struct WireReport {
    std::array<char, 4> magic;
    WireNumber number;
    boost::endian::little_uint32_buf_t zone;
    WireView view;
    boost::endian::little_uint16_buf_t shortDemandTenths;
    boost::endian::little_uint8_buf_t startedLongPrompt;
    boost::endian::little_uint8_buf_t vmNameLength;
    boost::endian::little_uint8_buf_t entryCount;
};

struct WireDigest {
    std::array<char, 4> magic;
    WireNumber number;
    boost::endian::little_uint64_buf_t reporterHash;
    WireGroup group;
    WireGroup target;
    WireView view;
    boost::endian::little_uint32_buf_t viewOwnerIp;
    std::array<boost::endian::little_uint32_buf_t, std::tuple_size_v<RelayAddresses>> relays;
    boost::endian::little_uint16_buf_t targetAgeMs;
    boost::endian::little_uint16_buf_t vmCount;
    boost::endian::little_uint32_buf_t shortDemandTenths;
    boost::endian::little_uint8_buf_t mustForward;
    boost::endian::little_uint8_buf_t entryCount;
};

struct WireEntry {
    boost::endian::little_uint32_buf_t endpointHash;
    boost::endian::little_uint8_buf_t requests;
    boost::endian::little_uint8_buf_t shortRequests;
    boost::endian::little_uint8_buf_t longRequests;
    boost::endian::little_uint16_buf_t pendingPrefillMs;
    boost::endian::little_uint16_buf_t pendingLongPrefillMs;
    boost::endian::little_uint16_buf_t oldestPendingPrefillAgeMs;
    boost::endian::little_uint16_buf_t memoryKiloTokens;
};

template<typename Integer>
Integer saturatingRound(double value)
{
    return static_cast<Integer>(std::clamp(std::round(value), 0.0, static_cast<double>(std::numeric_limits<Integer>::max())));
}

std::uint16_t wireAge(milliseconds age)
{
    return saturatingRound<std::uint16_t>(static_cast<double>(age.count()));
}

WireView toWire(const ViewReport &view)
{
    WireView wire{};
    wire.planVersion = view.planVersion;
    wire.endpointOffset = view.endpointPosition.offset;
    wire.endpointDigest = view.endpointDigest;
    wire.planAgeMs = wireAge(view.planAge);
    wire.endpointAgeMs = wireAge(view.endpointAge);
    return wire;
}

ViewReport fromWire(const WireView &wire)
{
    return {.planVersion = wire.planVersion.value(),
            .endpointPosition = {.era = 0, .offset = wire.endpointOffset.value()},
            .endpointDigest = wire.endpointDigest.value(),
            .planAge = milliseconds(wire.planAgeMs.value()),
            .endpointAge = milliseconds(wire.endpointAgeMs.value())};
}

WireNumber toWire(const ReportNumber &number)
{
    WireNumber wire{};
    wire.incarnation = number.incarnation;
    wire.sequence = number.sequence;
    return wire;
}

ReportNumber fromWire(const WireNumber &wire)
{
    return {.incarnation = wire.incarnation.value(), .sequence = wire.sequence.value()};
}

WireGroup toWire(const VmGroup &group)
{
    WireGroup wire{};
    wire.zone = group.zone;
    wire.part = group.part;
    wire.splitBits = group.splitBits;
    return wire;
}

/// Returns std::nullopt for a group that no VM can be in.
std::optional<VmGroup> fromWire(const WireGroup &wire)
{
    const VmGroup group{.zone = wire.zone.value(), .splitBits = wire.splitBits.value(), .part = wire.part.value()};
    const bool isValid = group.splitBits <= MaxSplitBits && group.part >> group.splitBits == 0;
    return isValid ? std::optional(group) : std::nullopt;
}

WireEntry toWire(const EndpointLoadReport &report)
{
    const EndpointLoad &load = report.load;
    WireEntry entry{};
    entry.endpointHash = report.endpointHash;
    entry.requests = saturatingRound<std::uint8_t>(load.requests);
    entry.longRequests = saturatingRound<std::uint8_t>(load.longRequests);
    entry.shortRequests = saturatingRound<std::uint8_t>(load.shortRequests);
    entry.pendingPrefillMs = saturatingRound<std::uint16_t>(load.pendingPrefillMs);
    entry.pendingLongPrefillMs = saturatingRound<std::uint16_t>(load.pendingLongPrefillMs);
    entry.oldestPendingPrefillAgeMs = saturatingRound<std::uint16_t>(load.oldestPendingPrefillAgeMs);
    entry.memoryKiloTokens = saturatingRound<std::uint16_t>(load.memoryTokens / TokensPerKiloToken);
    return entry;
}

EndpointLoadReport fromWire(const WireEntry &entry)
{
    EndpointLoad load;
    load.requests = entry.requests.value();
    load.longRequests = entry.longRequests.value();
    load.shortRequests = entry.shortRequests.value();
    load.pendingPrefillMs = entry.pendingPrefillMs.value();
    load.pendingLongPrefillMs = entry.pendingLongPrefillMs.value();
    load.oldestPendingPrefillAgeMs = entry.oldestPendingPrefillAgeMs.value();
    load.memoryTokens = entry.memoryKiloTokens.value() * TokensPerKiloToken;
    return {entry.endpointHash.value(), load};
}

/// Number of @p loads that fit into one message.
std::uint8_t encodableCount(const std::vector<EndpointLoadReport> &loads)
{
    return static_cast<std::uint8_t>(std::min(loads.size(), MaxReportedEndpoints));
}

void appendEntries(std::string &bytes, const std::vector<EndpointLoadReport> &loads)
{
    for (std::size_t index = 0; index < encodableCount(loads); ++index) {
        appendBytes(bytes, toWire(loads[index]));
    }
}

std::vector<EndpointLoadReport> readEntries(std::string_view bytes)
{
    std::vector<EndpointLoadReport> loads;
    for (; bytes.size() >= sizeof(WireEntry); bytes.remove_prefix(sizeof(WireEntry))) {
        WireEntry entry{};
        std::memcpy(&entry, bytes.data(), sizeof(entry));
        loads.push_back(fromWire(entry));
    }
    return loads;
}

void appendEra(std::string &bytes, const ViewReport &view)
{
    boost::endian::little_uint32_buf_t era{};
    era = view.endpointPosition.era;
    appendBytes(bytes, era);
}

/// Removes the era from the end of @p bytes.
std::uint32_t takeEra(std::string_view &bytes)
{
    boost::endian::little_uint32_buf_t era{};
    if (bytes.size() < sizeof(era)) {
        return 0;
    }
    std::memcpy(&era, bytes.data() + bytes.size() - sizeof(era), sizeof(era));
    bytes.remove_suffix(sizeof(era));
    return era.value();
}

/// Removes the header from the front of @p bytes and the checksum from their end. Returns std::nullopt if they are too short, do not begin with
/// @p magic, or have been changed.
template<typename Header>
std::optional<Header> takeHeader(std::string_view &bytes, const std::array<char, 4> &magic)
{
    const auto message = bytes.size() >= magic.size() && std::equal(magic.begin(), magic.end(), bytes.begin()) ? verifyChecksum(bytes) : std::nullopt;
    Header header{};
    if (!message || message->size() < sizeof(header)) {
        return std::nullopt;
    }
    std::memcpy(&header, message->data(), sizeof(header));
    bytes = message->substr(sizeof(header));
    return header;
}

}

std::string encodeLoadReport(const LoadReportMessage &message)
{
    const std::string vmName = message.vm.value().substr(0, std::numeric_limits<std::uint8_t>::max());
    WireReport header{};
    header.magic = ReportMagic;
    header.number = toWire(message.number);
    header.zone = message.zone;
    header.view = toWire(message.view);
    header.shortDemandTenths = saturatingRound<std::uint16_t>(message.shortDemand * DemandFactor);
    header.startedLongPrompt = message.startedLongPrompt ? 1 : 0;
    header.vmNameLength = static_cast<std::uint8_t>(vmName.size());
    header.entryCount = encodableCount(message.loads);
    std::string bytes;
    appendBytes(bytes, header);
    bytes += vmName;
    appendEntries(bytes, message.loads);
    appendEra(bytes, message.view);
    appendChecksum(bytes);
    return bytes;
}

std::optional<LoadReportMessage> decodeLoadReport(std::string_view bytes)
{
    auto header = takeHeader<WireReport>(bytes, ReportMagic);
    const std::uint32_t era = header ? takeEra(bytes) : 0;
    if (!header) {
        header = takeHeader<WireReport>(bytes, ReportMagicWithoutEra);
    }
    if (!header || bytes.size() != header->vmNameLength.value() + header->entryCount.value() * sizeof(WireEntry)) {
        return std::nullopt;
    }
    LoadReportMessage message{.vm = VmId(std::string(bytes.substr(0, header->vmNameLength.value())))};
    message.number = fromWire(header->number);
    message.zone = header->zone.value();
    message.startedLongPrompt = header->startedLongPrompt.value() != 0;
    message.view = fromWire(header->view);
    message.view.endpointPosition.era = era;
    message.shortDemand = header->shortDemandTenths.value() / DemandFactor;
    message.loads = readEntries(bytes.substr(header->vmNameLength.value()));
    return message;
}

std::string encodeGroupDigest(const GroupDigestMessage &message)
{
    WireDigest header{};
    header.magic = DigestMagic;
    header.number = toWire(message.number);
    header.reporterHash = message.reporterHash;
    header.group = toWire(message.group);
    header.target = toWire(message.target);
    header.view = toWire(message.view);
    header.viewOwnerIp = message.viewOwnerIp;
    std::copy(message.relays.begin(), message.relays.end(), header.relays.begin());
    header.targetAgeMs = wireAge(message.targetAge);
    header.vmCount = saturatingRound<std::uint16_t>(static_cast<double>(message.vmCount));
    header.shortDemandTenths = saturatingRound<std::uint32_t>(message.shortDemand * DemandFactor);
    header.mustForward = message.mustForward ? 1 : 0;
    header.entryCount = encodableCount(message.loads);
    std::string bytes;
    appendBytes(bytes, header);
    appendEntries(bytes, message.loads);
    appendEra(bytes, message.view);
    appendChecksum(bytes);
    return bytes;
}

std::optional<GroupDigestMessage> decodeGroupDigest(std::string_view bytes)
{
    auto header = takeHeader<WireDigest>(bytes, DigestMagic);
    const std::uint32_t era = header ? takeEra(bytes) : 0;
    if (!header) {
        header = takeHeader<WireDigest>(bytes, DigestMagicWithoutEra);
    }
    if (!header || bytes.size() != header->entryCount.value() * sizeof(WireEntry)) {
        return std::nullopt;
    }
    const auto group = fromWire(header->group);
    const auto target = fromWire(header->target);
    if (!group || !target) {
        return std::nullopt;
    }
    GroupDigestMessage message{.group = *group, .target = *target, .reporterHash = header->reporterHash.value()};
    message.number = fromWire(header->number);
    message.mustForward = header->mustForward.value() != 0;
    message.vmCount = header->vmCount.value();
    message.view = fromWire(header->view);
    message.view.endpointPosition.era = era;
    message.viewOwnerIp = header->viewOwnerIp.value();
    std::transform(header->relays.begin(), header->relays.end(), message.relays.begin(), [](const auto &ip) { return ip.value(); });
    message.targetAge = milliseconds(header->targetAgeMs.value());
    message.shortDemand = header->shortDemandTenths.value() / DemandFactor;
    message.loads = readEntries(bytes);
    return message;
}

}
