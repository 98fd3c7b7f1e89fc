#pragma once

#include "base/findings.h"
#include "config/servingdocument.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Lentillock
{

/// Names of all sections of the serving document.
inline constexpr std::array<std::string_view, 5> SectionNames{"workspaces", "priorities", "models", "zones", "endpoints"};

/// Text of each section by name. A section whose text is missing or empty has not been published and has no content.
using SectionTexts = std::map<std::string, std::string, std::less<>>;

/// Parses and checks the sections of the serving document. Their format is described in docs/manual/serving-document.md.
///
/// The result determines which publish records are accepted, so any change of what is valid needs a new rules version (see ConfigRules).
class DocumentValidator
{
public:
    static bool isSection(std::string_view name);

    /// Validates all sections and the references between them. Returns null if there are errors. All findings are reported together;
    /// the source of a finding is the section name.
    static ServingDocumentPtr validate(const SectionTexts &texts, Findings &findings);

    /// Like validate(), for a document that differs from the valid document @p current only in @p section.
    static ServingDocumentPtr validateChange(const ServingDocument &current, const std::string &section, const std::string &text, Findings &findings);

    /// Validates one section without its references to others. Returns whether it has no errors.
    static bool validateSection(const std::string &section, const std::string &text, Findings &findings);
};

}
