#include "gateway/loadreportcodec.h"

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

constexpr std::array<char, 4> ReportMagic{'L', 'T', 'L', '2'};

struct WireHeader {
    std::array<char, 4> magic;
    boost::endian::little_uint32_buf_t sequence;
    boost::endian::little_uint64_buf_t planVersion;
    boost::endian::little_uint32_buf_t endpointOffset;
    boost::endian::little_uint32_buf_t endpointDigest;
    boost::endian::little_uint16_buf_t planAgeMs;
    boost::endian::little_uint16_buf_t endpointAgeMs;
    boost::endian::little_uint16_buf_t shortDemandTenths;
    boost::endian::little_uint8_buf_t vmNameLength;
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

template<typename Value>
void appendBytes(std::string &bytes, const Value &value)
{
    bytes.append(reinterpret_cast<const char *>(&value), sizeof(value));
}

}

std::string encodeLoadReport(const LoadReportMessage &message)
{
    const std::size_t entryCount = std::min(message.loads.size(), MaxReportedEndpoints);
    const std::string vmName = message.vm.value().substr(0, std::numeric_limits<std::uint8_t>::max());
    WireHeader header{};
    header.magic = ReportMagic;
    header.sequence = message.sequence;
    header.planVersion = message.view.planVersion;
    header.endpointOffset = message.view.endpointOffset;
    header.endpointDigest = message.view.endpointDigest;
    header.planAgeMs = saturatingRound<std::uint16_t>(static_cast<double>(message.view.planAge.count()));
    header.endpointAgeMs = saturatingRound<std::uint16_t>(static_cast<double>(message.view.endpointAge.count()));
    header.shortDemandTenths = saturatingRound<std::uint16_t>(message.shortDemand * 10);
    header.vmNameLength = static_cast<std::uint8_t>(vmName.size());
    header.entryCount = static_cast<std::uint8_t>(entryCount);
    std::string bytes;
    appendBytes(bytes, header);
    bytes += vmName;
    for (std::size_t index = 0; index < entryCount; ++index) {
        const EndpointLoad &load = message.loads[index].load;
        WireEntry entry{};
        entry.endpointHash = message.loads[index].endpointHash;
        entry.requests = saturatingRound<std::uint8_t>(load.requests);
        entry.longRequests = saturatingRound<std::uint8_t>(load.longRequests);
        entry.shortRequests = saturatingRound<std::uint8_t>(load.shortRequests);
        entry.pendingPrefillMs = saturatingRound<std::uint16_t>(load.pendingPrefillMs);
        entry.pendingLongPrefillMs = saturatingRound<std::uint16_t>(load.pendingLongPrefillMs);
        entry.oldestPendingPrefillAgeMs = saturatingRound<std::uint16_t>(load.oldestPendingPrefillAgeMs);
        entry.memoryKiloTokens = saturatingRound<std::uint16_t>(load.memoryTokens / 1000);
        appendBytes(bytes, entry);
    }
    return bytes;
}

std::optional<LoadReportMessage> decodeLoadReport(std::string_view bytes)
{
    WireHeader header{};
    if (bytes.size() < sizeof(header)) {
        return std::nullopt;
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    bytes.remove_prefix(sizeof(header));
    if (header.magic != ReportMagic || bytes.size() != header.vmNameLength.value() + header.entryCount.value() * sizeof(WireEntry)) {
        return std::nullopt;
    }
    LoadReportMessage message{.vm = VmId(std::string(bytes.substr(0, header.vmNameLength.value()))), .sequence = header.sequence.value()};
    message.view = {.planVersion = header.planVersion.value(),
                    .endpointOffset = header.endpointOffset.value(),
                    .endpointDigest = header.endpointDigest.value(),
                    .planAge = milliseconds(header.planAgeMs.value()),
                    .endpointAge = milliseconds(header.endpointAgeMs.value())};
    message.shortDemand = header.shortDemandTenths.value() / 10.0;
    bytes.remove_prefix(header.vmNameLength.value());
    for (std::size_t index = 0; index < header.entryCount.value(); ++index) {
        WireEntry entry{};
        std::memcpy(&entry, bytes.data() + index * sizeof(entry), sizeof(entry));
        EndpointLoad load;
        load.requests = entry.requests.value();
        load.longRequests = entry.longRequests.value();
        load.shortRequests = entry.shortRequests.value();
        load.pendingPrefillMs = entry.pendingPrefillMs.value();
        load.pendingLongPrefillMs = entry.pendingLongPrefillMs.value();
        load.oldestPendingPrefillAgeMs = entry.oldestPendingPrefillAgeMs.value();
        load.memoryTokens = entry.memoryKiloTokens.value() * 1000.0;
        message.loads.push_back({entry.endpointHash.value(), load});
    }
    return message;
}

}
