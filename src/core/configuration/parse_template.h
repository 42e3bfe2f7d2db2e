#pragma once

#include "core/configuration/published_configuration.h"
#include "core/settings/yaml_reader.h"

#include <vector>

/// The part of the parser of published configurations that deals with templates.
namespace orchidlead {

/// Reads everything of a template but its name, and adds an error for whatever is wrong.
[[nodiscard]] pipeline_template parseTemplate(mapping_reader &mapping,
                                              const std::vector<service> &services);

} // namespace orchidlead
