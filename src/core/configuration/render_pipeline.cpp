#include "core/configuration/published_configuration.h"

#include <algorithm>
#include <limits>

namespace orchidlead {

namespace {

constexpr std::uint32_t NotRunning = std::numeric_limits<std::uint32_t>::max();

/// A template value for one customer, and the index of the parameter that it comes from, if any.
template <class T>
struct resolved_value
{
    T value;
    std::optional<std::uint32_t> parameter;
};

template <class T>
resolved_value<T> resolve(const template_value<T> &value, const customer_pipeline &pipeline)
{
    if (const auto *reference = std::get_if<parameter_reference>(&value))
        return {std::get<T>(pipeline.values[reference->index]), reference->index};
    return {std::get<T>(value), std::nullopt};
}

render_error invalid(std::optional<std::uint32_t> parameter, std::string value,
                     std::string expected)
{
    return render_error{render_failure::InvalidParameters, parameter, std::move(value),
                        std::move(expected)};
}

/// Orders the selected stages, connects their inputs and validates the resulting graph.
class pipeline_renderer
{
public:
    pipeline_renderer(const published_configuration &configuration,
                      const customer_pipeline &pipeline)
        : m_services(configuration.services)
        , m_template(configuration.templates[pipeline.templateIndex])
        , m_pipeline(pipeline)
    { }

    result<pipeline_plan, render_error> render()
    {
        BOOST_OUTCOME_TRYV(selectStages());
        pipeline_plan plan;
        plan.id = m_pipeline.id;
        plan.priority = resolve(m_template.priority, m_pipeline).value;
        const auto deadline = resolve(m_template.deadline, m_pipeline);
        if (deadline.value <= milliseconds{0})
            return invalid(deadline.parameter, "0ms", "a deadline above 0");
        plan.deadline = deadline.value;
        for (const std::uint32_t stage : m_order) {
            BOOST_OUTCOME_TRY(rendered, renderStage(stage));
            plan.stages.push_back(std::move(rendered));
        }
        BOOST_OUTCOME_TRYV(validateGraph(plan));
        return plan;
    }

private:
    result<void, render_error> selectStages()
    {
        m_position.assign(m_template.stages.size(), NotRunning);
        if (m_template.run) {
            BOOST_OUTCOME_TRYV(addSelectedStages());
        } else {
            for (std::uint32_t i = 0; i < m_template.stages.size(); ++i)
                addIfEnabled(i);
        }
        if (m_order.empty())
            return invalid(m_runParameter, "", "at least one stage that runs");
        return success();
    }

    result<void, render_error> addSelectedStages()
    {
        const auto selected = resolve(*m_template.run, m_pipeline);
        m_runParameter = selected.parameter;
        for (const stage_id &id : selected.value) {
            const auto found =
                std::find_if(m_template.stages.begin(), m_template.stages.end(),
                             [&](const template_stage &stage) { return stage.id == id; });
            if (found == m_template.stages.end())
                return invalid(m_runParameter, id.value, "the name of a stage of the template");
            addIfEnabled(static_cast<std::uint32_t>(found - m_template.stages.begin()));
        }
        return success();
    }

    void addIfEnabled(std::uint32_t stage)
    {
        const auto enabled = resolve(m_template.stages[stage].enabled, m_pipeline);
        if (!enabled.value)
            return;
        m_position[stage] = static_cast<std::uint32_t>(m_order.size());
        m_order.push_back(stage);
    }

    [[nodiscard]] result<stage_plan, render_error> renderStage(std::uint32_t index) const
    {
        const template_stage &stage = m_template.stages[index];
        const service &called = m_services[stage.service];
        stage_plan plan;
        plan.id = stage.id;
        plan.service = called.id;
        plan.kind = called.kind;
        plan.path = stage.path;
        plan.repeatable = stage.repeatable;
        plan.timeout = resolve(stage.timeout, m_pipeline).value;
        BOOST_OUTCOME_TRY(inputs, inputsOf(index));
        plan.inputs = std::move(inputs);
        if (called.kind == service_kind::Engine) {
            BOOST_OUTCOME_TRYV(renderEngineCall(stage, called, plan));
        }
        return plan;
    }

    [[nodiscard]] result<void, render_error>
    renderEngineCall(const template_stage &stage, const service &called, stage_plan &plan) const
    {
        auto model = resolve(stage.model, m_pipeline);
        if (std::find(called.models.begin(), called.models.end(), model.value)
            == called.models.end())
            return invalid(model.parameter, model.value,
                           "a model of the service " + called.id.value);
        plan.model = std::move(model.value);
        const auto tokens = resolve(stage.maxTokens, m_pipeline);
        if (tokens.value < 1 || tokens.value > std::numeric_limits<std::uint32_t>::max())
            return invalid(tokens.parameter, std::to_string(tokens.value),
                           "a number of tokens above 0");
        plan.maxTokens = static_cast<std::uint32_t>(tokens.value);
        return success();
    }

    /// Returns the positions of the running stages whose outputs the stage takes.
    [[nodiscard]] result<std::vector<std::uint32_t>, render_error>
    inputsOf(std::uint32_t index) const
    {
        std::vector<std::uint32_t> inputs;
        const auto &after = m_template.stages[index].after;
        const std::uint32_t position = m_position[index];
        if (!after) {
            if (position > 0)
                inputs.push_back(position - 1);
            return inputs;
        }
        std::vector<bool> seen(m_template.stages.size(), false);
        for (const std::uint32_t input : *after)
            collectInputs(input, inputs, seen);
        std::sort(inputs.begin(), inputs.end());
        for (const std::uint32_t input : inputs) {
            if (input >= position)
                return invalid(m_runParameter, m_template.stages[index].id.value,
                               "this stage after its input "
                                   + m_template.stages[m_order[input]].id.value);
        }
        return inputs;
    }

    // A stage that does not run is replaced by its inputs; one without `after` is replaced by the
    // stage listed before it. `seen` terminates the recursion and prevents duplicate inputs.
    void collectInputs(std::uint32_t index, std::vector<std::uint32_t> &inputs,
                       std::vector<bool> &seen) const
    {
        if (seen[index])
            return;
        seen[index] = true;
        if (m_position[index] != NotRunning) {
            inputs.push_back(m_position[index]);
            return;
        }
        const auto &after = m_template.stages[index].after;
        if (after) {
            for (const std::uint32_t input : *after)
                collectInputs(input, inputs, seen);
        } else if (index > 0) {
            collectInputs(index - 1, inputs, seen);
        }
    }

    [[nodiscard]] result<void, render_error> validateGraph(const pipeline_plan &plan) const
    {
        std::vector<bool> used(plan.stages.size(), false);
        used.back() = true;
        for (const auto &stage : plan.stages) {
            for (const std::uint32_t input : stage.inputs)
                used[input] = true;
        }
        for (std::size_t i = 0; i < plan.stages.size(); ++i) {
            const stage_plan &stage = plan.stages[i];
            if (!used[i])
                return invalid(m_runParameter, stage.id.value,
                               "a stage whose output another one takes, or the last one");
            // If a later stage failed, the request could only be retried by repeating this call.
            if (!stage.repeatable && i + 1 != plan.stages.size())
                return invalid(m_runParameter, stage.id.value,
                               "a repeatable stage; only the last may be not repeatable");
        }
        return success();
    }

    const std::vector<service> &m_services;
    const pipeline_template &m_template;
    const customer_pipeline &m_pipeline;
    std::optional<std::uint32_t> m_runParameter; ///< parameter that selects the stages
    std::vector<std::uint32_t> m_order; ///< template indices of running stages
    std::vector<std::uint32_t> m_position; ///< by template index; or `NotRunning`
};

} // namespace

result<pipeline_plan, render_error> renderTemplate(const published_configuration &configuration,
                                                   const customer_pipeline &pipeline)
{
    return pipeline_renderer(configuration, pipeline).render();
}

result<std::shared_ptr<const pipeline_plan>, render_error>
renderPipeline(const published_configuration &configuration, const customer_id &customer,
               const pipeline_id &pipeline)
{
    const auto *const found = configuration.findCustomer(customer);
    if (found == nullptr)
        return render_error{render_failure::UnknownCustomer, std::nullopt, customer.value,
                            "a customer of the configuration"};
    const customer_pipeline *const instance = found->settings->findPipeline(pipeline);
    if (instance == nullptr)
        return render_error{render_failure::UnknownPipeline, std::nullopt, pipeline.value,
                            "a pipeline of the customer"};
    BOOST_OUTCOME_TRY(plan, renderTemplate(configuration, *instance));
    plan.customer = customer;
    plan.configurationVersion = configuration.version;
    plan.weight = found->settings->weight;
    plan.limits = found->settings->limits;
    return std::make_shared<const pipeline_plan>(std::move(plan));
}

} // namespace orchidlead
