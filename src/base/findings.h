#pragma once

#include <compare>
#include <string>
#include <vector>

namespace Lentillock
{

enum class Severity {
    Warning,
    Error,
};

/// A problem in an input, with its place.
struct Finding {
    Severity severity = Severity::Error;
    std::string source; ///< File name, document or section.
    std::string pointer; ///< JSON pointer inside the source; empty for the whole source.
    std::string message;

    auto operator<=>(const Finding &) const = default;
};

/// Collects the problems of an input so that they are reported together.
class Findings
{
public:
    void addError(std::string source, std::string pointer, std::string message);
    void addWarning(std::string source, std::string pointer, std::string message);
    void append(const Findings &other);

    [[nodiscard]] bool hasErrors() const;
    [[nodiscard]] const std::vector<Finding> &items() const;

    /// One line for each finding: "error: SOURCE#POINTER: MESSAGE".
    [[nodiscard]] std::string toText() const;

    bool operator==(const Findings &) const = default;

private:
    std::vector<Finding> items_;
};

}
