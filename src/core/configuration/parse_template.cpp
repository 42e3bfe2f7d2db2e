#include "core/configuration/parse_template.h"

#include "core/configuration/parse_parameters.h"

#include <algorithm>

namespace orchidlead {

namespace {

constexpr duration_range DeadlineRange{milliseconds{1}, std::chrono::hours{24}};
constexpr duration_range TimeoutRange{milliseconds{1}, std::chrono::hours{24}};
constexpr integer_range MaxTokensRange{1, 1'000'000};
constexpr std::string_view DefaultStagePath = "/run";
constexpr std::string_view DefaultEnginePath = "/v1/completions";
constexpr std::string_view ReferencePrefix = "${";
constexpr std::string_view ReferenceSuffix = "}";

/// Reads values that may be references of the form `${parameter}`.
class template_value_reader
{
public:
    explicit template_value_reader(const std::vector<template_parameter> &parameters)
        : m_parameters(parameters)
    { }

    /// Reads a reference to a parameter of `type`, or a literal value with `parse`.
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
            && std::string_view(value.scalar).starts_with(ReferencePrefix)
            && std::string_view(value.scalar).ends_with(ReferenceSuffix);
    }

    [[nodiscard]] std::optional<parameter_reference> findReference(const value_reader &reader,
                                                                   parameter_type type) const
    {
        std::string_view name = reader.value().scalar;
        name.remove_prefix(ReferencePrefix.size());
        name.remove_suffix(ReferenceSuffix.size());
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

/// Parses the stages of one template.
class stage_parser
{
public:
    stage_parser(const std::vector<service> &services, const template_value_reader &values)
        : m_services(services)
        , m_values(values)
    { }

    std::vector<template_stage> parse(const value_reader &list)
    {
        list.forEach(1, MaxStagesPerTemplate, [&](const value_reader &each) { parseStage(each); });
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
        // The kind and the defaults of the service determine how the other keys are read.
        std::optional<std::uint32_t> found;
        mapping.read("service", presence::Required, found,
                     [&](const value_reader &each) { return findService(each, m_services); });
        const service unknownService;
        stage.service = found.value_or(0);
        parseCall(mapping, stage, found ? m_services[*found] : unknownService);
        (void)mapping.find("after"); // parsed by parseInputs
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
        stage.path = isEngine ? DefaultEnginePath : DefaultStagePath;
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
        const auto &servedModels = called.models;
        if (model
            && std::find(servedModels.begin(), servedModels.end(), *model) == servedModels.end()) {
            reader.fail("one of the service's models");
            return std::nullopt;
        }
        return model;
    }

    // Inputs may refer to later stages, so they are parsed when all stages have names.
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
        rejectCycles(list);
    }

    [[nodiscard]] std::vector<std::uint32_t> readInputs(const value_reader &reader) const
    {
        std::vector<std::uint32_t> inputs;
        reader.forEach(0, MaxStagesPerTemplate, [&](const value_reader &each) {
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

    // Reports the first stage of the template that depends on itself.
    void rejectCycles(const value_reader &list) const
    {
        for (std::uint32_t i = 0; i < m_stages.size(); ++i) {
            std::vector<bool> seen(m_stages.size(), false);
            if (!dependsOn(i, i, seen))
                continue;
            const value_reader stage(list.value().items[i], list, std::size_t{i});
            const yaml_value *after = findKey(list.value().items[i], "after");
            value_reader(*after, stage, "after")
                .fail("inputs that don't depend on this stage (cycle)");
            return;
        }
    }

    [[nodiscard]] bool dependsOn(std::uint32_t from, std::uint32_t target,
                                 std::vector<bool> &seen) const
    {
        if (!m_stages[from].after)
            return false;
        for (const std::uint32_t input : *m_stages[from].after) {
            if (input == target)
                return true;
            if (seen[input])
                continue;
            seen[input] = true;
            if (dependsOn(input, target, seen))
                return true;
        }
        return false;
    }

    const std::vector<service> &m_services;
    const template_value_reader &m_values;
    std::vector<template_stage> m_stages;
};

} // namespace

pipeline_template parseTemplate(mapping_reader &mapping, const std::vector<service> &services)
{
    pipeline_template parsed;
    const std::size_t errorsBefore = mapping.reader().errors().size();
    parsed.parameters = parseParameters(mapping);
    // References to invalid parameters would only cause further errors about the same parameters.
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

} // namespace orchidlead
