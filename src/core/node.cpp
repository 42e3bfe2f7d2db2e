#include "core/node.h"

#include <orchidlead/enum_names.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace orchidlead {

namespace {

constexpr milliseconds ConfigurationRetry{1000};
constexpr milliseconds StoppingRetry{1000};
constexpr milliseconds OverloadRetry{500};

std::string hexadecimal(std::uint64_t value)
{
    constexpr int Base = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, Base).ptr;
    return {digits.data(), end};
}

engine_settings withDataCenter(engine_settings settings, const data_center_id &dataCenter)
{
    settings.dataCenter = dataCenter;
    return settings;
}

std::string describe(const render_error &error, const caller_request &request)
{
    switch (error.failure) {
    case render_failure::UnknownCustomer:
        return "customer: unknown \"" + request.customer.value + "\"";
    case render_failure::UnknownPipeline:
        return "pipeline: customer \"" + request.customer.value + "\" has none named \""
            + request.pipeline.value + "\"";
    case render_failure::InvalidParameters:
        break;
    }
    return "pipeline: its parameters are invalid: \"" + error.value + "\", expected "
        + error.expected;
}

/// Gives the plan that the caller's own mark asks for.
std::shared_ptr<const pipeline_plan> honourMark(std::shared_ptr<const pipeline_plan> plan,
                                                const caller_request &request)
{
    if (request.repeatable.value_or(true))
        return plan;
    auto once = std::make_shared<pipeline_plan>(*plan);
    for (auto &stage : once->stages)
        stage.repeatable = false;
    return once;
}

milliseconds allowedTime(const pipeline_plan &plan, const caller_request &request)
{
    if (!request.deadline)
        return plan.deadline;
    return std::min(*request.deadline, plan.deadline);
}

} // namespace

node::node(const node_settings &settings, const clock_source &clock, std::uint64_t seed)
    : m_settings(settings)
    , m_clock(clock)
    , m_engine(withDataCenter(settings.engine, settings.dataCenter), clock, seed)
    , m_traces(settings.recentRequests, clock)
{ }

void node::setConfiguration(configuration_ptr configuration, engine_actions &out)
{
    const std::size_t from = out.size();
    m_configuration = std::move(configuration);
    m_engine.setServices(m_configuration->version, m_configuration->services, out);
    observe(out, from);
}

request_id node::submit(caller_request request, engine_actions &out)
{
    const request_id id = nextId();
    m_traces.begin(id, request.customer, request.pipeline);
    if (!m_accepting) {
        refuse(id, refusal_reason::Stopping, "this node is stopping", StoppingRetry, out);
        return id;
    }
    if (!m_configuration) {
        refuse(id, refusal_reason::NoConfiguration, "no configuration yet", ConfigurationRetry,
               out);
        return id;
    }
    const auto plan = renderPipeline(*m_configuration, request.customer, request.pipeline);
    if (!plan) {
        refuse(id, refusal_reason::InvalidRequest, describe(plan.error(), request), {}, out);
        return id;
    }
    if (m_inputBytes + request.input->size() > m_settings.maxInputBytes) {
        refuse(id, refusal_reason::Overloaded, "too many bytes of input in flight", OverloadRetry,
               out);
        return id;
    }
    start(id, std::move(request), plan.value(), out);
    return id;
}

void node::start(const request_id &id, caller_request request,
                 std::shared_ptr<const pipeline_plan> plan, engine_actions &out)
{
    const std::size_t from = out.size();
    m_open.emplace(id, open_request{request.input->size()});
    m_inputBytes += request.input->size();
    pipeline_request work;
    work.id = id;
    work.deadline = m_clock.now() + allowedTime(*plan, request);
    work.plan = honourMark(std::move(plan), request);
    work.input = std::move(request.input);
    work.stream = request.stream;
    m_engine.submit(std::move(work), out);
    observe(out, from);
}

void node::cancel(const request_id &request, engine_actions &out)
{
    const std::size_t from = out.size();
    m_engine.cancel(request, out);
    observe(out, from);
}

bool node::mayDispatch(const attempt_key &key) const
{
    return m_open.contains(key.request);
}

void node::onSent(const attempt_key &key)
{
    m_engine.onSent(key);
}

void node::onChunk(const attempt_key &key, std::string text, engine_actions &out)
{
    const std::size_t from = out.size();
    m_engine.onChunk(key, std::move(text), out);
    observe(out, from);
}

void node::onAnswer(const attempt_answer &answer, engine_actions &out)
{
    const std::size_t from = out.size();
    m_engine.onAnswer(answer, out);
    observe(out, from);
}

void node::onFailure(const attempt_key &key, attempt_failure failure,
                     std::optional<milliseconds> retryAfter, engine_actions &out)
{
    const std::size_t from = out.size();
    m_engine.onFailure(key, failure, retryAfter, out);
    observe(out, from);
}

void node::onLoadReport(const load_report &report, engine_actions &out)
{
    const std::size_t from = out.size();
    m_engine.onLoadReport(report, out);
    observe(out, from);
}

void node::tick(engine_actions &out)
{
    const std::size_t from = out.size();
    m_engine.tick(out);
    observe(out, from);
}

std::optional<steady_time> node::nextWake() const
{
    return m_engine.nextWake();
}

void node::stopAccepting()
{
    m_accepting = false;
    m_engine.drain();
}

bool node::idle() const
{
    return m_open.empty();
}

request_id node::nextId()
{
    ++m_sequence;
    return request_id{m_settings.vm.value + "-" + hexadecimal(m_settings.incarnation) + "-"
                      + std::to_string(m_sequence)};
}

void node::refuse(const request_id &id, refusal_reason reason, std::string detail,
                  std::optional<milliseconds> retryAfter, engine_actions &out)
{
    log_decision decision;
    decision.kind = decision_kind::Refuse;
    decision.key.request = id;
    decision.reason = std::string(toName(reason)) + ": " + detail;
    m_traces.addDecision(decision);
    out.emplace_back(std::move(decision));

    final_answer answer;
    answer.request = id;
    answer.reason = reason;
    answer.detail = std::move(detail);
    answer.retryAfter = retryAfter;
    m_traces.end(answer);
    out.emplace_back(deliver_answer{std::move(answer)});
}

void node::observe(const engine_actions &out, std::size_t from)
{
    for (std::size_t at = from; at < out.size(); ++at) {
        if (const auto *decision = std::get_if<log_decision>(&out[at]))
            m_traces.addDecision(*decision);
        else if (const auto *end = std::get_if<deliver_answer>(&out[at]))
            close(end->answer);
    }
}

void node::close(const final_answer &answer)
{
    m_traces.end(answer);
    const auto found = m_open.find(answer.request);
    if (found == m_open.end())
        return;
    m_inputBytes -= found->second.inputBytes;
    m_open.erase(found);
}

} // namespace orchidlead
