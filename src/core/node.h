#pragma once

#include "core/caller_request.h"
#include "core/engine_types.h"
#include "core/published_configuration.h"
#include "core/recent_requests.h"
#include "core/request_engine.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// Who a node is, and its bounds.
struct node_settings
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    orchidlead::incarnation incarnation = 0;
    std::size_t maxInputBytes = 256U << 20U; ///< inputs of all open requests together
    std::size_t recentRequests = 1000; ///< traces that are kept
    engine_settings engine;
};

/// Composes the decisions of one node: which plan a request gets, whether it may run here, and how
/// it goes through its stages. Deterministic, without I/O.
///
/// Every event function appends to `out`; the shell carries the actions out in order.
class node
{
public:
    node(const node_settings &settings, const clock_source &clock, std::uint64_t seed);
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /// Puts a configuration in force for new requests.
    void setConfiguration(configuration_ptr configuration, engine_actions &out);

    /// Takes a caller's request and gives it its number. Exactly one `deliver_answer` follows, now
    /// or later.
    request_id submit(caller_request request, engine_actions &out);

    /// Ends a request whose caller went away. Its answer still comes out.
    void cancel(const request_id &request, engine_actions &out);

    /// Tells whether the first byte of an attempt may leave now.
    [[nodiscard]] bool mayDispatch(const attempt_key &key) const;

    void onSent(const attempt_key &key);
    void onChunk(const attempt_key &key, std::string text, engine_actions &out);
    void onAnswer(const attempt_answer &answer, engine_actions &out);
    void onFailure(const attempt_key &key, attempt_failure failure,
                   std::optional<milliseconds> retryAfter, engine_actions &out);
    void onLoadReport(const load_report &report, engine_actions &out);

    /// Does what is due; call it at `nextWake` or later.
    void tick(engine_actions &out);
    [[nodiscard]] std::optional<steady_time> nextWake() const;

    /// Refuses new requests from now on; open ones are finished.
    void stopAccepting();
    /// Tells whether no request is open.
    [[nodiscard]] bool idle() const;

    [[nodiscard]] const node_settings &settings() const { return m_settings; }
    [[nodiscard]] const configuration_ptr &configuration() const { return m_configuration; }
    [[nodiscard]] const recent_requests &traces() const { return m_traces; }
    [[nodiscard]] engine_stats stats() const { return m_engine.stats(); }
    [[nodiscard]] std::size_t openRequests() const { return m_open.size(); }
    [[nodiscard]] std::size_t inputBytes() const { return m_inputBytes; }

private:
    struct open_request
    {
        std::size_t inputBytes = 0;
    };

    [[nodiscard]] request_id nextId();
    void refuse(const request_id &id, refusal_reason reason, std::string detail,
                std::optional<milliseconds> retryAfter, engine_actions &out);
    void start(const request_id &id, caller_request request,
               std::shared_ptr<const pipeline_plan> plan, engine_actions &out);
    /// Notes in the node's own books what the engine decided.
    void observe(const engine_actions &out, std::size_t from);
    void close(const final_answer &answer);

    node_settings m_settings;
    const clock_source &m_clock;
    request_engine m_engine;
    recent_requests m_traces;
    configuration_ptr m_configuration;
    std::unordered_map<request_id, open_request> m_open;
    std::uint64_t m_sequence = 0;
    std::size_t m_inputBytes = 0;
    bool m_accepting = true;
};

} // namespace orchidlead
