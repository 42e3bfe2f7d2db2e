#pragma once

// Definitions of engine_state: whether a request is taken, and how it ends.

#include "core/requests/engine_constants.h"
#include "core/requests/engine_state.h"

#include <xxhash.h>

#include <algorithm>

namespace orchidlead {

// Callers that were refused together must not come back together.
template <class Policies>
milliseconds engine_state<Policies>::spread(milliseconds wait)
{
    using namespace engine_constants;
    const double factor = 0.75 + 0.5 * m_random.unit();
    const auto spreadWait =
        milliseconds{static_cast<std::int64_t>(static_cast<double>(wait.count()) * factor)};
    return std::clamp(spreadWait, ShortestRetryAfter, LongestRetryAfter);
}

template <class Policies>
void engine_state<Policies>::submit(pipeline_request request, engine_actions &out)
{
    if (m_serials.count(request.id) > 0) {
        dropAnswer({request.id, 0, 0}, "request id already in use", out);
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
    const std::size_t prefix = std::min(state.request.input->size(), engine_constants::PrefixBytes);
    state.prefixHash = XXH64(state.request.input->data(), prefix, 0);
    state.stages.resize(state.plan().stages.size());
    for (std::size_t stage = 0; stage < state.stages.size(); ++stage)
        state.stages[stage].report.stage = state.plan().stages[stage].id;
    m_ledger.submitted(state.plan().customer);
    if (const auto why = refuse(state)) {
        refuseNow(state, *why, out);
        return;
    }
    state.serial = ++m_lastSerial;
    m_serials[state.request.id] = state.serial;
    m_requests[state.serial] = std::move(owned);
    ++m_openOf[state.plan().customer];
    log(decision_kind::Admit, state, 0, 0, state.exploring ? "exploring" : "in time", out);
    addTimer(timer_kind::Deadline, state.request.deadline, state);
    for (std::uint32_t stage = 0; stage < state.stages.size(); ++stage)
        poolOf(state, stage)->expect(state.plan().customer);
    startReady(state, out);
    settle(out);
}

template <class Policies>
auto engine_state<Policies>::refuse(request_state &state) -> std::optional<refusal>
{
    if (m_draining)
        return refusal{refusal_reason::Stopping, "this node is stopping",
                       engine_constants::ShortestRetryAfter};
    if (m_pools.empty())
        return refusal{refusal_reason::NoConfiguration, "no services are known yet",
                       engine_constants::ShortestRetryAfter};
    if (m_requests.size() >= m_settings.maxOpenRequests)
        return refusal{refusal_reason::Overloaded, "too many open requests",
                       spread(milliseconds{1000})};
    const std::uint32_t limit = state.plan().limits.maxOpenRequests;
    const auto open = m_openOf.find(state.plan().customer);
    if (limit > 0 && open != m_openOf.end() && open->second >= limit)
        return refusal{refusal_reason::Overloaded, "too many open requests of this customer",
                       spread(milliseconds{1000})};
    if (sendDeadline(state) <= state.submitted)
        return refusal{refusal_reason::DeadlineTooShort, "no time left", std::nullopt};
    // Time goes first: a probe of a broken pool is counted where it is granted.
    if (auto why = refuseByTime(state))
        return why;
    return refuseByPools(state);
}

template <class Policies>
auto engine_state<Policies>::refuseByPools(request_state &state) -> std::optional<refusal>
{
    for (std::uint32_t stage = 0; stage < state.stages.size(); ++stage) {
        pool_type *pool = poolOf(state, stage);
        const service_id &service = state.plan().stages[stage].service;
        if (pool == nullptr || pool->usable() == 0) {
            return refusal{refusal_reason::NoBackendServer, "no backend server of " + service.value,
                           spread(milliseconds{1000})};
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
                           spread(pool.breaker.retryAfter(state.submitted))};
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
        // What waits before a later stage has moved on by the time the request gets there; the
        // longest of the queues, not their sum, is what stands in its way.
        const std::size_t ahead = pool->ahead(lane, state.plan().customer);
        longest = std::max(longest, pool->queueWait(lane, ahead));
    }
    return longest;
}

template <class Policies>
bool engine_state<Policies>::isUnderShare(const customer_id &customer) const
{
    const auto open = m_openOf.find(customer);
    return open == m_openOf.end() || open->second * m_openOf.size() <= m_requests.size();
}

template <class Policies>
void engine_state<Policies>::countClosed(const customer_id &customer)
{
    const auto open = m_openOf.find(customer);
    if (open != m_openOf.end() && --open->second == 0)
        m_openOf.erase(open);
}

template <class Policies>
auto engine_state<Policies>::refuseByTime(request_state &state) -> std::optional<refusal>
{
    using std::chrono::duration_cast;
    using admission = typename Policies::admission;
    const bool underShare = isUnderShare(state.plan().customer);
    const double quantile = underShare ? admission::UnderShareQuantile : admission::AdmitQuantile;
    const auto times = m_estimates.timesToEnd(state.plan(), state.sizeClass, quantile);
    admission_view view;
    view.remaining = duration_cast<duration>(sendDeadline(state) - state.submitted);
    view.likely = *std::max_element(times.begin(), times.end());
    view.queueWait = longestQueueWait(state);
    view.underShare = underShare;
    if (m_admission.admits(view))
        return std::nullopt;
    const bool withoutQueue =
        m_admission.admits({view.remaining, view.likely, duration{0}, underShare});
    if (withoutQueue) {
        if (pool_type *pool = poolOf(state, 0))
            ++pool->refused;
        return refusal{refusal_reason::Overloaded, "the queue is too long for the deadline",
                       spread(duration_cast<milliseconds>(view.queueWait))};
    }
    // Estimates that refuse everything would never be corrected.
    if (++m_lateRefusals % engine_constants::ExploreEvery == 0) {
        state.exploring = true;
        return std::nullopt;
    }
    return refusal{refusal_reason::DeadlineTooShort, "the stages usually take longer",
                   std::nullopt};
}

template <class Policies>
void engine_state<Policies>::refuseNow(const request_state &state, const refusal &why,
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
    finish(state, provenOutcome(state, late), why, out);
}

template <class Policies>
void engine_state<Policies>::finish(request_state &state, outcome result, const refusal &why,
                                    engine_actions &out)
{
    // What is given up at the deadline tells that its server is slow; a cancelled call doesn't.
    const bool late = m_clock.now() >= state.request.deadline;
    for (std::uint32_t index = 0; index < state.stages.size(); ++index) {
        stage_state &stage = state.stages[index];
        pool_type *pool = poolOf(state, index);
        if (stage.status == stage_status::Queued && pool != nullptr)
            pool->queue.remove(stage.place);
        if (stage.expected && pool != nullptr)
            pool->unexpect(state.plan().customer);
        for (attempt_state &attempt : stage.attempts) {
            if (attempt.live)
                release(state, index, attempt, late, "request ended", out);
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
    answer.stages = reports(state);
    if (result == outcome::Answered)
        answer.output = state.stages.back().output;
    const bool attained = result == outcome::Answered && m_clock.now() <= state.request.deadline;
    m_ledger.ended(state.plan().customer, result, attained);
    out.emplace_back(deliver_answer{std::move(answer)});
    countClosed(state.plan().customer);
    m_serials.erase(state.request.id);
    m_requests.erase(state.serial);
}

template <class Policies>
std::vector<stage_report> engine_state<Policies>::reports(const request_state &state) const
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
    settle(out);
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
