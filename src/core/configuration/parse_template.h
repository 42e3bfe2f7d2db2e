#pragma once

#include "core/configuration/published_configuration.h"
#include "core/settings/yaml_reader.h"

#include <vector>

/// Parsing of templates in published configurations.
namespace orchidlead {

/// Parses a template except its name; adds an error for each invalid value.
[[nodiscard]] pipeline_template parseTemplate(mapping_reader &mapping,
                                              const std::vector<service> &services);

} // namespace orchidlead
