#include "core/node/node.h"

#include <orchidlead/enum_names.h>
#include <orchidlead/rendezvous.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace orchidlead {

namespace {

constexpr milliseconds ConfigurationRetry{1000};
constexpr milliseconds StoppingRetry{1000};
constexpr milliseconds OverloadRetry{500};
// For a request with a ticket or key but no plan, which is only refused or forwarded.
constexpr milliseconds NoPlanDeadline{5000};

template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

std::string hexadecimal(std::uint64_t value)
{
    constexpr int Base = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, Base).ptr;
    return {digits.data(), end};
}

engine_settings engineSettings(const node_settings &settings)
{
    engine_settings engine = settings.engine;
    engine.dataCenter = settings.dataCenter;
    return engine;
}

at_most_once_settings atMostOnceSettings(const node_settings &settings)
{
    at_most_once_settings once = settings.once;
    once.vm = settings.vm;
    once.incarnation = settings.incarnation;
    once.dataCenter = settings.dataCenter;
    return once;
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

/// Returns the plan, with all stages not repeatable if the caller marked the request so.
std::shared_ptr<const pipeline_plan> applyRepeatable(std::shared_ptr<const pipeline_plan> plan,
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

/// Hashes what distinguishes the work of two requests: the pipeline and the input.
std::uint64_t digestOf(const caller_request &request)
{
    const std::uint64_t pipeline =
        XXH64(request.pipeline.value.data(), request.pipeline.value.size(), 0);
    return XXH64(request.input->data(), request.input->size(), pipeline);
}

final_answer answerOf(outcome end, refusal_reason reason, std::string detail,
                      std::optional<milliseconds> retryAfter = {})
{
    final_answer answer;
    answer.outcome = end;
    answer.reason = reason;
    answer.detail = std::move(detail);
    answer.retryAfter = retryAfter;
    return answer;
}

log_decision refusalDecision(const request_id &id, const final_answer &answer)
{
    log_decision line;
    line.kind = decision_kind::Refuse;
    line.key.request = id;
    line.reason = std::string(toName(answer.reason)) + ": " + answer.detail;
    return line;
}

} // namespace

node::node(const node_settings &settings, const clock_source &clock, std::uint64_t seed)
    : m_settings(settings)
    , m_clock(clock)
    , m_engine(engineSettings(settings), clock, seed)
    , m_atMostOnce(atMostOnceSettings(settings), clock)
    , m_traces(settings.recentRequests, clock)
{ }

void node::setConfiguration(configuration_ptr configuration, node_actions &out)
{
    m_configuration = std::move(configuration);
    feed(
        [&](auto &actions) {
            m_engine.setServices(m_configuration->version, m_configuration->services, actions);
        },
        out);
}

void node::setMembers(std::vector<member> members, steady_time vmListConfirmedAt)
{
    m_members = std::move(members);
    std::vector<member> own;
    for (const auto &entry : m_members) {
        if (entry.vm.dataCenter == m_settings.dataCenter)
            own.push_back(entry);
    }
    m_atMostOnce.setMembers(own, vmListConfirmedAt);
}

void node::setAdmission(admission_state state)
{
    m_admission = state;
    if (state == admission_state::Stopping)
        m_engine.drain();
}

request_id node::submit(caller_request request, node_actions &out)
{
    request_id id = nextId();
    m_traces.begin(id, request.customer, request.pipeline);
    m_openRequests.emplace(id, open_request{request.customer, request.pipeline, m_clock.now()});
    const plan_or_refusal plan = renderPlan(request);
    const bool once = request.hasTicketOrKey() || (plan && !plan.value()->repeatable());
    if (once)
        submitNonRepeatable(id, std::move(request), plan, out);
    else
        runOrRefuse(id, std::move(request), plan, std::nullopt, out);
    return id;
}

node::plan_or_refusal node::renderPlan(const caller_request &request) const
{
    if (!m_configuration) {
        return failure(
            refusal{refusal_reason::NoConfiguration, "no configuration yet", ConfigurationRetry});
    }
    auto plan = renderPipeline(*m_configuration, request.customer, request.pipeline);
    if (!plan) {
        return failure(
            refusal{refusal_reason::InvalidRequest, describe(plan.error(), request), {}});
    }
    return applyRepeatable(std::move(plan).value(), request);
}

std::optional<node::refusal> node::checkAdmission(const caller_request &request) const
{
    if (m_admission == admission_state::Stopping)
        return refusal{refusal_reason::Stopping, "this node is stopping", StoppingRetry};
    if (m_admission == admission_state::Unconfirmed) {
        return refusal{refusal_reason::NoConfiguration, "the configuration isn't confirmed yet",
                       ConfigurationRetry};
    }
    if (m_heldBytes + request.input->size() > m_settings.maxHeldBytes) {
        return refusal{refusal_reason::Overloaded, "too many bytes of inputs and outputs are held",
                       OverloadRetry};
    }
    return std::nullopt;
}

non_repeatable_request node::makeNonRepeatableRequest(const caller_request &request,
                                                      steady_time deadline) const
{
    non_repeatable_request once;
    once.customer = request.customer;
    const auto *published =
        m_configuration ? m_configuration->findCustomer(request.customer) : nullptr;
    if (published != nullptr)
        once.homeDataCenter = published->settings->homeDataCenter;
    once.ticket = request.ticket;
    once.key = request.idempotencyKey;
    once.digest = digestOf(request);
    once.deadline = deadline;
    once.forwarded = forwardedWithinDataCenter(request);
    return once;
}

// The at-most-once gate decides first. All other refusals of a request with a ticket or key come
// after the gate has recorded the call, so that the refusal is recorded too and a delayed copy
// doesn't run.
void node::submitNonRepeatable(const request_id &id, caller_request request,
                               const plan_or_refusal &plan, node_actions &out)
{
    const milliseconds time =
        plan ? allowedTime(*plan.value(), request) : request.deadline.value_or(NoPlanDeadline);
    const steady_time deadline = m_clock.now() + time;
    m_lastDeadline = std::max(m_lastDeadline, deadline);
    const at_most_once_verdict verdict =
        m_atMostOnce.onRequest(makeNonRepeatableRequest(request, deadline));
    std::visit(
        overloaded{
            [&](const run_locally &run) {
                runOrRefuse(id, std::move(request), plan, run.record, out);
            },
            [&](const attach_to_call &running) { attach(id, running.record, deadline, out); },
            [&](const return_stored_answer &ended) { deliver(id, ended.answer, out); },
            [&](const forward_to &elsewhere) { forward(id, request, elsewhere, deadline, out); },
            [&](const refuse_call &refused) {
                deliver(
                    id,
                    answerOf(refused.outcome, refused.reason, refused.detail, refused.retryAfter),
                    out);
            },
        },
        verdict);
}

void node::runOrRefuse(const request_id &id, caller_request request, const plan_or_refusal &plan,
                       std::optional<record_handle> record, node_actions &out)
{
    auto refused = checkAdmission(request);
    if (!refused && !plan)
        refused = plan.error();
    if (!refused) {
        start(id, std::move(request), plan.value(), record, out);
        return;
    }
    final_answer answer =
        answerOf(outcome::NotRun, refused->reason, refused->detail, refused->retryAfter);
    answer.request = id;
    if (record)
        m_atMostOnce.onFinished(*record, answer);
    deliver(id, std::move(answer), out);
}

void node::start(const request_id &id, caller_request request, const plan_ptr &plan,
                 std::optional<record_handle> record, node_actions &out)
{
    const std::size_t bytes = request.input->size();
    m_running.emplace(id, running_request{bytes, record, request.hasTicketOrKey()});
    m_heldBytes += bytes;
    pipeline_request work;
    work.id = id;
    work.plan = plan;
    work.deadline = m_clock.now() + allowedTime(*plan, request);
    m_lastDeadline = std::max(m_lastDeadline, work.deadline);
    work.input = std::move(request.input);
    work.stream = request.stream;
    feed([&](auto &actions) { m_engine.submit(std::move(work), actions); }, out);
}

void node::attach(const request_id &id, record_handle record, steady_time deadline,
                  node_actions &out)
{
    if (m_attached.add(record, id, deadline))
        return;
    deliver(id,
            answerOf(outcome::Unknown, refusal_reason::Overloaded,
                     "too many copies of this request wait for its answer", OverloadRetry),
            out);
}

void node::forward(const request_id &id, const caller_request &request, const forward_to &verdict,
                   steady_time deadline, node_actions &out)
{
    const member *target = mayForward(request, verdict) ? forwardTarget(id, verdict) : nullptr;
    if (target == nullptr || m_forwarded.size() >= m_settings.maxForwarded) {
        deliver(id,
                answerOf(outcome::Unknown, refusal_reason::HomeUnreachable,
                         "the node that decides about the ticket or key can't be reached",
                         OverloadRetry),
                out);
        return;
    }
    m_forwarded.insert(id);
    out.emplace_back(
        forward_call{id, target->vm.vm, target->vm.peerAddress, request.body, deadline});
}

// Allows one hop to another data centre and one within it. A longer path could only be a cycle of
// nodes whose configurations differ.
bool node::mayForward(const caller_request &request, const forward_to &verdict) const
{
    if (request.forwardedBy.empty())
        return true;
    return verdict.kind == forward_kind::Key && verdict.dataCenter == m_settings.dataCenter;
}

bool node::forwardedWithinDataCenter(const caller_request &request) const
{
    if (request.forwardedBy.empty())
        return false;
    const auto isSender = [&](const member &entry) { return entry.vm.vm == request.forwardedBy; };
    const auto sender = std::find_if(m_members.begin(), m_members.end(), isSender);
    return sender == m_members.end() || sender->vm.dataCenter == m_settings.dataCenter;
}

const member *node::forwardTarget(const request_id &id, const forward_to &verdict) const
{
    std::vector<vm_id> candidates{verdict.vm};
    if (verdict.vm.empty()) {
        candidates.clear();
        for (const auto &entry : m_members) {
            if (entry.vm.dataCenter == verdict.dataCenter && entry.state == member_state::Alive)
                candidates.push_back(entry.vm.vm);
        }
    }
    const auto chosen = rendezvousPick(id.value, candidates, 1);
    if (chosen.empty())
        return nullptr;
    const auto isChosen = [&](const member &entry) { return entry.vm.vm == chosen.front(); };
    const auto found = std::find_if(m_members.begin(), m_members.end(), isChosen);
    return found == m_members.end() ? nullptr : &*found;
}

void node::onForwardAnswer(const request_id &request, final_answer answer, node_actions &out)
{
    if (m_forwarded.erase(request) != 0)
        deliver(request, std::move(answer), out);
}

void node::onForwardFailed(const request_id &request, const std::string &detail, node_actions &out)
{
    if (m_forwarded.erase(request) == 0)
        return;
    deliver(request,
            answerOf(outcome::Unknown, refusal_reason::HomeUnreachable,
                     "the node that decides about the ticket or key: " + detail, OverloadRetry),
            out);
}

std::optional<std::string> node::mintTicket()
{
    if (m_admission == admission_state::Stopping)
        return std::nullopt;
    return m_atMostOnce.mintTicket();
}

void node::cancel(const request_id &request, node_actions &out)
{
    if (m_attached.remove(request) || m_forwarded.erase(request) != 0) {
        deliver(request,
                answerOf(outcome::Unknown, refusal_reason::Cancelled, "the caller went away"), out);
        return;
    }
    const auto active = m_running.find(request);
    if (active == m_running.end() || active->second.hasTicketOrKey)
        return;
    feed([&](auto &actions) { m_engine.cancel(request, actions); }, out);
}

bool node::mayDispatch(const attempt_key &key) const
{
    const auto active = m_running.find(key.request);
    if (active == m_running.end())
        return false;
    return !active->second.record || m_atMostOnce.mayDispatch(*active->second.record);
}

void node::onSent(const attempt_key &key)
{
    m_engine.onSent(key);
    const auto active = m_running.find(key.request);
    if (active != m_running.end() && active->second.record)
        m_atMostOnce.onDispatched(*active->second.record);
}

void node::onChunk(const attempt_key &key, std::string text, node_actions &out)
{
    feed([&](auto &actions) { m_engine.onChunk(key, std::move(text), actions); }, out);
}

void node::onAnswer(const attempt_answer &answer, node_actions &out)
{
    const auto active = m_running.find(answer.key.request);
    if (active != m_running.end() && answer.output) {
        active->second.bytes += answer.output->size();
        m_heldBytes += answer.output->size();
    }
    feed([&](auto &actions) { m_engine.onAnswer(answer, actions); }, out);
}

void node::onFailure(const attempt_key &key, attempt_failure failure,
                     std::optional<milliseconds> retryAfter, node_actions &out)
{
    feed([&](auto &actions) { m_engine.onFailure(key, failure, retryAfter, actions); }, out);
}

void node::onLoadReport(const load_report &report, node_actions &out)
{
    feed([&](auto &actions) { m_engine.onLoadReport(report, actions); }, out);
}

void node::tick(node_actions &out)
{
    feed([&](auto &actions) { m_engine.tick(actions); }, out);
    expireAttached(out);
}

void node::expireAttached(node_actions &out)
{
    for (const auto &request : m_attached.takeExpired(m_clock.now())) {
        deliver(request,
                answerOf(outcome::Unknown, refusal_reason::DeadlinePassed,
                         "another copy of this request still runs"),
                out);
    }
}

std::optional<steady_time> node::nextWake() const
{
    const auto engine = m_engine.nextWake();
    const auto attached = m_attached.nextDeadline();
    if (!engine || !attached)
        return engine ? engine : attached;
    return std::min(*engine, *attached);
}

void node::tickAtMostOnce(std::vector<peer_message> &out)
{
    m_atMostOnce.tick(out);
}

void node::onAtMostOnceMessage(const vm_id &from, std::string_view bytes,
                               std::vector<peer_message> &out)
{
    m_atMostOnce.onPeerMessage(from, bytes, out);
}

bool node::idle() const
{
    return m_openRequests.empty();
}

request_id node::nextId()
{
    ++m_sequence;
    return request_id{m_settings.vm.value + "-" + hexadecimal(m_settings.incarnation) + "-"
                      + std::to_string(m_sequence)};
}

void node::handleActions(engine_actions &actions, node_actions &out)
{
    for (auto &action : actions) {
        std::visit(overloaded{
                       [&](deliver_answer &end) { finish(std::move(end.answer), out); },
                       [&](log_decision &line) {
                           m_traces.addDecision(line);
                           out.emplace_back(std::move(line));
                       },
                       [&](auto &other) { out.emplace_back(std::move(other)); },
                   },
                   action);
    }
}

/// Ends a request that the engine ran, and the attached copies of it.
void node::finish(final_answer answer, node_actions &out)
{
    const auto active = m_running.find(answer.request);
    if (active == m_running.end())
        return;
    const running_request ended = active->second;
    m_running.erase(active);
    m_heldBytes -= ended.bytes;
    if (ended.record) {
        m_atMostOnce.onFinished(*ended.record, answer);
        for (const auto &attached : m_attached.take(*ended.record))
            deliver(attached, answer, out);
    }
    end(std::move(answer), out);
}

/// Ends a request that isn't running in the engine.
void node::deliver(const request_id &id, final_answer answer, node_actions &out)
{
    answer.request = id;
    if (answer.outcome != outcome::Answered) {
        log_decision line = refusalDecision(id, answer);
        if (const auto openRequest = m_openRequests.find(id); openRequest != m_openRequests.end())
            line.customer = openRequest->second.customer;
        m_traces.addDecision(line);
        out.emplace_back(std::move(line));
    }
    end(std::move(answer), out);
}

void node::end(final_answer answer, node_actions &out)
{
    const auto openRequest = m_openRequests.extract(answer.request);
    if (openRequest.empty())
        return;
    m_traces.end(answer);
    const open_request &request = openRequest.mapped();
    const auto elapsed = m_clock.now() - request.started;
    out.emplace_back(end_request{std::move(answer), request.customer, request.pipeline,
                                 std::chrono::duration_cast<milliseconds>(elapsed)});
}

} // namespace orchidlead
