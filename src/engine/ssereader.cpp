#include "engine/ssereader.h"

#include <algorithm>
#include <utility>

namespace Lentillock
{

SseReader::SseReader(std::size_t maxEventBytes)
    : maxEventBytes_(maxEventBytes)
{
}

bool SseReader::feed(std::string_view bytes, std::vector<SseEvent> &events)
{
    while (!failed_ && !bytes.empty()) {
        if (std::exchange(skipLineFeed_, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const std::size_t end = std::min(bytes.find_first_of("\r\n"), bytes.size());
        if (pendingBytes() + end > maxEventBytes_) {
            failed_ = true;
            break;
        }
        line_.append(bytes.substr(0, end));
        bytes.remove_prefix(end);
        if (!bytes.empty()) {
            skipLineFeed_ = bytes.front() == '\r';
            bytes.remove_prefix(1);
            endLine(events);
        }
    }
    return !failed_;
}

std::size_t SseReader::pendingBytes() const
{
    return line_.size() + event_.data.size() + event_.id.size();
}

void SseReader::endLine(std::vector<SseEvent> &events)
{
    if (line_.empty()) {
        if (hasData_) {
            events.push_back(std::move(event_));
        }
        event_ = {};
        hasData_ = false;
        return;
    }
    const std::size_t colon = std::min(line_.find(':'), line_.size());
    const std::string_view name = std::string_view(line_).substr(0, colon);
    std::string_view value = std::string_view(line_).substr(std::min(colon + 1, line_.size()));
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "data") {
        if (hasData_) {
            event_.data += '\n';
        }
        event_.data += value;
        hasData_ = true;
    } else if (name == "id") {
        event_.id = value;
    }
    line_.clear();
}

}
