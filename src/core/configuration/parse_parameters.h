#pragma once

#include "core/configuration/published_configuration.h"
#include "core/settings/yaml_reader.h"

#include <cstddef>
#include <optional>
#include <vector>

/// The part of the parser of published configurations that deals with parameters of templates.
namespace orchidlead {

inline constexpr std::size_t MaxStagesOfTemplate = 32;

/// Reads a list of stage names without doubled ones.
[[nodiscard]] std::optional<std::vector<stage_id>> readStageNames(const value_reader &reader);

/// Reads the `parameters` of a template.
[[nodiscard]] std::vector<template_parameter> parseParameters(mapping_reader &mapping);

/// Reads a customer's parameters, and fills in the defaults of those that aren't given.
/// `pipeline` is blamed for missing ones.
[[nodiscard]] std::vector<parameter_value>
parseParameterValues(const value_reader &pipeline, const std::optional<value_reader> &parameters,
                     const pipeline_template &used);

} // namespace orchidlead
