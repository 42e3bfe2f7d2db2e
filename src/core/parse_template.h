#pragma once

#include "core/published_configuration.h"
#include "core/yaml_reader.h"

#include <optional>
#include <string_view>
#include <vector>

/// Parts of the parser of published configurations that deal with templates and parameters.
namespace orchidlead {

/// Finds a key of a mapping, or returns null.
[[nodiscard]] const yaml_value *findKey(const yaml_value &mapping, std::string_view key);

/// Reads everything of a template but its name, and adds an error for whatever is wrong.
[[nodiscard]] pipeline_template parseTemplate(mapping_reader &mapping,
                                              const std::vector<service> &services);

/// Reads a customer's parameters, and fills in the defaults of those that aren't given.
/// `pipeline` is blamed for missing ones.
[[nodiscard]] std::vector<parameter_value>
parseParameterValues(const value_reader &pipeline, const std::optional<value_reader> &parameters,
                     const pipeline_template &used);

} // namespace orchidlead
