#pragma once

#include "dispatch/messages.h"
#include "engine/ssereader.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Turns the bytes of an engine's streamed answer into messages to the dispatcher. Order and gaps of positions are left to the dispatcher.
class AnswerDecoder
{
public:
    explicit AnswerDecoder(AttemptId attempt);

    /// Appends messages to @p inputs. Returns a description of the fault when the stream is malformed; the stream is to be closed then.
    [[nodiscard]] std::optional<std::string> decode(std::string_view bytes, std::vector<DispatchInput> &inputs);

    /// Whether the end marker has been read. Anything after it is ignored.
    [[nodiscard]] bool ended() const;

private:
    [[nodiscard]] std::optional<std::string> decodeEvent(const SseEvent &event, std::vector<DispatchInput> &inputs);

    AttemptId attempt_;
    SseReader reader_;
    bool ended_ = false;
};

}
