#pragma once

#include "dispatch/messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Lentillock
{

/// Puts the answer to one request together from the chunks of its live attempt.
class AnswerAssembler
{
public:
    enum class ChunkResult {
        Accepted,
        OtherAttempt, ///< Not of the live attempt.
        Repeated, ///< All of it has been received before.
        Overlapping, ///< Part of it has been received before; text cannot be cut at a token.
        Gap, ///< Something before it is missing.
        Malformed, ///< Text without a length, or a length that contradicts the text.
    };

    enum class EndResult {
        Complete,
        OtherAttempt,
        Incomplete, ///< The end of the answer has not been received.
        Inconsistent, ///< More has been received than the endpoint says the answer has.
    };

    /// @p keepText: remember the text for a continuation on another endpoint.
    AnswerAssembler(RequestKind kind, bool keepText);

    /// From now on only chunks of @p attempt are accepted; positions count from its start.
    void beginAttempt(const AttemptId &attempt);

    /// From now on all chunks are foreign.
    void endAttempt();

    ChunkResult addChunk(const AttemptChunk &chunk);
    [[nodiscard]] EndResult addEnd(const AttemptEnded &end) const;

    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] const std::string &text() const;

    /// Length of the text of all attempts, in tokens (completions) or bytes (services).
    [[nodiscard]] std::uint64_t length() const;

    /// Position in the live attempt of the next expected chunk.
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
