#pragma once

#include "core/configuration/published_configuration.h"
#include "core/node/node_actions.h"
#include "core/once/at_most_once.h"
#include "core/requests/attached_callers.h"
#include "core/requests/caller_request.h"
#include "core/requests/recent_requests.h"
#include "core/requests/request_engine.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/membership.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace orchidlead {

/// Identity and limits of a node.
struct node_settings
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    orchidlead::incarnation incarnation = 0;
    /// Inputs and stage outputs of all open requests.
    std::size_t maxHeldBytes = 256U << 20U;
    std::size_t recentRequests = 1000; ///< number of traces kept
    /// Requests that wait for another node's answer.
    std::size_t maxForwarded = 1000;
    engine_settings engine;
    /// The node sets `vm`, `incarnation` and `dataCenter`.
    at_most_once_settings once;
};

/// Whether new requests are admitted, and if not, why.
enum class admission_state {
    Open,
    /// The configuration must be confirmed first, after the start or a pause of the process.
    Unconfirmed,
    Stopping,
};

/// Request processing of one node: renders the plan of a request, decides whether it may run here,
/// and runs its stages. Deterministic, without I/O.
///
/// Every event function appends to `out`; the caller carries the actions out in order.
class node
{
public:
    node(const node_settings &settings, const clock_source &clock, std::uint64_t seed);
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Sets the configuration for new requests.
    void setConfiguration(configuration_ptr configuration, node_actions &out);
    /// Sets the current members, and the time at which the platform last confirmed its VM list.
    void setMembers(std::vector<member> members, steady_time vmListConfirmedAt);
    void setAdmission(admission_state state);

    /// Starts a caller's request and returns its id. Exactly one `end_request` follows, now or
    /// later.
    request_id submit(caller_request request, node_actions &out);

    /// Cancels a request whose caller has disconnected; `end_request` still follows. Calls with a
    /// ticket or key continue, because their answer may be requested again.
    void cancel(const request_id &request, node_actions &out);

    /// Handles the answer of the node that a request was forwarded to.
    void onForwardAnswer(const request_id &request, final_answer answer, node_actions &out);
    void onForwardFailed(const request_id &request, const std::string &detail, node_actions &out);

    /// Issues a ticket, which permits a caller to run one call at most once; nothing while the node
    /// stops or too many tickets are valid.
    [[nodiscard]] std::optional<std::string> mintTicket();

    /// Whether the first byte of an attempt may be sent now.
    [[nodiscard]] bool mayDispatch(const attempt_key &key) const;

    void onSent(const attempt_key &key);
    void onChunk(const attempt_key &key, std::string text, node_actions &out);
    void onAnswer(const attempt_answer &answer, node_actions &out);
    void onFailure(const attempt_key &key, attempt_failure failure,
                   std::optional<milliseconds> retryAfter, node_actions &out);
    void onLoadReport(const load_report &report, node_actions &out);

    /// Runs due timers; call it at `nextWake` or later.
    void tick(node_actions &out);
    [[nodiscard]] std::optional<steady_time> nextWake() const;

    /// Renews the leases of `at_most_once`, which checks non-repeatable calls before they run, and
    /// appends its messages to the same component of other nodes. Call `tickAtMostOnce` about every
    /// 250 ms.
    void tickAtMostOnce(std::vector<peer_message> &out);
    void onAtMostOnceMessage(const vm_id &from, std::string_view bytes,
                             std::vector<peer_message> &out);
    /// Starts to hand the keys over, as part of a planned stop.
    void startKeyHandover() { m_atMostOnce.startKeyHandover(); }
    [[nodiscard]] bool keysHandedOver() const { return m_atMostOnce.keysHandedOver(); }
    [[nodiscard]] const at_most_once &atMostOnce() const { return m_atMostOnce; }

    /// Whether no caller waits and nothing runs.
    [[nodiscard]] bool idle() const;

    /// A time that is no earlier than the deadline of any open request.
    [[nodiscard]] steady_time lastDeadline() const { return m_lastDeadline; }

    [[nodiscard]] const node_settings &settings() const { return m_settings; }
    [[nodiscard]] const configuration_ptr &configuration() const { return m_configuration; }
    [[nodiscard]] const std::vector<member> &members() const { return m_members; }
    [[nodiscard]] const recent_requests &traces() const { return m_traces; }
    [[nodiscard]] engine_stats stats() const { return m_engine.stats(); }
    [[nodiscard]] std::size_t openRequests() const { return m_openRequests.size(); }
    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }

private:
    /// A request that hasn't ended.
    struct open_request
    {
        customer_id customer;
        pipeline_id pipeline;
        steady_time started;
    };

    /// A request that the engine runs.
    struct running_request
    {
        std::size_t bytes = 0; ///< of its input and stage outputs
        /// In `at_most_once`; only for calls that must run at most once.
        std::optional<record_handle> record;
        bool hasTicketOrKey = false;
    };

    /// Why a request isn't run.
    struct refusal
    {
        refusal_reason reason = refusal_reason::None;
        std::string detail;
        std::optional<milliseconds> retryAfter;
    };

    using plan_ptr = std::shared_ptr<const pipeline_plan>;
    using plan_or_refusal = result<plan_ptr, refusal>;

    [[nodiscard]] request_id nextId();
    [[nodiscard]] plan_or_refusal renderPlan(const caller_request &request) const;
    [[nodiscard]] std::optional<refusal> checkAdmission(const caller_request &request) const;
    [[nodiscard]] non_repeatable_request makeNonRepeatableRequest(const caller_request &request,
                                                                  steady_time deadline) const;
    void submitNonRepeatable(const request_id &id, caller_request request,
                             const plan_or_refusal &plan, node_actions &out);
    void runOrRefuse(const request_id &id, caller_request request, const plan_or_refusal &plan,
                     std::optional<record_handle> record, node_actions &out);
    void start(const request_id &id, caller_request request, const plan_ptr &plan,
               std::optional<record_handle> record, node_actions &out);
    void attach(const request_id &id, record_handle record, steady_time deadline,
                node_actions &out);
    void forward(const request_id &id, const caller_request &request, const forward_to &verdict,
                 steady_time deadline, node_actions &out);
    [[nodiscard]] const member *forwardTarget(const request_id &id,
                                              const forward_to &verdict) const;
    [[nodiscard]] bool mayForward(const caller_request &request, const forward_to &verdict) const;
    [[nodiscard]] bool forwardedWithinDataCenter(const caller_request &request) const;
    void finish(final_answer answer, node_actions &out);
    void deliver(const request_id &id, final_answer answer, node_actions &out);
    void end(final_answer answer, node_actions &out);
    void expireAttached(node_actions &out);

    /// Runs one event function of the engine and handles its actions.
    template <class Event>
    void feed(Event &&event, node_actions &out)
    {
        engine_actions actions;
        event(actions);
        handleActions(actions, out);
    }
    void handleActions(engine_actions &actions, node_actions &out);

    node_settings m_settings;
    const clock_source &m_clock;
    request_engine m_engine;
    at_most_once m_atMostOnce;
    recent_requests m_traces;
    configuration_ptr m_configuration;
    std::vector<member> m_members;
    std::unordered_map<request_id, open_request> m_openRequests;
    std::unordered_map<request_id, running_request> m_running;
    attached_callers m_attached;
    std::unordered_set<request_id> m_forwarded;
    steady_time m_lastDeadline; ///< of all requests since the start
    std::uint64_t m_sequence = 0;
    std::size_t m_heldBytes = 0;
    admission_state m_admission = admission_state::Unconfirmed;
};

} // namespace orchidlead
