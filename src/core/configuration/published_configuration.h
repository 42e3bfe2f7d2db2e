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

/// One data centre that customers and backend servers may name.
struct data_center
{
    data_center_id id;
    region_id region;
};

/// One address at which a service runs.
struct backend_server
{
    backend_server_id id;
    socket_address address;
    data_center_id dataCenter;
};

/// A pool of backend servers that do the same work.
struct service
{
    service_id id;
    service_kind kind = service_kind::Plain;
    bool repeatable = true;
    std::vector<std::string> models; ///< engines only
    std::vector<backend_server> servers;
};

/// What a template parameter holds.
enum class parameter_type {
    Duration,
    Integer,
    String,
    Boolean,
    Priority,
    Stages, ///< names of stages of the template, in the order in which they run
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

/// What customers may set in a template.
struct template_parameter
{
    std::string name;
    parameter_type type = parameter_type::String;
    bool required = false;
    std::optional<parameter_value> defaultValue; ///< absent only where `required`
    std::optional<std::int64_t> minimum; ///< integers, and durations in milliseconds
    std::optional<std::int64_t> maximum; ///< as `minimum`
    std::vector<parameter_value> allowed; ///< empty: any
};

/// Stands for the value of a parameter, by its place in the template's list.
struct parameter_reference
{
    std::uint32_t index = 0;
};

/// A value written in the template, or one that the customer's parameter gives.
template <class T>
using template_value = std::variant<T, parameter_reference>;

/// One stage of a template.
struct template_stage
{
    stage_id id;
    std::uint32_t service = 0; ///< index in `published_configuration::services`
    std::string path;
    bool repeatable = true;
    /// Indices of the stages that it takes as inputs; absent: the one that runs before it.
    std::optional<std::vector<std::uint32_t>> after;
    template_value<bool> enabled = true;
    template_value<milliseconds> timeout = milliseconds{0};
    template_value<std::string> model = std::string{};
    template_value<std::int64_t> maxTokens = std::int64_t{0};
};

/// A pipeline that customers fill in with their parameters.
struct pipeline_template
{
    template_id id;
    std::vector<template_parameter> parameters;
    template_value<milliseconds> deadline = milliseconds{0};
    template_value<orchidlead::priority> priority = priority::Normal;
    /// Which stages run, in this order; absent: all, as listed.
    std::optional<template_value<std::vector<stage_id>>> run;
    std::vector<template_stage> stages;
};

/// A customer's use of a template.
struct customer_pipeline
{
    pipeline_id id;
    std::uint32_t templateIndex = 0; ///< in `published_configuration::templates`
    std::vector<parameter_value> values; ///< one for each parameter, defaults filled in
};

/// What one entry of `customers` says; shared by all customers that it names.
struct customer_settings
{
    data_center_id homeDataCenter;
    std::uint32_t weight = 1; ///< share of the capacity against other customers
    customer_limits limits;
    std::vector<customer_pipeline> pipelines;

    /// Finds a pipeline, or returns null.
    [[nodiscard]] const customer_pipeline *findPipeline(const pipeline_id &id) const;
};

/// One customer. Small, since there may be tens of thousands.
struct customer
{
    customer_id id;
    std::shared_ptr<const customer_settings> settings;
};

/// Everything that the platform publishes for the system, at one version. Immutable once parsed.
///
/// Templates and customers' parameters are checked at parsing; plans are rendered on demand, since
/// 21,000 customers times their pipelines would not fit a node's memory budget.
struct published_configuration
{
    std::uint64_t version = 0;
    std::vector<data_center> dataCenters;
    std::vector<service> services;
    std::vector<pipeline_template> templates;
    std::vector<customer> customers; ///< sorted by id

    /// Finds a data centre, or returns null. Linear: there are few.
    [[nodiscard]] const data_center *findDataCenter(const data_center_id &id) const;
    /// Finds a service, or returns null.
    [[nodiscard]] const service *findService(const service_id &id) const;
    /// Finds a backend server of any service, or returns null.
    [[nodiscard]] const backend_server *findServer(const backend_server_id &id) const;
    /// Finds the service that a backend server belongs to, or returns null.
    [[nodiscard]] const service *findServiceOf(const backend_server_id &id) const;
    /// Finds a template, or returns null.
    [[nodiscard]] const pipeline_template *findTemplate(const template_id &id) const;
    /// Finds a customer, or returns null.
    [[nodiscard]] const customer *findCustomer(const customer_id &id) const;

    /// Sorts the customers and fills the indices; called once, after the lists are complete.
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

/// Reads and checks a published document.
///
/// Deterministic: every node that runs the same program accepts or refuses a text alike, whatever
/// its locale, time or memory. On failure gives every error found, up to a bound.
[[nodiscard]] result<configuration_ptr, std::vector<configuration_error>>
parsePublishedConfiguration(std::string_view yaml, std::string_view fileName,
                            std::uint64_t version);

/// Why there is no plan for a request.
enum class render_failure { UnknownCustomer, UnknownPipeline, InvalidParameters };

template <>
inline constexpr std::array enumNames<render_failure>{
    enum_name<render_failure>{render_failure::UnknownCustomer, "unknown_customer"},
    enum_name<render_failure>{render_failure::UnknownPipeline, "unknown_pipeline"},
    enum_name<render_failure>{render_failure::InvalidParameters, "invalid_parameters"},
};

/// Says why a pipeline couldn't be rendered. A parsed configuration never gives
/// `InvalidParameters`, since parsing renders each entry once.
struct render_error
{
    render_failure failure = render_failure::UnknownCustomer;
    std::optional<std::uint32_t> parameter; ///< index of the parameter that is at fault
    std::string value; ///< offending text
    std::string expected;
};

/// Renders one customer's pipeline.
[[nodiscard]] result<std::shared_ptr<const pipeline_plan>, render_error>
renderPipeline(const published_configuration &configuration, const customer_id &customer,
               const pipeline_id &pipeline);

/// Renders a template with one set of parameters; the part of `renderPipeline` that checks.
[[nodiscard]] result<pipeline_plan, render_error>
renderTemplate(const published_configuration &configuration, const customer_pipeline &pipeline);

} // namespace orchidlead
