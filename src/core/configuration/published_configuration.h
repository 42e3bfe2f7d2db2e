#pragma once

#include "core/configuration/pipeline.h"
#include "core/settings/configuration_error.h"

#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace orchidlead {

/// A data centre that customers and backend servers refer to.
struct data_center
{
    data_center_id id;
    region_id region;
};

/// One address of a service.
struct backend_server
{
    backend_server_id id;
    socket_address address;
    data_center_id dataCenter;
};

/// A pool of interchangeable backend servers.
struct service
{
    service_id id;
    service_kind kind = service_kind::Plain;
    bool repeatable = true;
    std::vector<std::string> models; ///< engines only
    std::vector<backend_server> servers;
};

/// Type of a template parameter.
enum class parameter_type {
    Duration,
    Integer,
    String,
    Boolean,
    Priority,
    Stages, ///< names of stages, in execution order
};

template <>
inline constexpr std::array enumNames<parameter_type>{
    enum_name<parameter_type>{parameter_type::Duration, "duration"},
    enum_name<parameter_type>{parameter_type::Integer, "integer"},
    enum_name<parameter_type>{parameter_type::String, "string"},
    enum_name<parameter_type>{parameter_type::Boolean, "boolean"},
    enum_name<parameter_type>{parameter_type::Priority, "priority"},
    enum_name<parameter_type>{parameter_type::Stages, "stages"},
};

/// The value of a parameter; the alternatives are in the order of `parameter_type`.
using parameter_value =
    std::variant<milliseconds, std::int64_t, std::string, bool, priority, std::vector<stage_id>>;

/// A parameter of a template that customers may set.
struct template_parameter
{
    std::string name;
    parameter_type type = parameter_type::String;
    bool required = false;
    std::optional<parameter_value> defaultValue; ///< absent only if `required`
    std::optional<std::int64_t> minimum; ///< integers, and durations in milliseconds
    std::optional<std::int64_t> maximum; ///< integers, and durations in milliseconds
    std::vector<parameter_value> allowed; ///< empty: any value
};

/// Reference to the value of a parameter.
struct parameter_reference
{
    std::uint32_t index = 0; ///< in `pipeline_template::parameters`
};

/// A literal value of the template, or a reference to a parameter of the customer.
template <class T>
using template_value = std::variant<T, parameter_reference>;

/// One stage of a template.
struct template_stage
{
    stage_id id;
    std::uint32_t service = 0; ///< index in `published_configuration::services`
    std::string path;
    bool repeatable = true;
    /// Indices of the stages whose outputs it takes; absent: the stage that runs before it.
    std::optional<std::vector<std::uint32_t>> after;
    template_value<bool> enabled = true;
    template_value<milliseconds> timeout = milliseconds{0};
    template_value<std::string> model = std::string{};
    template_value<std::int64_t> maxTokens = std::int64_t{0};
};

/// A pipeline definition that customers instantiate with their parameters.
struct pipeline_template
{
    template_id id;
    std::vector<template_parameter> parameters;
    template_value<milliseconds> deadline = milliseconds{0};
    template_value<orchidlead::priority> priority = priority::Normal;
    /// Names of the stages to run, in execution order; absent: all stages in the order of the
    /// template.
    std::optional<template_value<std::vector<stage_id>>> run;
    std::vector<template_stage> stages;
};

/// A template with the parameter values of one customer.
struct customer_pipeline
{
    pipeline_id id;
    std::uint32_t templateIndex = 0; ///< in `published_configuration::templates`
    std::vector<parameter_value> values; ///< one per parameter, including defaults
};

/// Settings of one entry of `customers`; shared by all customers of the entry.
struct customer_settings
{
    data_center_id homeDataCenter;
    std::uint32_t weight = 1; ///< relative share of the capacity
    customer_limits limits;
    std::vector<customer_pipeline> pipelines;

    /// Returns null if there is no such pipeline.
    [[nodiscard]] const customer_pipeline *findPipeline(const pipeline_id &id) const;
};

/// One customer. Kept small, since a configuration may hold tens of thousands.
struct customer
{
    customer_id id;
    std::shared_ptr<const customer_settings> settings;
};

/// One version of the configuration that the platform publishes. Immutable once parsed.
///
/// Templates and the parameters of customers are validated at parsing. Plans are rendered on
/// demand, since those of all pipelines of 21,000 customers would not fit the memory budget of a
/// node.
struct published_configuration
{
    std::uint64_t version = 0;
    std::vector<data_center> dataCenters;
    std::vector<service> services;
    std::vector<pipeline_template> templates;
    std::vector<customer> customers; ///< sorted by id

    // The functions below return null if there is no such entry.

    /// Linear search: there are few data centres.
    [[nodiscard]] const data_center *findDataCenter(const data_center_id &id) const;
    [[nodiscard]] const service *findService(const service_id &id) const;
    [[nodiscard]] const backend_server *findServer(const backend_server_id &id) const;
    /// Returns the service that the backend server belongs to.
    [[nodiscard]] const service *findServiceOf(const backend_server_id &id) const;
    [[nodiscard]] const pipeline_template *findTemplate(const template_id &id) const;
    [[nodiscard]] const customer *findCustomer(const customer_id &id) const;

    /// Sorts the customers and fills the indices; call once, when all lists are complete.
    void buildIndex();

private:
    struct server_position
    {
        std::uint32_t service = 0;
        std::uint32_t server = 0;
    };

    std::unordered_map<service_id, std::uint32_t> m_serviceIndex;
    std::unordered_map<backend_server_id, server_position> m_serverIndex;
    std::unordered_map<template_id, std::uint32_t> m_templateIndex;
};

using configuration_ptr = std::shared_ptr<const published_configuration>;

/// Parses and validates a published document.
///
/// Deterministic: every node that runs the same program accepts or rejects the same documents,
/// which depends on neither locale, time nor memory. Returns all errors found, up to a limit.
[[nodiscard]] result<configuration_ptr, std::vector<configuration_error>>
parsePublishedConfiguration(std::string_view yaml, std::string_view fileName,
                            std::uint64_t version);

/// Reason why a pipeline cannot be rendered.
enum class render_failure { UnknownCustomer, UnknownPipeline, InvalidParameters };

template <>
inline constexpr std::array enumNames<render_failure>{
    enum_name<render_failure>{render_failure::UnknownCustomer, "unknown_customer"},
    enum_name<render_failure>{render_failure::UnknownPipeline, "unknown_pipeline"},
    enum_name<render_failure>{render_failure::InvalidParameters, "invalid_parameters"},
};

/// Failure to render a pipeline. `InvalidParameters` does not occur with a parsed configuration,
/// since parsing renders the pipelines of each entry once.
struct render_error
{
    render_failure failure = render_failure::UnknownCustomer;
    std::optional<std::uint32_t> parameter; ///< index of the invalid parameter
    std::string value; ///< invalid value
    std::string expected;
};

/// Renders a pipeline of a customer.
[[nodiscard]] result<std::shared_ptr<const pipeline_plan>, render_error>
renderPipeline(const published_configuration &configuration, const customer_id &customer,
               const pipeline_id &pipeline);

/// Renders and validates a template with the parameter values of `pipeline`. The fields that depend
/// on the customer are left at their defaults; `renderPipeline` sets them.
[[nodiscard]] result<pipeline_plan, render_error>
renderTemplate(const published_configuration &configuration, const customer_pipeline &pipeline);

} // namespace orchidlead
