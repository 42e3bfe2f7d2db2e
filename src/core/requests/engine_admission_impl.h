#pragma once

// Definitions of engine_state: admission and final answers.

#include "core/requests/engine_constants.h"
#include "core/requests/engine_state.h"

#include <xxhash.h>

#include <algorithm>

namespace orchidlead {

// Keeps callers that were refused at the same time from retrying at the same time.
template <class Policies>
milliseconds engine_state<Policies>::addJitter(milliseconds wait)
{
    using namespace engine_constants;
    const double factor = 0.75 + 0.5 * m_random.unit();
    const auto jittered =
        milliseconds{static_cast<std::int64_t>(static_cast<double>(wait.count()) * factor)};
    return std::clamp(jittered, MinRetryAfter, MaxRetryAfter);
}

template <class Policies>
void engine_state<Policies>::submit(pipeline_request request, engine_actions &out)
{
    if (m_serials.count(request.id) > 0) {
        discardEvent({request.id, 0, 0}, "request id already in use", out);
        return;
    }
    auto owned = std::make_unique<request_state>();
    request_state &state = *owned;
    state.request = std::move(request);
    state.submitted = m_clock.now();
    if (!state.request.plan || state.plan().stages.empty() || !state.request.input) {
        final_answer answer;
        answer.request = state.request.id;
        answer.reason = refusal_reason::InvalidRequest;
        answer.detail = "no plan, stages or input";
        out.emplace_back(deliver_answer{std::move(answer)});
        return;
    }
    state.sizeClass = inputSizeClass(state.request.input->size());
    const std::size_t prefix =
        std::min(state.request.input->size(), engine_constants::HashedPrefixBytes);
    state.prefixHash = XXH64(state.request.input->data(), prefix, 0);
    state.stages.resize(state.plan().stages.size());
    for (std::size_t stage = 0; stage < state.stages.size(); ++stage)
        state.stages[stage].report.stage = state.plan().stages[stage].id;
    m_ledger.submitted(state.plan().customer);
    if (const auto why = checkAdmission(state)) {
        deliverRefusal(state, *why, out);
        return;
    }
    state.serial = ++m_lastSerial;
    m_serials[state.request.id] = state.serial;
    m_requests[state.serial] = std::move(owned);
    ++m_openRequestsOf[state.plan().customer];
    log(decision_kind::Admit, state, 0, 0, state.exploring ? "exploring" : "in time", out);
    addTimer(timer_kind::Deadline, state.request.deadline, state);
    for (std::uint32_t stage = 0; stage < state.stages.size(); ++stage)
        poolOf(state, stage)->addExpected(state.plan().customer);
    enqueueReadyStages(state, out);
    dispatchChangedPools(out);
}

template <class Policies>
auto engine_state<Policies>::checkAdmission(request_state &state) -> std::optional<refusal>
{
    if (m_draining)
        return refusal{refusal_reason::Stopping, "this node is stopping",
                       engine_constants::MinRetryAfter};
    if (m_pools.empty())
        return refusal{refusal_reason::NoConfiguration, "no services are known yet",
                       engine_constants::MinRetryAfter};
    if (m_requests.size() >= m_settings.maxOpenRequests)
        return refusal{refusal_reason::Overloaded, "too many open requests",
                       addJitter(milliseconds{1000})};
    const std::uint32_t limit = state.plan().limits.maxOpenRequests;
    const auto open = m_openRequestsOf.find(state.plan().customer);
    if (limit > 0 && open != m_openRequestsOf.end() && open->second >= limit)
        return refusal{refusal_reason::Overloaded, "too many open requests of this customer",
                       addJitter(milliseconds{1000})};
    if (sendDeadline(state) <= state.submitted)
        return refusal{refusal_reason::DeadlineTooShort, "no time left", std::nullopt};
    // The deadline is checked first, since `checkPools` may use up a probe of a circuit breaker.
    if (auto why = checkDeadline(state))
        return why;
    return checkPools(state);
}

template <class Policies>
auto engine_state<Policies>::checkPools(request_state &state) -> std::optional<refusal>
{
    for (std::uint32_t stage = 0; stage < state.stages.size(); ++stage) {
        pool_type *pool = poolOf(state, stage);
        const service_id &service = state.plan().stages[stage].service;
        if (pool == nullptr || pool->usable() == 0) {
            return refusal{refusal_reason::NoBackendServer, "no backend server of " + service.value,
                           addJitter(milliseconds{1000})};
        }
    }
    for (std::uint32_t stage = 0; stage < state.stages.size(); ++stage) {
        pool_type &pool = *poolOf(state, stage);
        if (!pool.breaker.isOpen())
            continue;
        if (!state.probing && !pool.breaker.tryProbe(state.submitted)) {
            ++pool.refused;
            return refusal{refusal_reason::NoBackendServer,
                           "all backend servers of " + pool.id().value + " fail",
                           addJitter(pool.breaker.retryAfter(state.submitted))};
        }
        state.probing = true;
    }
    return std::nullopt;
}

template <class Policies>
auto engine_state<Policies>::longestQueueWait(const request_state &state) -> duration
{
    duration longest{0};
    const auto lane = static_cast<std::uint32_t>(state.plan().priority);
    for (std::uint32_t stage = 0; stage < state.stages.size(); ++stage) {
        pool_type *pool = poolOf(state, stage);
        if (pool == nullptr)
            continue;
        // The queues of later stages advance while the request is in earlier ones, so the wait is
        // that of the longest queue, not the sum.
        const std::size_t ahead = pool->ahead(lane, state.plan().customer);
        longest = std::max(longest, pool->queueWait(lane, ahead));
    }
    return longest;
}

template <class Policies>
bool engine_state<Policies>::isUnderShare(const customer_id &customer) const
{
    const auto open = m_openRequestsOf.find(customer);
    return open == m_openRequestsOf.end()
        || open->second * m_openRequestsOf.size() <= m_requests.size();
}

template <class Policies>
void engine_state<Policies>::onRequestClosed(const customer_id &customer)
{
    const auto open = m_openRequestsOf.find(customer);
    if (open != m_openRequestsOf.end() && --open->second == 0)
        m_openRequestsOf.erase(open);
}

template <class Policies>
auto engine_state<Policies>::checkDeadline(request_state &state) -> std::optional<refusal>
{
    using std::chrono::duration_cast;
    using admission = typename Policies::admission;
    const bool underShare = isUnderShare(state.plan().customer);
    const double quantile = underShare ? admission::UnderShareQuantile : admission::AdmitQuantile;
    const auto times = m_estimates.remainingTimes(state.plan(), state.sizeClass, quantile);
    admission_view view;
    view.remaining = duration_cast<duration>(sendDeadline(state) - state.submitted);
    view.estimatedTime = *std::max_element(times.begin(), times.end());
    view.queueWait = longestQueueWait(state);
    view.underShare = underShare;
    if (m_admission.admits(view))
        return std::nullopt;
    const bool withoutQueue =
        m_admission.admits({view.remaining, view.estimatedTime, duration{0}, underShare});
    if (withoutQueue) {
        if (pool_type *pool = poolOf(state, 0))
            ++pool->refused;
        return refusal{refusal_reason::Overloaded, "the queue is too long for the deadline",
                       addJitter(duration_cast<milliseconds>(view.queueWait))};
    }
    // If all requests were refused, the estimates would never be updated.
    if (++m_deadlineRefusals % engine_constants::ExplorationInterval == 0) {
        state.exploring = true;
        return std::nullopt;
    }
    return refusal{refusal_reason::DeadlineTooShort, "the stages usually take longer",
                   std::nullopt};
}

template <class Policies>
void engine_state<Policies>::deliverRefusal(const request_state &state, const refusal &why,
                                            engine_actions &out)
{
    log(decision_kind::Refuse, state, 0, 0, why.detail, out);
    m_ledger.ended(state.plan().customer, outcome::NotRun, false);
    final_answer answer;
    answer.request = state.request.id;
    answer.outcome = outcome::NotRun;
    answer.reason = why.reason;
    answer.detail = why.detail;
    answer.retryAfter = why.retryAfter;
    out.emplace_back(deliver_answer{std::move(answer)});
}

template <class Policies>
void engine_state<Policies>::finishUnanswered(request_state &state, const refusal &why,
                                              engine_actions &out)
{
    const bool late = m_clock.now() >= state.request.deadline;
    finish(state, outcomeWithoutAnswer(state, late), why, out);
}

template <class Policies>
void engine_state<Policies>::finish(request_state &state, outcome result, const refusal &why,
                                    engine_actions &out)
{
    // An attempt abandoned at the deadline shows that its server is slow; a cancelled one does not.
    const bool late = m_clock.now() >= state.request.deadline;
    for (std::uint32_t index = 0; index < state.stages.size(); ++index) {
        stage_state &stage = state.stages[index];
        pool_type *pool = poolOf(state, index);
        if (stage.status == stage_status::Queued && pool != nullptr)
            pool->queue.remove(stage.position);
        if (stage.countedAsExpected && pool != nullptr)
            pool->removeExpected(state.plan().customer);
        for (attempt_state &attempt : stage.attempts) {
            if (attempt.live)
                abandon(state, index, attempt, late, "request ended", out);
        }
    }
    if (result != outcome::Answered)
        log(decision_kind::Refuse, state, 0, 0, why.detail, out);
    final_answer answer;
    answer.request = state.request.id;
    answer.outcome = result;
    answer.reason = why.reason;
    answer.detail = why.detail;
    answer.retryAfter = why.retryAfter;
    answer.stages = stageReports(state);
    if (result == outcome::Answered)
        answer.output = state.stages.back().output;
    const bool attained = result == outcome::Answered && m_clock.now() <= state.request.deadline;
    m_ledger.ended(state.plan().customer, result, attained);
    out.emplace_back(deliver_answer{std::move(answer)});
    onRequestClosed(state.plan().customer);
    m_serials.erase(state.request.id);
    m_requests.erase(state.serial);
}

template <class Policies>
std::vector<stage_report> engine_state<Policies>::stageReports(const request_state &state) const
{
    std::vector<stage_report> views;
    views.reserve(state.stages.size());
    for (const stage_state &stage : state.stages)
        views.push_back(stage.report);
    return views;
}

template <class Policies>
void engine_state<Policies>::cancel(const request_id &request, engine_actions &out)
{
    const auto serial = m_serials.find(request);
    if (serial == m_serials.end())
        return;
    request_state &state = *m_requests[serial->second];
    log(decision_kind::Cancel, state, 0, 0, "the caller went away", out);
    finishUnanswered(state, {refusal_reason::Cancelled, "cancelled by the caller", {}}, out);
    dispatchChangedPools(out);
}

template <class Policies>
void engine_state<Policies>::log(decision_kind kind, const request_state &state,
                                 std::uint32_t stage, std::uint32_t attempt, std::string reason,
                                 engine_actions &out, const backend_server_id &chosen)
{
    log_decision line;
    line.kind = kind;
    line.key = {state.request.id, stage, attempt};
    line.customer = state.plan().customer;
    line.stage = state.plan().stages[stage].id;
    line.chosen = chosen;
    line.reason = std::move(reason);
    line.remaining =
        std::chrono::duration_cast<milliseconds>(state.request.deadline - m_clock.now());
    out.emplace_back(std::move(line));
}

template <class Policies>
engine_stats engine_state<Policies>::stats() const
{
    engine_stats view;
    view.outcomes = m_ledger.total();
    view.open = m_requests.size();
    view.droppedAnswers = m_droppedAnswers;
    view.stages = m_ledger.stages();
    view.customers = m_ledger.customers();
    for (const auto &[id, pool] : m_pools) {
        view.services.push_back(pool->stats());
        pool->appendServerStats(view.servers);
    }
    return view;
}

} // namespace orchidlead
