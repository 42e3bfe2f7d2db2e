#pragma once

#include "core/requests/cost_ledger.h"
#include "core/requests/engine_policies.h"
#include "core/requests/engine_stats.h"
#include "core/requests/engine_timers.h"
#include "core/requests/engine_types.h"
#include "core/requests/request_engine.h"
#include "core/requests/request_state.h"
#include "core/requests/stage_estimates.h"
#include "core/servers/service_pool.h"

#include <orchidlead/random_source.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace orchidlead {

/// Implementation of basic_request_engine.
///
/// Event functions end with `dispatchChangedPools`, which assigns freed capacity to queued work.
/// `finish` destroys the state of a request: no reference to it may be used afterwards.
template <class Policies>
class engine_state
{
    static_assert(engine_policy_set<Policies>);

public:
    engine_state(const engine_settings &settings, const clock_source &clock, std::uint64_t seed)
        : m_settings(settings)
        , m_clock(clock)
        , m_random(seed)
        , m_ledger(settings.maxCustomerStats)
    { }

    void setServices(const std::vector<service> &services, engine_actions &out);
    void setListedLeaving(const std::vector<backend_server_id> &servers, engine_actions &out);
    void onLoadReport(const load_report &report, engine_actions &out);
    void submit(pipeline_request request, engine_actions &out);
    void onSent(const attempt_key &key);
    void onChunk(const attempt_key &key, std::string text, engine_actions &out);
    void onAnswer(const attempt_answer &answer, engine_actions &out);
    void onFailure(const attempt_key &key, attempt_failure failure,
                   std::optional<milliseconds> retryAfter, engine_actions &out);
    void cancel(const request_id &request, engine_actions &out);
    void tick(engine_actions &out);
    [[nodiscard]] std::optional<steady_time> nextWake() const;
    void drain() { m_draining = true; }
    [[nodiscard]] bool idle() const { return m_requests.empty(); }
    [[nodiscard]] engine_stats stats() const;

private:
    using pool_type = service_pool<Policies>;
    using duration = std::chrono::microseconds;

    /// Reason why a request ends without an answer.
    struct refusal
    {
        refusal_reason reason = refusal_reason::None;
        std::string detail;
        std::optional<milliseconds> retryAfter;
    };

    /// The live attempt that an event refers to, if there is one.
    struct live_attempt
    {
        request_state *state = nullptr;
        std::uint32_t stage = 0;
        attempt_state *attempt = nullptr;
    };

    // Admission.
    [[nodiscard]] std::optional<refusal> checkAdmission(request_state &state);
    [[nodiscard]] std::optional<refusal> checkPools(request_state &state);
    [[nodiscard]] std::optional<refusal> checkDeadline(request_state &state);
    [[nodiscard]] duration longestQueueWait(const request_state &state);
    [[nodiscard]] bool isUnderShare(const customer_id &customer) const;
    void onRequestClosed(const customer_id &customer);
    void deliverRefusal(const request_state &state, const refusal &why, engine_actions &out);

    // Stages.
    void enqueueReadyStages(request_state &state, engine_actions &out);
    [[nodiscard]] bool inputsDone(const request_state &state, std::uint32_t stage) const;
    [[nodiscard]] bool enqueue(request_state &state, std::uint32_t stage, engine_actions &out);
    [[nodiscard]] bool makeQueueSpace(pool_type &pool, const request_state &state,
                                      engine_actions &out);
    [[nodiscard]] steady_time latestStart(const request_state &state, std::uint32_t stage,
                                          bool inProgress) const;
    void dispatchChangedPools(engine_actions &out);
    void dispatchQueued(pool_type &pool, engine_actions &out);
    void startQueued(pool_type &pool, const queued_stage &item, engine_actions &out);
    void rejectQueued(pool_type &pool, engine_actions &out);
    void shedQueued(request_state &state, std::uint32_t stage, engine_actions &out);

    // Attempts.
    [[nodiscard]] std::optional<routing_choice> route(pool_type &pool, const request_state &state,
                                                      std::uint32_t stage, bool onlyUntried);
    void dispatch(pool_type &pool, request_state &state, std::uint32_t stage,
                  const routing_choice &choice, bool hedge, engine_actions &out);
    void countDispatch(pool_type &pool, stage_state &stage, bool hedge);
    void addAttemptTimers(pool_type &pool, const request_state &state, std::uint32_t stage,
                          const attempt_state &attempt);
    [[nodiscard]] send_attempt makeSendAction(pool_type &pool, const request_state &state,
                                              std::uint32_t stage,
                                              const attempt_state &attempt) const;
    [[nodiscard]] live_attempt find(const attempt_key &key);
    void discardEvent(const attempt_key &key, std::string_view why, engine_actions &out);
    void complete(request_state &state, std::uint32_t stage, attempt_state &attempt,
                  const attempt_answer &answer, engine_actions &out);
    void fail(request_state &state, std::uint32_t stage, attempt_state &attempt,
              attempt_failure failure, std::optional<milliseconds> retryAfter, engine_actions &out);
    void retryOrFinish(request_state &state, std::uint32_t stage, const attempt_end &end,
                       std::optional<milliseconds> retryAfter, engine_actions &out);
    void abandon(request_state &state, std::uint32_t stage, attempt_state &attempt,
                 bool countLatency, std::string_view why, engine_actions &out);
    void abandonOthers(request_state &state, std::uint32_t stage, std::uint32_t winner,
                       std::string_view why, engine_actions &out);
    void tryHedge(request_state &state, std::uint32_t stage, std::string_view why,
                  engine_actions &out);

    // Timers.
    void onTimer(const engine_timer &timer, engine_actions &out);
    void onSilence(request_state &state, std::uint32_t stage, attempt_state &attempt,
                   engine_actions &out);
    void addTimer(timer_kind kind, steady_time at, const request_state &state,
                  std::uint32_t stage = 0, std::uint32_t attempt = 0);

    // Final answers.
    void finish(request_state &state, outcome result, const refusal &why, engine_actions &out);
    void finishUnanswered(request_state &state, const refusal &why, engine_actions &out);
    [[nodiscard]] std::vector<stage_report> stageReports(const request_state &state) const;

    // Logging and accounting.
    void log(decision_kind kind, const request_state &state, std::uint32_t stage,
             std::uint32_t attempt, std::string reason, engine_actions &out,
             const backend_server_id &chosen = {});
    void logHealth(const pool_type &pool, std::uint32_t slot, health_change change,
                   engine_actions &out);
    void recordCost(request_state &state, std::uint32_t stage, const attempt_cost &cost);

    [[nodiscard]] pool_type *poolOf(const request_state &state, std::uint32_t stage);
    [[nodiscard]] request_state *findRequest(std::uint64_t serial);
    [[nodiscard]] steady_time sendDeadline(const request_state &state) const
    {
        return state.request.deadline - m_settings.hopMargin;
    }
    void markChanged(pool_type &pool) { m_changedPools.push_back(&pool); }
    [[nodiscard]] milliseconds addJitter(milliseconds wait);

    engine_settings m_settings;
    const clock_source &m_clock;
    random_source m_random;
    typename Policies::admission m_admission;
    typename Policies::hedging m_hedging;
    typename Policies::silence m_silence;
    stage_estimates m_estimates;
    cost_ledger m_ledger;
    engine_timers m_timers;
    std::map<service_id, std::unique_ptr<pool_type>> m_pools;
    std::unordered_map<std::uint64_t, std::unique_ptr<request_state>> m_requests; ///< by serial
    std::unordered_map<request_id, std::uint64_t> m_serials;
    std::unordered_map<customer_id, std::uint32_t> m_openRequestsOf; ///< by customer
    /// Includes servers that are in no pool: they may be published again while they are leaving.
    std::unordered_set<backend_server_id> m_listedLeaving;
    std::vector<pool_type *> m_changedPools; ///< may be able to dispatch queued work
    std::uint64_t m_lastSerial = 0;
    std::uint64_t m_deadlineRefusals = 0;
    std::uint64_t m_droppedAnswers = 0;
    bool m_draining = false;
};

} // namespace orchidlead
