#pragma once

#include "dispatch/messages.h"
#include "engine/ssereader.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lentillock
{

/// Decodes the event stream of an engine's response into messages for the dispatcher. The dispatcher checks the positions for order and gaps.
class ResponseDecoder
{
public:
    explicit ResponseDecoder(AttemptId attempt);

    /// Appends messages to @p inputs. Returns an error description if the stream is malformed; the caller must then close the stream.
    [[nodiscard]] std::optional<std::string> decode(std::string_view bytes, std::vector<DispatchInput> &inputs);

    /// Whether the end marker has been read. Later input is ignored.
    [[nodiscard]] bool ended() const;

private:
    [[nodiscard]] std::optional<std::string> decodeEvent(const SseEvent &event, std::vector<DispatchInput> &inputs);

    AttemptId attempt_;
    SseReader reader_;
    bool ended_ = false;
};

}
