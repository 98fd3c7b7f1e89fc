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

/// Sizes of the serving document and of the fleet. The defaults are the design size.
struct SampleSize {
    std::size_t workspaces = 45000;
    std::size_t models = 22;
    std::size_t zones = 16;
    std::size_t endpoints = 5900;
};

/// Text of the workspaces section. @p edition changes the limit of the first workspace, as one operator's change does.
std::string workspacesText(const SampleSize &size, std::uint64_t seed, unsigned edition);

/// All sections. Endpoints are spread evenly over models and zones.
SectionTexts sectionTexts(const SampleSize &size, std::uint64_t seed);

/// A load report with the fields of an engine that serves one model.
LoadReport sampleLoad(const ModelId &model, TimePoint now);

}
