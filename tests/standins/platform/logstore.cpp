#include "standins/platform/logstore.h"

#include <algorithm>

namespace Lentillock
{

LogStore::LogStore(std::size_t maxRecords, milliseconds maxAge)
    : maxRecords_(maxRecords)
    , maxAge_(maxAge)
{
}

std::uint64_t LogStore::append(const std::string &stream, const std::vector<std::string> &data, WallTime now)
{
    Stream &target = streams_[stream];
    const std::uint64_t first = target.next;
    target.lastTime = std::max(target.lastTime, now);
    for (const std::string &item : data) {
        target.records.push_back({target.next++, target.lastTime, item});
    }
    expire(target, now);
    return first;
}

LogStore::Batch LogStore::read(const std::string &stream, std::uint64_t from, std::size_t maxRecords, WallTime now)
{
    Stream &source = streams_[stream];
    expire(source, now);
    Batch batch;
    batch.earliest = source.records.empty() ? source.next : source.records.front().offset;
    // Offsets count from 1; offset 0 is read as offset 1.
    const std::uint64_t first = std::max<std::uint64_t>(from, 1);
    batch.next = std::max(first, batch.earliest);
    if (first < batch.earliest) {
        return batch;
    }
    for (std::size_t index = first - batch.earliest; index < source.records.size() && batch.records.size() < maxRecords; ++index) {
        batch.records.push_back(source.records[index]);
        batch.next = source.records[index].offset + 1;
    }
    return batch;
}

void LogStore::expire(Stream &stream, WallTime now) const
{
    while (!stream.records.empty() && (stream.records.size() > maxRecords_ || stream.records.front().time + maxAge_ < now)) {
        stream.records.pop_front();
    }
}

}
