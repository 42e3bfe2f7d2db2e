#include "core/parse_template.h"

#include <algorithm>

namespace orchidlead {

namespace {

constexpr std::size_t MaxParameters = 32;
constexpr std::size_t MaxStages = 32;
constexpr std::size_t MaxAllowed = 64;
constexpr duration_range DeadlineRange{milliseconds{1}, std::chrono::hours{24}};
constexpr duration_range TimeoutRange{milliseconds{1}, std::chrono::hours{24}};
constexpr integer_range MaxTokensRange{1, 1'000'000};
constexpr std::string_view StagePath = "/run";
constexpr std::string_view EnginePath = "/v1/completions";
constexpr std::string_view ReferenceStart = "${";
constexpr std::string_view ReferenceEnd = "}";

std::optional<std::vector<stage_id>> readStageNames(const value_reader &reader)
{
    std::vector<stage_id> stages;
    const std::size_t errorsBefore = reader.errors().size();
    reader.forEach(1, MaxStages, [&](const value_reader &each) {
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

/// Reads a value of the parameter's type, within its bounds.
std::optional<parameter_value> readOfType(const value_reader &reader,
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
    auto value = readOfType(reader, parameter);
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
    allowed->forEach(1, MaxAllowed, [&](const value_reader &each) {
        if (auto value = readOfType(each, parameter))
            values.push_back(std::move(*value));
    });
    parameter.allowed = std::move(values);
}

/// Reads what the type decides about.
void parseTyped(const value_reader &reader, mapping_reader &mapping, template_parameter &parameter)
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
        parseTyped(reader, mapping, parameter);
    } else {
        for (const std::string_view key : {"min", "max", "allowed", "default"})
            (void)mapping.find(key);
    }
    return parameter;
}

std::vector<template_parameter> parseParameters(mapping_reader &mapping)
{
    std::vector<template_parameter> parameters;
    const auto list = mapping.find("parameters");
    if (!list)
        return parameters;
    list->forEach(0, MaxParameters, [&](const value_reader &each) {
        template_parameter added = parseParameter(each);
        const bool taken =
            std::any_of(parameters.begin(), parameters.end(),
                        [&](const template_parameter &other) { return other.name == added.name; });
        if (taken)
            each.fail("a name that no other parameter of this template has");
        parameters.push_back(std::move(added));
    });
    return parameters;
}

/// Reads values that may be written as `${parameter}`.
class template_value_reader
{
public:
    explicit template_value_reader(const std::vector<template_parameter> &parameters)
        : m_parameters(parameters)
    { }

    /// Reads a reference to a parameter of `type`, or else what `parse` reads.
    template <class T, class Parse>
    [[nodiscard]] std::optional<template_value<T>> read(const value_reader &reader,
                                                        parameter_type type, Parse parse) const
    {
        if (isReference(reader.value())) {
            const auto found = findReference(reader, type);
            return found ? std::optional<template_value<T>>(*found) : std::nullopt;
        }
        auto value = std::invoke(parse, reader);
        return value ? std::optional<template_value<T>>(T(std::move(*value))) : std::nullopt;
    }

private:
    static bool isReference(const yaml_value &value)
    {
        return value.kind == yaml_kind::Scalar
            && std::string_view(value.scalar).starts_with(ReferenceStart)
            && std::string_view(value.scalar).ends_with(ReferenceEnd);
    }

    [[nodiscard]] std::optional<parameter_reference> findReference(const value_reader &reader,
                                                                   parameter_type type) const
    {
        std::string_view name = reader.value().scalar;
        name.remove_prefix(ReferenceStart.size());
        name.remove_suffix(ReferenceEnd.size());
        for (std::uint32_t i = 0; i < m_parameters.size(); ++i) {
            if (m_parameters[i].name != name)
                continue;
            if (m_parameters[i].type == type)
                return parameter_reference{i};
            reader.fail("a parameter of type " + std::string(toName(type))
                        + "; this one is of type " + std::string(toName(m_parameters[i].type)));
            return std::nullopt;
        }
        reader.fail("the name of a parameter of this template");
        return std::nullopt;
    }

    const std::vector<template_parameter> &m_parameters;
};

std::optional<std::uint32_t> findService(const value_reader &reader,
                                         const std::vector<service> &services)
{
    const auto name = reader.name();
    if (!name)
        return std::nullopt;
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        if (services[i].id.value == *name)
            return i;
    }
    reader.fail("the name of a service in `services`");
    return std::nullopt;
}

std::optional<std::string> readPath(const value_reader &reader)
{
    auto path = reader.text();
    if (path && (path->front() != '/' || path->find_first_of(" \t\r\n#") != std::string::npos)) {
        reader.fail("a path that starts with '/', without spaces");
        return std::nullopt;
    }
    return path;
}

/// Reads the stages of one template.
class stage_parser
{
public:
    stage_parser(const std::vector<service> &services, const template_value_reader &values)
        : m_services(services)
        , m_values(values)
    { }

    std::vector<template_stage> parse(const value_reader &list)
    {
        list.forEach(1, MaxStages, [&](const value_reader &each) { parseStage(each); });
        if (list.value().kind == yaml_kind::Sequence && !list.errors().full())
            parseInputs(list);
        return std::move(m_stages);
    }

private:
    void parseStage(const value_reader &reader)
    {
        mapping_reader mapping(reader);
        template_stage stage;
        if (const auto name = mapping.find("name", presence::Required))
            readName(*name, stage);
        // The service's kind and default decide how the rest is read.
        std::optional<std::uint32_t> found;
        mapping.read("service", presence::Required, found,
                     [&](const value_reader &each) { return findService(each, m_services); });
        const service unknown;
        stage.service = found.value_or(0);
        parseCall(mapping, stage, found ? m_services[*found] : unknown);
        (void)mapping.find("after"); // read once all names are known
        m_stages.push_back(std::move(stage));
    }

    void readName(const value_reader &reader, template_stage &stage) const
    {
        auto name = reader.name();
        if (!name)
            return;
        stage.id = stage_id(std::move(*name));
        if (indexOf(stage.id))
            reader.fail("a name that no other stage of this template has");
    }

    void parseCall(mapping_reader &mapping, template_stage &stage, const service &called) const
    {
        const bool isEngine = called.kind == service_kind::Engine;
        stage.path = isEngine ? EnginePath : StagePath;
        stage.repeatable = called.repeatable;
        mapping.read("path", presence::Optional, stage.path, readPath);
        mapping.read("repeatable", presence::Optional, stage.repeatable, &value_reader::boolean);
        mapping.read("enabled", presence::Optional, stage.enabled, [&](const value_reader &each) {
            return m_values.read<bool>(each, parameter_type::Boolean, &value_reader::boolean);
        });
        mapping.read("timeout", presence::Optional, stage.timeout, [&](const value_reader &each) {
            return m_values.read<milliseconds>(
                each, parameter_type::Duration,
                [](const value_reader &value) { return value.duration(TimeoutRange); });
        });
        if (isEngine)
            parseEngineCall(mapping, stage, called);
    }

    void parseEngineCall(mapping_reader &mapping, template_stage &stage,
                         const service &called) const
    {
        mapping.read("model", presence::Required, stage.model, [&](const value_reader &each) {
            return m_values.read<std::string>(
                each, parameter_type::String,
                [&](const value_reader &value) { return readModel(value, called); });
        });
        mapping.read(
            "max_tokens", presence::Required, stage.maxTokens, [&](const value_reader &each) {
                return m_values.read<std::int64_t>(
                    each, parameter_type::Integer,
                    [](const value_reader &value) { return value.integer(MaxTokensRange); });
            });
    }

    static std::optional<std::string> readModel(const value_reader &reader, const service &called)
    {
        auto model = reader.text();
        const auto &known = called.models;
        if (model && std::find(known.begin(), known.end(), *model) == known.end()) {
            reader.fail("one of the service's models");
            return std::nullopt;
        }
        return model;
    }

    void parseInputs(const value_reader &list)
    {
        const auto &items = list.value().items;
        for (std::size_t i = 0; i < items.size() && i < m_stages.size(); ++i) {
            const yaml_value *after = findKey(items[i], "after");
            if (after == nullptr)
                continue;
            const value_reader stage(items[i], list, i);
            m_stages[i].after = readInputs(value_reader(*after, stage, "after"));
        }
        refuseCycles(list);
    }

    [[nodiscard]] std::vector<std::uint32_t> readInputs(const value_reader &reader) const
    {
        std::vector<std::uint32_t> inputs;
        reader.forEach(0, MaxStages, [&](const value_reader &each) {
            const auto name = each.name();
            if (!name)
                return;
            const auto found = indexOf(stage_id(*name));
            if (!found)
                each.fail("the name of a stage of this template");
            else if (std::find(inputs.begin(), inputs.end(), *found) != inputs.end())
                each.fail("each stage once");
            else
                inputs.push_back(*found);
        });
        return inputs;
    }

    [[nodiscard]] std::optional<std::uint32_t> indexOf(const stage_id &id) const
    {
        for (std::uint32_t i = 0; i < m_stages.size(); ++i) {
            if (m_stages[i].id == id)
                return i;
        }
        return std::nullopt;
    }

    // Takes away stages whose inputs are all gone until none is left; what remains is in a cycle
    // or behind one. The first in the text that reaches itself is blamed.
    void refuseCycles(const value_reader &list) const
    {
        for (std::uint32_t i = 0; i < m_stages.size(); ++i) {
            std::vector<bool> seen(m_stages.size(), false);
            if (!reaches(i, i, seen))
                continue;
            const value_reader stage(list.value().items[i], list, std::size_t{i});
            const yaml_value *after = findKey(list.value().items[i], "after");
            value_reader(*after, stage, "after")
                .fail("inputs that don't wait for this stage (cycle)");
            return;
        }
    }

    [[nodiscard]] bool reaches(std::uint32_t from, std::uint32_t goal,
                               std::vector<bool> &seen) const
    {
        if (!m_stages[from].after)
            return false;
        for (const std::uint32_t input : *m_stages[from].after) {
            if (input == goal)
                return true;
            if (seen[input])
                continue;
            seen[input] = true;
            if (reaches(input, goal, seen))
                return true;
        }
        return false;
    }

    const std::vector<service> &m_services;
    const template_value_reader &m_values;
    std::vector<template_stage> m_stages;
};

void refuseUnknownParameters(const value_reader &parameters, const pipeline_template &used)
{
    mapping_reader mapping(parameters);
    for (const auto &parameter : used.parameters)
        (void)mapping.find(parameter.name);
}

} // namespace

const yaml_value *findKey(const yaml_value &mapping, std::string_view key)
{
    if (mapping.kind != yaml_kind::Mapping)
        return nullptr;
    for (std::size_t i = 0; i + 1 < mapping.items.size(); i += 2) {
        if (mapping.items[i].scalar == key)
            return &mapping.items[i + 1];
    }
    return nullptr;
}

pipeline_template parseTemplate(mapping_reader &mapping, const std::vector<service> &services)
{
    pipeline_template parsed;
    const std::size_t errorsBefore = mapping.reader().errors().size();
    parsed.parameters = parseParameters(mapping);
    // References to parameters that weren't understood would only repeat their errors.
    if (mapping.reader().errors().size() != errorsBefore) {
        for (const std::string_view key : {"deadline", "priority", "run", "stages"})
            (void)mapping.find(key);
        return parsed;
    }
    const template_value_reader values(parsed.parameters);
    mapping.read("deadline", presence::Required, parsed.deadline, [&](const value_reader &each) {
        return values.read<milliseconds>(
            each, parameter_type::Duration,
            [](const value_reader &value) { return value.duration(DeadlineRange); });
    });
    mapping.read("priority", presence::Optional, parsed.priority, [&](const value_reader &each) {
        return values.read<priority>(each, parameter_type::Priority,
                                     &value_reader::enumerator<priority>);
    });
    mapping.read("run", presence::Optional, parsed.run, [&](const value_reader &each) {
        return values.read<std::vector<stage_id>>(each, parameter_type::Stages, readStageNames);
    });
    if (const auto stages = mapping.find("stages", presence::Required))
        parsed.stages = stage_parser(services, values).parse(*stages);
    return parsed;
}

std::vector<parameter_value> parseParameterValues(const value_reader &pipeline,
                                                  const std::optional<value_reader> &parameters,
                                                  const pipeline_template &used)
{
    std::vector<parameter_value> values;
    if (parameters)
        refuseUnknownParameters(*parameters, used);
    for (const auto &parameter : used.parameters) {
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
