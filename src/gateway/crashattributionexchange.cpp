#include "gateway/crashattributionexchange.h"

#include <algorithm>

namespace Lentillock
{

namespace
{

/// New evidence is sent again after this time, in case a datagram was lost.
constexpr Duration RepeatDelay = 100ms;

/// Interval at which the first VM of a group repeats what is known.
constexpr Duration RefreshInterval = 720ms;

/// Many VMs block or clear a prompt or part at the same time. Each waits for a different part of this time, and most hear of it meanwhile.
constexpr Duration MaxVerdictsDelay = 250ms;
constexpr std::uint64_t VerdictsDelaySteps = 256;

void append(std::vector<OutgoingDatagram> &datagrams, const std::vector<OutgoingDatagram> &more)
{
    datagrams.insert(datagrams.end(), more.begin(), more.end());
}

}

CrashAttributionExchange::CrashAttributionExchange(CrashAttribution &attribution, const LoadExchange &fleet)
    : attribution_(attribution)
    , fleet_(fleet)
{
}

std::vector<OutgoingDatagram> CrashAttributionExchange::takeDue(TimePoint now)
{
    if (attribution_.hasUnsentEvidence()) {
        sendDue_ = now;
        isRepeat_ = false;
    } else if (!attribution_.hasUnsentVerdicts()) {
        verdictsDue_.reset();
    } else if (!verdictsDue_) {
        verdictsDue_ = now + verdictsDelay();
    }
    const bool isKnowing = attribution_.crashCount() > 0 || !attribution_.blocks().empty();
    if (isKnowing && refreshDue_ == TimePoint::max()) {
        refreshDue_ = now + RefreshInterval;
    }
    bool mustSend = false;
    if (sendDue_ && now >= *sendDue_) {
        mustSend = true;
        sendDue_ = std::exchange(isRepeat_, true) ? std::nullopt : std::optional(now + RepeatDelay);
    }
    if (verdictsDue_ && now >= *verdictsDue_) {
        mustSend = true;
        verdictsDue_.reset();
    }
    if (now >= refreshDue_) {
        refreshDue_ = isKnowing ? now + RefreshInterval : TimePoint::max();
        mustSend = mustSend || (isKnowing && fleet_.isFirstInGroup(now));
    }
    return mustSend ? toFleet(now) : std::vector<OutgoingDatagram>();
}

TimePoint CrashAttributionExchange::nextDue() const
{
    return std::min({refreshDue_, sendDue_.value_or(TimePoint::max()), verdictsDue_.value_or(TimePoint::max())});
}

std::optional<std::vector<OutgoingDatagram>> CrashAttributionExchange::receive(std::string_view bytes, TimePoint now)
{
    const auto message = decodeCrashAttribution(bytes, now);
    if (!message) {
        return std::nullopt;
    }
    attribution_.merge(message->update, now);
    std::vector<OutgoingDatagram> datagrams;
    if (message->mustForward) {
        for (std::string &copy : encodeCrashAttribution(message->update, false, now)) {
            append(datagrams, fleet_.toGroup(std::move(copy), DatagramKind::CrashAttribution, now));
        }
    }
    return datagrams;
}

std::vector<OutgoingDatagram> CrashAttributionExchange::toFleet(TimePoint now)
{
    std::vector<OutgoingDatagram> datagrams;
    const CrashAttributionUpdate update = attribution_.update(now);
    for (std::string &bytes : encodeCrashAttribution(update, false, now)) {
        append(datagrams, fleet_.toGroup(std::move(bytes), DatagramKind::CrashAttribution, now));
    }
    for (std::string &bytes : encodeCrashAttribution(update, true, now)) {
        append(datagrams, fleet_.toOtherGroups(std::move(bytes), DatagramKind::CrashAttribution, now));
    }
    attribution_.markSent();
    return datagrams;
}

Duration CrashAttributionExchange::verdictsDelay() const
{
    return MaxVerdictsDelay * static_cast<int>(fleet_.peers().ownHash() % VerdictsDelaySteps) / static_cast<int>(VerdictsDelaySteps);
}

}
