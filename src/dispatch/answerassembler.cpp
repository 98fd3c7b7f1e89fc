#include "dispatch/answerassembler.h"

namespace Lentillock
{

AnswerAssembler::AnswerAssembler(RequestKind kind, bool keepText)
    : kind_(kind)
    , keepText_(keepText)
{
}

void AnswerAssembler::beginAttempt(const AttemptId &attempt)
{
    attempt_ = attempt;
    attemptPosition_ = 0;
}

void AnswerAssembler::endAttempt()
{
    attempt_.reset();
}

AnswerAssembler::ChunkResult AnswerAssembler::addChunk(const AttemptChunk &chunk)
{
    if (attempt_ != chunk.attempt) {
        return ChunkResult::OtherAttempt;
    }
    if (isMalformed(chunk)) {
        return ChunkResult::Malformed;
    }
    if (chunk.position > attemptPosition_) {
        return ChunkResult::Gap;
    }
    if (chunk.position < attemptPosition_) {
        return chunk.position + chunk.length > attemptPosition_ ? ChunkResult::Overlapping : ChunkResult::Repeated;
    }
    attemptPosition_ += chunk.length;
    length_ += chunk.length;
    if (keepText_) {
        text_ += chunk.text;
    }
    return ChunkResult::Accepted;
}

AnswerAssembler::EndResult AnswerAssembler::addEnd(const AttemptEnded &end) const
{
    if (attempt_ != end.attempt) {
        return EndResult::OtherAttempt;
    }
    if (end.position == attemptPosition_) {
        return EndResult::Complete;
    }
    return end.position > attemptPosition_ ? EndResult::Incomplete : EndResult::Inconsistent;
}

bool AnswerAssembler::isEmpty() const
{
    return length_ == 0;
}

const std::string &AnswerAssembler::text() const
{
    return text_;
}

std::uint64_t AnswerAssembler::length() const
{
    return length_;
}

std::uint64_t AnswerAssembler::attemptPosition() const
{
    return attemptPosition_;
}

bool AnswerAssembler::isMalformed(const AttemptChunk &chunk) const
{
    // Without a length, a repeated chunk could not be detected.
    const bool textWithoutLength = chunk.length == 0 && !chunk.text.empty();
    return textWithoutLength || (kind_ == RequestKind::Service && chunk.length != chunk.text.size());
}

}
