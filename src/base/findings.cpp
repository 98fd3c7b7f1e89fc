#include "base/findings.h"

#include <algorithm>

namespace Lentillock
{

void Findings::addError(std::string source, std::string pointer, std::string message)
{
    items_.push_back({Severity::Error, std::move(source), std::move(pointer), std::move(message)});
}

void Findings::addWarning(std::string source, std::string pointer, std::string message)
{
    items_.push_back({Severity::Warning, std::move(source), std::move(pointer), std::move(message)});
}

void Findings::append(const Findings &other)
{
    items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

bool Findings::hasErrors() const
{
    return std::any_of(items_.begin(), items_.end(), [](const Finding &finding) { return finding.severity == Severity::Error; });
}

const std::vector<Finding> &Findings::items() const
{
    return items_;
}

std::string Findings::toText() const
{
    std::string text;
    for (const Finding &finding : items_) {
        text += finding.severity == Severity::Error ? "error: " : "warning: ";
        text += finding.source + '#' + finding.pointer + ": " + finding.message + '\n';
    }
    return text;
}

}
