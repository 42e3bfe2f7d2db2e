#pragma once

// Definitions of engine_state: pools, queues, timers and the sequence of stages.

#include "core/requests/engine_constants.h"
#include "core/requests/engine_state.h"

#include <algorithm>

namespace orchidlead {

template <class Policies>
void engine_state<Policies>::setServices(const std::vector<service> &services, engine_actions &out)
{
    const steady_time now = m_clock.now();
    std::map<service_id, const service *> published;
    for (const service &entry : services)
        published[entry.id] = &entry;
    for (const auto &[id, entry] : published) {
        auto &pool = m_pools[id];
        if (!pool) {
            pool = std::make_unique<pool_type>(id, m_settings.dataCenter, m_settings.routing,
                                               m_settings.detection);
        }
        pool->setMembers(entry->servers, m_listedLeaving, now);
    }
    for (auto &[id, pool] : m_pools) {
        if (published.count(id) == 0)
            pool->setMembers({}, m_listedLeaving, now);
        markChanged(*pool);
    }
    dispatchChangedPools(out);
    std::erase_if(m_pools, [&published](const auto &entry) {
        const bool removed = published.count(entry.first) == 0;
        return removed && entry.second->inFlight() == 0 && entry.second->queue.empty();
    });
}

template <class Policies>
void engine_state<Policies>::setListedLeaving(const std::vector<backend_server_id> &servers,
                                              engine_actions &out)
{
    m_listedLeaving = {servers.begin(), servers.end()};
    for (auto &[id, pool] : m_pools) {
        pool->setListedLeaving(m_listedLeaving, m_clock.now());
        markChanged(*pool);
    }
    dispatchChangedPools(out);
}

template <class Policies>
void engine_state<Policies>::onLoadReport(const load_report &report, engine_actions &out)
{
    for (auto &[id, pool] : m_pools) {
        pool->onReport(report, m_clock.now());
        markChanged(*pool);
    }
    dispatchChangedPools(out);
}

template <class Policies>
auto engine_state<Policies>::poolOf(const request_state &state, std::uint32_t stage) -> pool_type *
{
    const auto pool = m_pools.find(state.plan().stages[stage].service);
    return pool == m_pools.end() ? nullptr : pool->second.get();
}

template <class Policies>
request_state *engine_state<Policies>::findRequest(std::uint64_t serial)
{
    const auto request = m_requests.find(serial);
    return request == m_requests.end() ? nullptr : request->second.get();
}

template <class Policies>
bool engine_state<Policies>::inputsDone(const request_state &state, std::uint32_t stage) const
{
    const auto &inputs = state.plan().stages[stage].inputs;
    return std::all_of(inputs.begin(), inputs.end(), [&state](std::uint32_t input) {
        return state.stages[input].status == stage_status::Done;
    });
}

template <class Policies>
void engine_state<Policies>::enqueueReadyStages(request_state &state, engine_actions &out)
{
    for (std::uint32_t stage = 0; stage < state.stages.size(); ++stage) {
        if (state.stages[stage].status != stage_status::Waiting || !inputsDone(state, stage))
            continue;
        state.stages[stage].readySince = m_clock.now();
        if (!enqueue(state, stage, out))
            return;
    }
}

// Returns false if the request has ended instead.
template <class Policies>
bool engine_state<Policies>::enqueue(request_state &state, std::uint32_t index, engine_actions &out)
{
    stage_state &stage = state.stages[index];
    pool_type *pool = poolOf(state, index);
    if (stage.countedAsExpected && pool != nullptr)
        pool->removeExpected(state.plan().customer);
    stage.countedAsExpected = false;
    if (pool == nullptr || pool->usable() == 0) {
        finishUnanswered(state,
                         {refusal_reason::NoBackendServer, "no backend server is left",
                          addJitter(milliseconds{1000})},
                         out);
        return false;
    }
    const steady_time now = m_clock.now();
    const bool needsProbe = pool->breaker.isOpen() && !state.probing;
    if (needsProbe && !pool->breaker.tryProbe(now)) {
        finishUnanswered(state,
                         {refusal_reason::NoBackendServer, "all backend servers fail",
                          addJitter(pool->breaker.retryAfter(now))},
                         out);
        return false;
    }
    const bool inProgress = hasStarted(state);
    if (!inProgress && !makeQueueSpace(*pool, state, out)) {
        ++pool->refused;
        const auto lane = static_cast<std::uint32_t>(state.plan().priority);
        const duration wait = pool->queueWait(lane, pool->queue.size());
        finishUnanswered(state,
                         {refusal_reason::Overloaded, "the queue is full",
                          addJitter(std::chrono::duration_cast<milliseconds>(wait))},
                         out);
        return false;
    }
    queue_position position;
    position.lane = static_cast<std::uint32_t>(state.plan().priority);
    position.inProgress = inProgress;
    position.customer = state.plan().customer;
    position.latestStart = latestStart(state, index, inProgress);
    const double cost = 1.0 / std::max<std::uint32_t>(1, state.plan().weight);
    stage.position = pool->queue.push({state.serial, index}, position, cost);
    stage.status = stage_status::Queued;
    addTimer(timer_kind::LatestStart, position.latestStart, state, index);
    markChanged(*pool);
    return true;
}

template <class Policies>
bool engine_state<Policies>::makeQueueSpace(pool_type &pool, const request_state &state,
                                            engine_actions &out)
{
    if (pool.queue.size() < m_settings.maxQueuePerService)
        return true;
    const auto lane = static_cast<std::uint32_t>(state.plan().priority);
    const auto evicted = pool.queue.evictFor(lane, state.plan().customer);
    if (!evicted)
        return false;
    request_state *evictedRequest = findRequest(evicted->request);
    if (evictedRequest == nullptr)
        return true;
    evictedRequest->stages[evicted->stage].status = stage_status::Waiting;
    ++pool.refused;
    finishUnanswered(*evictedRequest,
                     {refusal_reason::Overloaded, "made room for others in a full queue",
                      addJitter(milliseconds{1000})},
                     out);
    return true;
}

template <class Policies>
steady_time engine_state<Policies>::latestStart(const request_state &state, std::uint32_t stage,
                                                bool inProgress) const
{
    const double quantile =
        inProgress ? Policies::admission::InProgressQuantile : Policies::admission::NewWorkQuantile;
    const auto times = m_estimates.remainingTimes(state.plan(), state.sizeClass, quantile);
    const duration estimatedTime = state.exploring ? duration{0} : times[stage];
    return sendDeadline(state) - estimatedTime;
}

// Requests may end during dispatch, which frees capacity in other pools.
template <class Policies>
void engine_state<Policies>::dispatchChangedPools(engine_actions &out)
{
    while (!m_changedPools.empty()) {
        pool_type *pool = m_changedPools.back();
        m_changedPools.pop_back();
        dispatchQueued(*pool, out);
    }
}

template <class Policies>
void engine_state<Policies>::dispatchQueued(pool_type &pool, engine_actions &out)
{
    if (pool.usable() == 0 && !pool.queue.empty()) {
        rejectQueued(pool, out);
        return;
    }
    while (pool.hasAvailable()) {
        const auto item = pool.queue.pop();
        if (!item)
            return;
        startQueued(pool, *item, out);
    }
}

template <class Policies>
void engine_state<Policies>::startQueued(pool_type &pool, const queued_stage &item,
                                         engine_actions &out)
{
    request_state *state = findRequest(item.request);
    if (state == nullptr)
        return;
    const steady_time now = m_clock.now();
    stage_state &stage = state->stages[item.stage];
    // The estimate may have increased since the stage was queued.
    const auto estimatedTime =
        sendDeadline(*state) - latestStart(*state, item.stage, stage.position.inProgress);
    admission_view view;
    view.remaining = std::chrono::duration_cast<duration>(sendDeadline(*state) - now);
    view.estimatedTime = std::chrono::duration_cast<duration>(estimatedTime);
    if (view.remaining.count() <= 0 || !m_admission.worthStarting(view)) {
        shedQueued(*state, item.stage, out);
        return;
    }
    auto choice = route(pool, *state, item.stage, true);
    if (!choice)
        choice = route(pool, *state, item.stage, false);
    if (!choice)
        return;
    const auto waited = std::chrono::duration<double, std::milli>(now - stage.readySince).count();
    pool.onStarted(stage.position.lane, now);
    pool.smoothedQueueWait += (waited - pool.smoothedQueueWait) * pool_constants::QueueWaitWeight;
    dispatch(pool, *state, item.stage, *choice, false, out);
}

template <class Policies>
void engine_state<Policies>::shedQueued(request_state &state, std::uint32_t stage,
                                        engine_actions &out)
{
    std::optional<milliseconds> retryAfter;
    if (pool_type *pool = poolOf(state, stage)) {
        ++pool->refused;
        const auto lane = static_cast<std::uint32_t>(state.plan().priority);
        const duration wait = pool->queueWait(lane, pool->queue.size());
        retryAfter = addJitter(std::chrono::duration_cast<milliseconds>(wait));
    }
    finishUnanswered(
        state, {refusal_reason::Overloaded, "waited too long to be on time", retryAfter}, out);
}

template <class Policies>
void engine_state<Policies>::rejectQueued(pool_type &pool, engine_actions &out)
{
    while (const auto item = pool.queue.pop()) {
        request_state *state = findRequest(item->request);
        if (state == nullptr)
            continue;
        ++pool.refused;
        finishUnanswered(*state,
                         {refusal_reason::NoBackendServer, "all backend servers fail or leave",
                          addJitter(milliseconds{1000})},
                         out);
    }
}

template <class Policies>
void engine_state<Policies>::addTimer(timer_kind kind, steady_time at, const request_state &state,
                                      std::uint32_t stage, std::uint32_t attempt)
{
    m_timers.add({at, 0, kind, state.serial, stage, attempt});
}

template <class Policies>
std::optional<steady_time> engine_state<Policies>::nextWake() const
{
    std::optional<steady_time> next = m_timers.next();
    for (const auto &[id, pool] : m_pools) {
        const auto wake = pool->nextWake();
        if (wake && (!next || *wake < *next))
            next = wake;
    }
    return next;
}

template <class Policies>
void engine_state<Policies>::tick(engine_actions &out)
{
    const steady_time now = m_clock.now();
    for (auto &[id, pool] : m_pools) {
        if (pool->nextWake() && *pool->nextWake() <= now) {
            pool->onWake(now);
            markChanged(*pool);
        }
    }
    while (const auto timer = m_timers.popDue(now))
        onTimer(*timer, out);
    dispatchChangedPools(out);
}

template <class Policies>
void engine_state<Policies>::onTimer(const engine_timer &timer, engine_actions &out)
{
    request_state *state = findRequest(timer.request);
    if (state == nullptr)
        return;
    stage_state &stage = state->stages[timer.stage];
    attempt_state *attempt = liveAttempt(stage, timer.attempt);
    switch (timer.kind) {
    case timer_kind::Deadline:
        finishUnanswered(*state, {refusal_reason::DeadlinePassed, "the deadline passed", {}}, out);
        return;
    case timer_kind::LatestStart:
        if (stage.status == stage_status::Queued && stage.position.latestStart <= m_clock.now())
            shedQueued(*state, timer.stage, out);
        return;
    case timer_kind::AttemptTimeout:
        if (attempt != nullptr) {
            out.emplace_back(
                cancel_attempt{{state->request.id, timer.stage, timer.attempt}, attempt->server});
            fail(*state, timer.stage, *attempt, attempt_failure::TimedOut, {}, out);
        }
        return;
    case timer_kind::Hedge:
        if (attempt != nullptr)
            tryHedge(*state, timer.stage, "attempt is late and has little slack", out);
        return;
    case timer_kind::Retry:
        if (stage.status == stage_status::BackingOff)
            (void)enqueue(*state, timer.stage, out);
        return;
    case timer_kind::Silence:
        if (attempt != nullptr)
            onSilence(*state, timer.stage, *attempt, out);
        return;
    }
}

} // namespace orchidlead
