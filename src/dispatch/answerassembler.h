#pragma once

#include "dispatch/messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Lentillock
{

/// Assembles the answer to one request from the chunks of its current attempt.
class AnswerAssembler
{
public:
    enum class ChunkResult {
        Accepted,
        OtherAttempt, ///< Belongs to an attempt other than the current one.
        Repeated, ///< Already received in full.
        Overlapping, ///< Partly received before. It is dropped, because text cannot be split at a token boundary.
        Gap, ///< Starts after the next expected position.
        Malformed, ///< Has text but no length, or a length that does not match the text.
    };

    enum class EndResult {
        Complete,
        OtherAttempt,
        Incomplete, ///< Part of the answer has not been received.
        Inconsistent, ///< More was received than the length that the end marker states.
    };

    /// If @p keepText is true, the text is kept for a continuation on another endpoint.
    AnswerAssembler(RequestKind kind, bool keepText);

    /// Accepts only chunks of @p attempt from now on. Positions are relative to its start.
    void beginAttempt(const AttemptId &attempt);

    /// Accepts no chunks until the next beginAttempt().
    void endAttempt();

    ChunkResult addChunk(const AttemptChunk &chunk);
    [[nodiscard]] EndResult addEnd(const AttemptEnded &end) const;

    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] const std::string &text() const;

    /// Length of the answer over all attempts, in tokens (completions) or bytes (services).
    [[nodiscard]] std::uint64_t length() const;

    /// Position of the next expected chunk within the current attempt.
    [[nodiscard]] std::uint64_t attemptPosition() const;

private:
    [[nodiscard]] bool isMalformed(const AttemptChunk &chunk) const;

    RequestKind kind_;
    bool keepText_;
    std::optional<AttemptId> attempt_;
    std::uint64_t attemptPosition_ = 0;
    std::uint64_t length_ = 0;
    std::string text_;
};

}
