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

/// A problem in an input, with its location.
struct Finding {
    Severity severity = Severity::Error;
    std::string source; ///< Name of the file, document or section.
    std::string pointer; ///< JSON pointer into the source; empty if the finding concerns the whole source.
    std::string message;

    auto operator<=>(const Finding &) const = default;
};

/// Collects all problems of an input, so that they can be reported together.
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
