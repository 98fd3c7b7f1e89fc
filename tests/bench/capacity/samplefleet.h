#pragma once

#include "base/time.h"
#include "config/documentvalidator.h"
#include "dispatch/servingview.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Lentillock
{

/// Sizes of a generated serving document. The defaults are the design size.
struct SampleSize {
    std::size_t workspaces = 45000;
    std::size_t models = 22;
    std::size_t zones = 16;
    std::size_t endpoints = 5900;
};

/// Returns the text of the workspaces section. @p revision changes the limit of the first workspace, like a change published by an operator.
std::string workspacesText(const SampleSize &size, std::uint64_t seed, unsigned revision);

/// Returns the texts of all sections. Endpoints are distributed evenly over models and zones.
SectionTexts sectionTexts(const SampleSize &size, std::uint64_t seed);

/// Returns a sample load report of an engine that serves one model.
LoadReport sampleLoad(const ModelId &model, TimePoint now);

}
