#include "core/configuration/parse_parameters.h"

#include <algorithm>

namespace orchidlead {

namespace {

constexpr std::size_t MaxParameters = 32;
constexpr std::size_t MaxAllowedValues = 64;

/// Reads a value of the parameter's type that is within its bounds.
std::optional<parameter_value> readTypedValue(const value_reader &reader,
                                              const template_parameter &parameter)
{
    const auto wrap = [](auto &&read) {
        return read ? std::optional<parameter_value>(std::move(*read)) : std::nullopt;
    };
    switch (parameter.type) {
    case parameter_type::Duration: {
        duration_range range;
        range.minimum = milliseconds(parameter.minimum.value_or(range.minimum.count()));
        range.maximum = milliseconds(parameter.maximum.value_or(range.maximum.count()));
        return wrap(reader.duration(range));
    }
    case parameter_type::Integer: {
        integer_range range;
        range.minimum = parameter.minimum.value_or(range.minimum);
        range.maximum = parameter.maximum.value_or(range.maximum);
        return wrap(reader.integer(range));
    }
    case parameter_type::String:
        return wrap(reader.text());
    case parameter_type::Boolean:
        return wrap(reader.boolean());
    case parameter_type::Priority:
        return wrap(reader.enumerator<priority>());
    case parameter_type::Stages:
        return wrap(readStageNames(reader));
    }
    return std::nullopt;
}

std::optional<parameter_value> readValue(const value_reader &reader,
                                         const template_parameter &parameter)
{
    auto value = readTypedValue(reader, parameter);
    if (!value || parameter.allowed.empty())
        return value;
    if (std::find(parameter.allowed.begin(), parameter.allowed.end(), *value)
        != parameter.allowed.end())
        return value;
    reader.fail("one of the values that the template allows");
    return std::nullopt;
}

std::optional<std::int64_t> readBound(const value_reader &reader, parameter_type type)
{
    if (type == parameter_type::Integer)
        return reader.integer();
    if (type == parameter_type::Duration) {
        const auto duration = reader.duration();
        return duration ? std::optional(duration->count()) : std::nullopt;
    }
    reader.fail("no bound: only the types integer and duration have them");
    return std::nullopt;
}

void parseBounds(mapping_reader &mapping, template_parameter &parameter)
{
    const auto read = [&](const value_reader &each) { return readBound(each, parameter.type); };
    mapping.read("min", presence::Optional, parameter.minimum, read);
    const auto maximum = mapping.find("max");
    if (!maximum)
        return;
    parameter.maximum = read(*maximum);
    if (parameter.minimum && parameter.maximum && *parameter.minimum > *parameter.maximum)
        maximum->fail("a value of at least `min`");
}

void parseAllowed(mapping_reader &mapping, template_parameter &parameter)
{
    const auto allowed = mapping.find("allowed");
    if (!allowed)
        return;
    std::vector<parameter_value> values;
    allowed->forEach(1, MaxAllowedValues, [&](const value_reader &each) {
        if (auto value = readTypedValue(each, parameter))
            values.push_back(std::move(*value));
    });
    parameter.allowed = std::move(values);
}

/// Parses the keys whose values depend on the parameter's type.
void parseTypeDependentKeys(const value_reader &reader, mapping_reader &mapping,
                            template_parameter &parameter)
{
    parseBounds(mapping, parameter);
    parseAllowed(mapping, parameter);
    const auto defaultValue = mapping.find("default");
    if (defaultValue && parameter.required)
        defaultValue->fail("no default: the parameter is required");
    else if (defaultValue)
        parameter.defaultValue = readValue(*defaultValue, parameter);
    else if (!parameter.required)
        reader.errors().add(reader.value(), reader.path() + ".default", "",
                            "a default, or `required: true`");
}

template_parameter parseParameter(const value_reader &reader)
{
    mapping_reader mapping(reader);
    template_parameter parameter;
    mapping.read("name", presence::Required, parameter.name, &value_reader::name);
    std::optional<parameter_type> type;
    mapping.read("type", presence::Required, type, &value_reader::enumerator<parameter_type>);
    mapping.read("required", presence::Optional, parameter.required, &value_reader::boolean);
    parameter.type = type.value_or(parameter_type::String);
    if (type) {
        parseTypeDependentKeys(reader, mapping, parameter);
    } else {
        for (const std::string_view key : {"min", "max", "allowed", "default"})
            (void)mapping.find(key);
    }
    return parameter;
}

void rejectUnknownParameters(const value_reader &parameters, const pipeline_template &definition)
{
    mapping_reader mapping(parameters);
    for (const auto &parameter : definition.parameters)
        (void)mapping.find(parameter.name);
}

} // namespace

std::optional<std::vector<stage_id>> readStageNames(const value_reader &reader)
{
    std::vector<stage_id> stages;
    const std::size_t errorsBefore = reader.errors().size();
    reader.forEach(1, MaxStagesPerTemplate, [&](const value_reader &each) {
        auto name = each.name();
        if (!name)
            return;
        stage_id id(std::move(*name));
        if (std::find(stages.begin(), stages.end(), id) != stages.end())
            each.fail("each stage once");
        else
            stages.push_back(std::move(id));
    });
    if (reader.errors().size() != errorsBefore)
        return std::nullopt;
    return stages;
}

std::vector<template_parameter> parseParameters(mapping_reader &mapping)
{
    std::vector<template_parameter> parameters;
    const auto list = mapping.find("parameters");
    if (!list)
        return parameters;
    list->forEach(0, MaxParameters, [&](const value_reader &each) {
        template_parameter added = parseParameter(each);
        const bool duplicate =
            std::any_of(parameters.begin(), parameters.end(),
                        [&](const template_parameter &other) { return other.name == added.name; });
        if (duplicate)
            each.fail("a name that no other parameter of this template has");
        parameters.push_back(std::move(added));
    });
    return parameters;
}

std::vector<parameter_value> parseParameterValues(const value_reader &pipeline,
                                                  const std::optional<value_reader> &parameters,
                                                  const pipeline_template &definition)
{
    std::vector<parameter_value> values;
    if (parameters)
        rejectUnknownParameters(*parameters, definition);
    for (const auto &parameter : definition.parameters) {
        const yaml_value *given =
            parameters ? findKey(parameters->value(), parameter.name) : nullptr;
        std::optional<parameter_value> value = parameter.defaultValue;
        if (given != nullptr)
            value = readValue(value_reader(*given, *parameters, std::string_view(parameter.name)),
                              parameter);
        else if (!value)
            pipeline.errors().add(pipeline.value(),
                                  pipeline.path() + ".parameters." + parameter.name, "",
                                  "this parameter; the template requires it");
        if (value)
            values.push_back(std::move(*value));
    }
    return values;
}

} // namespace orchidlead
