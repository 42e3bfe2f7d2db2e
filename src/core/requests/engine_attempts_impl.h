#pragma once

// Definitions of engine_state: attempts, their results, retries and hedges.

#include "core/requests/engine_constants.h"
#include "core/requests/engine_state.h"

#include <algorithm>

namespace orchidlead {

template <class Policies>
std::optional<routing_choice> engine_state<Policies>::route(pool_type &pool,
                                                            const request_state &state,
                                                            std::uint32_t index, bool onlyUntried)
{
    const stage_plan &plan = state.plan().stages[index];
    std::vector<std::uint32_t> tried;
    for (const attempt_state &attempt : state.stages[index].attempts) {
        if (onlyUntried || attempt.live)
            tried.push_back(attempt.slot);
    }
    routing_request request;
    request.prefixHash = plan.kind == service_kind::Engine ? state.prefixHash : 0;
    request.avoid = tried;
    request.avoidProbing = onlyUntried && !plan.repeatable;
    request.now = m_clock.now();
    return pool.pick(request, m_random);
}

template <class Policies>
void engine_state<Policies>::dispatch(pool_type &pool, request_state &state, std::uint32_t index,
                                      const routing_choice &choice, bool hedge, engine_actions &out)
{
    const steady_time now = m_clock.now();
    stage_state &stage = state.stages[index];
    countDispatch(pool, stage, hedge);
    attempt_state attempt;
    attempt.number = static_cast<std::uint32_t>(stage.attempts.size()) + 1;
    attempt.slot = choice.slot;
    attempt.server = pool.server(choice.slot).id;
    attempt.started = now;
    attempt.medianTime = m_estimates.quantile(state.plan(), index, state.sizeClass, 0.5);
    attempt.hedge = hedge;
    if (stage.attempts.empty())
        stage.report.queued = std::chrono::duration_cast<milliseconds>(now - stage.readySince);
    stage.status = stage_status::Running;
    stage.report.attempts = attempt.number;
    stage.report.server = attempt.server;
    stage.attempts.push_back(attempt);
    pool.onDispatched(choice.slot, now);
    log(hedge ? decision_kind::Hedge : decision_kind::Route, state, index, attempt.number,
        std::string(choice.reason), out, attempt.server);
    auto &line = std::get<log_decision>(out.back());
    for (std::uint32_t candidate = 0; candidate < choice.candidateCount; ++candidate)
        line.candidates.push_back(pool.server(choice.candidates[candidate]).id);
    addAttemptTimers(pool, state, index, attempt);
    out.emplace_back(makeSendAction(pool, state, index, attempt));
}

template <class Policies>
void engine_state<Policies>::countDispatch(pool_type &pool, stage_state &stage, bool hedge)
{
    if (hedge) {
        ++pool.hedges;
        ++stage.report.hedges;
    } else if (stage.attempts.empty()) {
        ++pool.firstTries;
        pool.budget.onFirstAttempt();
    } else {
        ++pool.retries;
    }
}

template <class Policies>
send_attempt engine_state<Policies>::makeSendAction(pool_type &pool, const request_state &state,
                                                    std::uint32_t index,
                                                    const attempt_state &attempt) const
{
    const stage_plan &plan = state.plan().stages[index];
    send_attempt action;
    action.key = {state.request.id, index, attempt.number};
    action.stage = plan;
    action.customer = state.plan().customer;
    // With a significant wait in this node's queue, its order is the fair one. Sorting by priority
    // again at the server would undo that order and starve low priorities.
    const bool ordered = pool.smoothedQueueWait > engine_constants::SignificantQueueWaitMs;
    action.priority = ordered ? priority::High : state.plan().priority;
    action.server = attempt.server;
    action.address = pool.server(attempt.slot).address;
    action.input = state.request.input;
    for (const std::uint32_t input : plan.inputs)
        action.previous.push_back({state.plan().stages[input].id, state.stages[input].output});
    action.deadline = sendDeadline(state);
    if (plan.timeout.count() > 0)
        action.deadline = std::min(action.deadline, attempt.started + plan.timeout);
    const bool isLast = index + 1 == state.stages.size();
    action.stream = state.request.stream && isLast && plan.kind == service_kind::Engine;
    return action;
}

template <class Policies>
void engine_state<Policies>::addAttemptTimers(pool_type &pool, const request_state &state,
                                              std::uint32_t index, const attempt_state &attempt)
{
    using std::chrono::duration_cast;
    const steady_time now = attempt.started;
    const steady_time end = sendDeadline(state);
    const stage_plan &plan = state.plan().stages[index];
    if (plan.timeout.count() > 0 && now + plan.timeout < end)
        addTimer(timer_kind::AttemptTimeout, now + plan.timeout, state, index, attempt.number);

    const auto medianToEnd = m_estimates.remainingTimes(state.plan(), state.sizeClass, 0.5);
    const duration later = medianToEnd[index] - attempt.medianTime;
    const duration slack = duration_cast<duration>(end - now) - later;
    const auto quantile = [&](double share) {
        return m_estimates.quantile(state.plan(), index, state.sizeClass, share);
    };
    suspicion_input silence{attempt.medianTime, quantile(0.99), slack, pool.suspectedShare()};
    const steady_time silent = now + m_silence.suspicionTimeout(silence);
    if (silent < end)
        addTimer(timer_kind::Silence, silent, state, index, attempt.number);
    if (attempt.hedge || !Policies::repeats::mayHedge(plan))
        return;
    const auto hedge = m_hedging.hedgeDelay({attempt.medianTime, quantile(0.95), slack});
    if (hedge && now + *hedge < end)
        addTimer(timer_kind::Hedge, now + *hedge, state, index, attempt.number);
}

template <class Policies>
auto engine_state<Policies>::find(const attempt_key &key) -> live_attempt
{
    const auto serial = m_serials.find(key.request);
    if (serial == m_serials.end())
        return {};
    request_state &state = *m_requests[serial->second];
    if (key.stage >= state.stages.size())
        return {};
    attempt_state *attempt = liveAttempt(state.stages[key.stage], key.attempt);
    if (attempt == nullptr)
        return {};
    return {&state, key.stage, attempt};
}

template <class Policies>
void engine_state<Policies>::onSent(const attempt_key &key)
{
    const live_attempt found = find(key);
    if (found.attempt != nullptr)
        found.attempt->sent = true;
}

template <class Policies>
void engine_state<Policies>::discardEvent(const attempt_key &key, std::string_view why,
                                          engine_actions &out)
{
    ++m_droppedAnswers;
    log_decision line;
    line.kind = decision_kind::Drop;
    line.key = key;
    line.reason = std::string(why);
    out.emplace_back(std::move(line));
}

template <class Policies>
void engine_state<Policies>::onChunk(const attempt_key &key, std::string text, engine_actions &out)
{
    const live_attempt found = find(key);
    if (found.attempt == nullptr) {
        discardEvent(key, "chunk of an attempt that is not live", out);
        return;
    }
    request_state &state = *found.state;
    stage_state &stage = state.stages[found.stage];
    const bool isLast = found.stage + 1 == state.stages.size();
    if (!state.request.stream || !isLast)
        return;
    found.attempt->sent = true;
    if (stage.streamingAttempt == 0) {
        stage.streamingAttempt = key.attempt;
        abandonOthers(state, found.stage, key.attempt, "another attempt began to answer first",
                      out);
    }
    out.emplace_back(deliver_chunk{key.request, std::move(text)});
    dispatchChangedPools(out);
}

template <class Policies>
void engine_state<Policies>::onAnswer(const attempt_answer &answer, engine_actions &out)
{
    const live_attempt found = find(answer.key);
    if (found.attempt == nullptr) {
        discardEvent(answer.key, "answer to an attempt that is not live", out);
        return;
    }
    if (!Policies::answers::accepts(answer.key, answer.echoed)) {
        discardEvent(answer.key, "answer belongs to another attempt", out);
        fail(*found.state, found.stage, *found.attempt, attempt_failure::BadAnswer, {}, out);
    } else {
        complete(*found.state, found.stage, *found.attempt, answer, out);
    }
    dispatchChangedPools(out);
}

template <class Policies>
void engine_state<Policies>::complete(request_state &state, std::uint32_t index,
                                      attempt_state &attempt, const attempt_answer &answer,
                                      engine_actions &out)
{
    using std::chrono::duration_cast;
    const steady_time now = m_clock.now();
    stage_state &stage = state.stages[index];
    const duration elapsed = duration_cast<duration>(now - attempt.started);
    attempt.live = false;
    m_estimates.observe(state.plan(), index, state.sizeClass, elapsed);
    if (pool_type *pool = poolOf(state, index)) {
        logHealth(*pool, attempt.slot,
                  pool->onAnswered(attempt.slot, elapsed, attempt.medianTime, now), out);
        markChanged(*pool);
    }
    const duration busy = answer.busy.count() > 0 ? duration{answer.busy} : elapsed;
    recordCost(state, index, {busy, answer.tokens, true});
    stage.status = stage_status::Done;
    stage.output = answer.output;
    stage.report.server = attempt.server;
    stage.report.elapsed = duration_cast<milliseconds>(now - stage.readySince);
    stage.report.finished = true;
    abandonOthers(state, index, attempt.number, "another attempt answered first", out);
    if (isFinished(state))
        finish(state, outcome::Answered, {}, out);
    else
        enqueueReadyStages(state, out);
}

template <class Policies>
void engine_state<Policies>::onFailure(const attempt_key &key, attempt_failure failure,
                                       std::optional<milliseconds> retryAfter, engine_actions &out)
{
    const live_attempt found = find(key);
    if (found.attempt == nullptr) {
        discardEvent(key, "failure of an attempt that is not live", out);
        return;
    }
    fail(*found.state, found.stage, *found.attempt, failure, retryAfter, out);
    dispatchChangedPools(out);
}

template <class Policies>
void engine_state<Policies>::fail(request_state &state, std::uint32_t index, attempt_state &attempt,
                                  attempt_failure failure, std::optional<milliseconds> retryAfter,
                                  engine_actions &out)
{
    const steady_time now = m_clock.now();
    stage_state &stage = state.stages[index];
    const attempt_end end{failure, attempt.sent};
    attempt.live = false;
    if (!Policies::repeats::provesNotRun(end)) {
        stage.attemptMayHaveRun = true;
        recordCost(state, index,
                   {std::chrono::duration_cast<duration>(now - attempt.started), 0, false});
    }
    if (pool_type *pool = poolOf(state, index)) {
        const bool wasOpen = pool->breaker.isOpen();
        const std::uint64_t serial = state.serial;
        const auto change = pool->onFailed(attempt.slot, failure, retryAfter, now);
        logHealth(*pool, attempt.slot, change, out);
        markChanged(*pool);
        if (!wasOpen && pool->breaker.isOpen())
            rejectQueued(*pool, out);
        // Another stage of this request may have been in the rejected queue.
        if (findRequest(serial) == nullptr)
            return;
    }
    if (liveAttempts(stage) > 0)
        return;
    retryOrFinish(state, index, end, retryAfter, out);
}

template <class Policies>
void engine_state<Policies>::retryOrFinish(request_state &state, std::uint32_t index,
                                           const attempt_end &end,
                                           std::optional<milliseconds> retryAfter,
                                           engine_actions &out)
{
    stage_state &stage = state.stages[index];
    pool_type *pool = poolOf(state, index);
    const bool allowed = Policies::repeats::mayRetry(state.plan().stages[index], end)
        && stage.streamingAttempt == 0 && stage.attempts.size() < m_settings.maxAttemptsPerStage;
    const bool canSucceed = pool != nullptr && pool->usable() > 0 && !pool->breaker.isOpen()
        && latestStart(state, index, true) > m_clock.now();
    const bool refused =
        end.failure == attempt_failure::Refused || end.failure == attempt_failure::Leaving;
    if (allowed && canSucceed && refused) {
        // A refusal costs the server nothing, so the retry needs no budget. Ending the request
        // would waste the work of its earlier stages.
        log(decision_kind::Retry, state, index, static_cast<std::uint32_t>(stage.attempts.size()),
            std::string(toName(end.failure)), out);
        (void)enqueue(state, index, out);
        return;
    }
    if (allowed && canSucceed && pool->budget.tryAcquire()) {
        // During a short backoff, other results show whether one server or the whole pool failed.
        const milliseconds backoff = m_settings.retryBackoff * (1U << (stage.attempts.size() - 1));
        stage.status = stage_status::BackingOff;
        addTimer(timer_kind::Retry, m_clock.now() + backoff, state, index);
        log(decision_kind::Retry, state, index, static_cast<std::uint32_t>(stage.attempts.size()),
            std::string(toName(end.failure)), out);
        return;
    }
    const bool noServer = pool == nullptr || pool->usable() == 0 || pool->breaker.isOpen();
    const bool busy = end.failure == attempt_failure::Refused;
    refusal why;
    why.reason = busy ? refusal_reason::Overloaded : refusal_reason::StageFailed;
    if (noServer)
        why.reason = refusal_reason::NoBackendServer;
    why.detail =
        "stage " + state.plan().stages[index].id.value + ": " + std::string(toName(end.failure));
    why.retryAfter = addJitter(retryAfter.value_or(milliseconds{1000}));
    finishUnanswered(state, why, out);
}

// Cancels a live attempt. With `countLatency`, its duration so far counts as a lower bound of the
// server's latency.
template <class Policies>
void engine_state<Policies>::abandon(request_state &state, std::uint32_t index,
                                     attempt_state &attempt, bool countLatency,
                                     std::string_view why, engine_actions &out)
{
    const steady_time now = m_clock.now();
    const duration elapsed = std::chrono::duration_cast<duration>(now - attempt.started);
    attempt.live = false;
    recordCost(state, index, {elapsed, 0, false});
    log(decision_kind::Cancel, state, index, attempt.number, std::string(why), out, attempt.server);
    out.emplace_back(cancel_attempt{{state.request.id, index, attempt.number}, attempt.server});
    if (pool_type *pool = poolOf(state, index)) {
        if (countLatency)
            pool->onLatencyLowerBound(attempt.slot, elapsed, attempt.medianTime, now);
        pool->onReleased(attempt.slot, now);
        markChanged(*pool);
    }
}

template <class Policies>
void engine_state<Policies>::abandonOthers(request_state &state, std::uint32_t index,
                                           std::uint32_t winner, std::string_view why,
                                           engine_actions &out)
{
    for (attempt_state &attempt : state.stages[index].attempts) {
        if (attempt.live && attempt.number != winner)
            abandon(state, index, attempt, true, why, out);
    }
}

template <class Policies>
void engine_state<Policies>::tryHedge(request_state &state, std::uint32_t index,
                                      std::string_view why, engine_actions &out)
{
    stage_state &stage = state.stages[index];
    pool_type *pool = poolOf(state, index);
    const bool allowed = Policies::repeats::mayHedge(state.plan().stages[index])
        && liveAttempts(stage) == 1 && stage.streamingAttempt == 0
        && stage.attempts.size() < m_settings.maxAttemptsPerStage;
    if (!allowed || pool == nullptr || pool->breaker.isOpen() || !pool->hasAvailable())
        return;
    // A hedge would take capacity from queued work that has had no attempt yet.
    if (!pool->queue.empty())
        return;
    // If no server of the pool has answered since, the whole pool is slow, not this server.
    const attempt_state &first = stage.attempts.back();
    if (pool->inFlight() > 1 && !pool->answeredSince(first.started))
        return;
    // The timer may have been handled late.
    if (latestStart(state, index, true) <= m_clock.now())
        return;
    auto choice = route(*pool, state, index, true);
    if (!choice || !pool->budget.tryAcquire())
        return;
    choice->reason = why;
    dispatch(*pool, state, index, *choice, true, out);
}

// A server that does not answer for longer than expected is suspected, whether or not this request
// is hedged. If the circuit breaker of the pool is open, the attempt fails at once instead of at
// the deadline.
template <class Policies>
void engine_state<Policies>::onSilence(request_state &state, std::uint32_t index,
                                       attempt_state &attempt, engine_actions &out)
{
    pool_type *pool = poolOf(state, index);
    if (pool == nullptr)
        return;
    const steady_time now = m_clock.now();
    const duration elapsed = std::chrono::duration_cast<duration>(now - attempt.started);
    const bool wasOpen = pool->breaker.isOpen();
    const std::uint64_t serial = state.serial;
    const auto change = pool->onSuspicionTimeout(attempt.slot, elapsed, attempt.medianTime, now);
    logHealth(*pool, attempt.slot, change, out);
    markChanged(*pool);
    if (!wasOpen && pool->breaker.isOpen())
        rejectQueued(*pool, out);
    if (findRequest(serial) == nullptr)
        return;
    if (pool->breaker.isOpen()) {
        out.emplace_back(cancel_attempt{{state.request.id, index, attempt.number}, attempt.server});
        fail(state, index, attempt, attempt_failure::TimedOut, {}, out);
        return;
    }
    tryHedge(state, index, "backend server did not answer in time", out);
}

template <class Policies>
void engine_state<Policies>::logHealth(const pool_type &pool, std::uint32_t slot,
                                       health_change change, engine_actions &out)
{
    if (change == health_change::None)
        return;
    const bool ejected = change == health_change::Ejected;
    log_decision line;
    line.kind = ejected ? decision_kind::Eject : decision_kind::Restore;
    line.chosen = pool.server(slot).id;
    line.reason = ejected ? "consecutive failures" : "a probe succeeded";
    out.emplace_back(std::move(line));
}

template <class Policies>
void engine_state<Policies>::recordCost(request_state &state, std::uint32_t index,
                                        const attempt_cost &cost)
{
    stage_report &report = state.stages[index].report;
    report.busy += std::chrono::duration_cast<milliseconds>(cost.busy);
    report.tokens += cost.tokens;
    m_ledger.recordCost(state.plan(), index, cost);
}

} // namespace orchidlead
