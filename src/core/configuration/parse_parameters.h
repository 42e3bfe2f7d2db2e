#pragma once

#include "core/configuration/published_configuration.h"
#include "core/settings/yaml_reader.h"

#include <cstddef>
#include <optional>
#include <vector>

/// Parsing of template parameters in published configurations.
namespace orchidlead {

inline constexpr std::size_t MaxStagesPerTemplate = 32;

/// Reads a list of distinct stage names.
[[nodiscard]] std::optional<std::vector<stage_id>> readStageNames(const value_reader &reader);

/// Parses the `parameters` of a template.
[[nodiscard]] std::vector<template_parameter> parseParameters(mapping_reader &mapping);

/// Reads the parameter values of a customer and adds the defaults of omitted parameters. Errors
/// about missing parameters refer to `pipeline`.
[[nodiscard]] std::vector<parameter_value>
parseParameterValues(const value_reader &pipeline, const std::optional<value_reader> &parameters,
                     const pipeline_template &definition);

} // namespace orchidlead
