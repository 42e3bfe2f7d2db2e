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

/// Who a node is, and its bounds.
struct node_settings
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    orchidlead::incarnation incarnation = 0;
    std::size_t maxHeldBytes = 256U << 20U; ///< inputs and stages' outputs of all open requests
    std::size_t recentRequests = 1000; ///< traces that are kept
    std::size_t maxForwarded = 1000; ///< requests that wait for another node's answer
    engine_settings engine;
    at_most_once_settings once; ///< its own names are filled in by the node
};

/// Whether new requests are taken, and why not.
enum class admission_state {
    Open,
    Unconfirmed, ///< the configuration must be confirmed first: after the start or a pause
    Stopping,
};

/// Composes the request side of one node: which plan a request gets, whether it may run here, and
/// how it goes through its stages. Deterministic, without I/O.
///
/// Every event function appends to `out`; the shell carries the actions out in order.
class node
{
public:
    node(const node_settings &settings, const clock_source &clock, std::uint64_t seed);
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Puts a configuration in force for new requests.
    void setConfiguration(configuration_ptr configuration, node_actions &out);
    /// Takes the members as they are now, and when the platform last vouched for its list.
    void setMembers(std::vector<member> members, steady_time listConfirmedAt);
    void setAdmission(admission_state state);

    /// Takes a caller's request and gives it its number. Exactly one `end_request` follows, now or
    /// later.
    request_id submit(caller_request request, node_actions &out);

    /// Takes that a caller went away. Its answer still comes out. What runs is given up, but for
    /// calls with a ticket or key: their answer may be asked for again.
    void cancel(const request_id &request, node_actions &out);

    /// Takes the answer of the node that a request was handed to.
    void onForwardAnswer(const request_id &request, final_answer answer, node_actions &out);
    void onForwardFailed(const request_id &request, const std::string &detail, node_actions &out);

    /// Mints a ticket; nothing while the node stops or too many are out.
    [[nodiscard]] std::optional<std::string> mintTicket();

    /// Tells whether the first byte of an attempt may leave now.
    [[nodiscard]] bool mayDispatch(const attempt_key &key) const;

    void onSent(const attempt_key &key);
    void onChunk(const attempt_key &key, std::string text, node_actions &out);
    void onAnswer(const attempt_answer &answer, node_actions &out);
    void onFailure(const attempt_key &key, attempt_failure failure,
                   std::optional<milliseconds> retryAfter, node_actions &out);
    void onLoadReport(const load_report &report, node_actions &out);

    /// Does what is due; call it at `nextWake` or later.
    void tick(node_actions &out);
    [[nodiscard]] std::optional<steady_time> nextWake() const;

    /// The gate's own messages to its peers; `tickGate` is to be called about every 250 ms.
    void tickGate(std::vector<peer_message> &out);
    void onGateMessage(const vm_id &from, std::string_view bytes, std::vector<peer_message> &out);
    /// Begins to hand the keys over; part of a planned stop.
    void startLeaving() { m_gate.startLeaving(); }
    [[nodiscard]] bool handedOver() const { return m_gate.handedOver(); }
    [[nodiscard]] const at_most_once &gate() const { return m_gate; }

    /// Tells whether no caller waits and nothing runs.
    [[nodiscard]] bool idle() const;

    /// Gives a time that is no earlier than any open request's deadline.
    [[nodiscard]] steady_time lastDeadline() const { return m_lastDeadline; }

    [[nodiscard]] const node_settings &settings() const { return m_settings; }
    [[nodiscard]] const configuration_ptr &configuration() const { return m_configuration; }
    [[nodiscard]] const std::vector<member> &members() const { return m_members; }
    [[nodiscard]] const recent_requests &traces() const { return m_traces; }
    [[nodiscard]] engine_stats stats() const { return m_engine.stats(); }
    [[nodiscard]] std::size_t openRequests() const { return m_pending.size(); }
    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }

private:
    /// A request that has no end yet.
    struct pending_request
    {
        customer_id customer;
        pipeline_id pipeline;
        steady_time started;
    };

    /// A request that the engine has.
    struct open_request
    {
        std::size_t bytes = 0; ///< of its input and of its stages' outputs
        std::optional<record_handle> record;
        bool named = false; ///< has a ticket or key
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
    [[nodiscard]] plan_or_refusal planFor(const caller_request &request) const;
    [[nodiscard]] std::optional<refusal> refusalOf(const caller_request &request) const;
    [[nodiscard]] once_request describeOnce(const caller_request &request,
                                            steady_time deadline) const;
    void submitOnce(const request_id &id, caller_request request, const plan_or_refusal &plan,
                    node_actions &out);
    void runOrRefuse(const request_id &id, caller_request request, const plan_or_refusal &plan,
                     std::optional<record_handle> record, node_actions &out);
    void start(const request_id &id, caller_request request, const plan_ptr &plan,
               std::optional<record_handle> record, node_actions &out);
    void attach(const request_id &id, record_handle record, steady_time deadline,
                node_actions &out);
    void forward(const request_id &id, const caller_request &request, const forward_to &verdict,
                 steady_time deadline, node_actions &out);
    [[nodiscard]] const member *targetOf(const request_id &id, const forward_to &verdict) const;
    [[nodiscard]] bool mayForward(const caller_request &request, const forward_to &verdict) const;
    [[nodiscard]] bool cameFromOwnDataCenter(const caller_request &request) const;
    void finish(final_answer answer, node_actions &out);
    void deliver(const request_id &id, final_answer answer, node_actions &out);
    void end(final_answer answer, node_actions &out);
    void expireAttached(node_actions &out);

    /// Runs one event function of the engine and passes on what comes of it.
    template <class Event>
    void feed(Event &&event, node_actions &out)
    {
        engine_actions actions;
        event(actions);
        passOn(actions, out);
    }
    void passOn(engine_actions &actions, node_actions &out);

    node_settings m_settings;
    const clock_source &m_clock;
    request_engine m_engine;
    at_most_once m_gate;
    recent_requests m_traces;
    configuration_ptr m_configuration;
    std::vector<member> m_members;
    std::unordered_map<request_id, pending_request> m_pending;
    std::unordered_map<request_id, open_request> m_open;
    attached_callers m_attached;
    std::unordered_set<request_id> m_forwarded;
    steady_time m_lastDeadline; ///< of all requests since the start
    std::uint64_t m_sequence = 0;
    std::size_t m_heldBytes = 0;
    admission_state m_admission = admission_state::Unconfirmed;
};

} // namespace orchidlead
