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

/// Text of each section by name. A section that is missing or empty has not been published; it then has no content.
using SectionTexts = std::map<std::string, std::string, std::less<>>;

/// Parses and checks the sections of the serving document. Their format is described in docs/manual/serving-document.md.
///
/// The result decides which publish records are accepted, so a change of what is valid needs a new rules version (see ConfigRules).
class DocumentValidator
{
public:
    static bool isSection(std::string_view name);

    /// Checks all sections and the references between them. Returns null when there are errors. All findings are reported at once;
    /// their source is the section name.
    static ServingDocumentPtr validate(const SectionTexts &texts, Findings &findings);

    /// Like validate(), for a document that differs from the valid document @p current only in @p section.
    static ServingDocumentPtr validateChange(const ServingDocument &current, const std::string &section, const std::string &text, Findings &findings);

    /// Checks one section without the references to others.
    static bool validateSection(const std::string &section, const std::string &text, Findings &findings);
};

}
