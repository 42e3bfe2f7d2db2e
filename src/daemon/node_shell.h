#pragma once

#include "core/node/node.h"
#include "core/node/node_control.h"
#include "core/servers/leaving_server_set.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "wire/load_reader.h"
#include "wire/stage_client.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead::daemon {

/// Where a request's answer goes.
struct answer_sink
{
    std::function<void(const std::string &text)> onChunk; ///< streams only
    std::function<void(const final_answer &answer)> onAnswer; ///< exactly once, last
};

/// What the node asks of other parts of the daemon.
struct node_hooks
{
    std::function<void(const log_decision &)> onDecision;
    std::function<void(const forward_call &)> forward;
    std::function<void(const end_request &)> onEnded;
    /// A backend server told this node whether it is leaving.
    std::function<void(const leaving_update &)> onServerNews;
    /// Asked before anything is sent to a backend server; notices a pause of the process, which
    /// may call `setConfirmed(false)`.
    std::function<void()> detectPause;
};

/// Settings of the node and of the calls to backend servers.
struct node_shell_options
{
    node_settings node;
    wire::stage_client_options backends;
    wire::server_poller_options loadReports;
};

/// Feeds events into the node and carries its actions out.
class node_shell
{
public:
    node_shell(net::event_loop &loop, net::http_client &client, const clock_source &clock,
               const node_shell_options &options, std::uint64_t seed, node_hooks hooks);
    ~node_shell();
    node_shell(const node_shell &) = delete;
    node_shell &operator=(const node_shell &) = delete;

    void setConfiguration(configuration_ptr configuration);

    /// Takes a caller's request. The sink may be called before this returns.
    request_id submit(caller_request request, answer_sink sink);
    void cancel(const request_id &request);

    void onForwardAnswer(const request_id &request, final_answer answer);
    void onForwardFailed(const request_id &request, const std::string &detail);
    [[nodiscard]] std::optional<std::string> mintTicket() { return m_node.mintTicket(); }
    void tickAtMostOnce(std::vector<peer_message> &out) { m_node.tickAtMostOnce(out); }
    void onAtMostOnceMessage(const vm_id &from, std::string_view bytes,
                             std::vector<peer_message> &out)
    {
        m_node.onAtMostOnceMessage(from, bytes, out);
    }
    void startKeyHandover() { m_node.startKeyHandover(); }

    /// Stops or goes on reading what backend servers send for a request.
    void setReading(const request_id &request, bool reading);

    /// Takes what a backend server told a peer.
    void onHeard(const leaving_update &news);
    void setMembers(const members_updated &update);
    void setAdmission(admission_state state) { m_node.setAdmission(state); }
    /// Holds back what would be sent to backend servers until the configuration is confirmed.
    void setConfirmed(bool confirmed);

    [[nodiscard]] const node &state() const { return m_node; }

private:
    [[nodiscard]] wire::stage_client_events backendEvents();
    void onLoad(const load_report &report);
    void carryOut(const node_actions &actions);
    void perform(const send_attempt &action);
    void perform(const cancel_attempt &action);
    void perform(const end_request &action);
    void perform(const deliver_chunk &action);
    void perform(const log_decision &action);
    void perform(const forward_call &action);
    [[nodiscard]] bool mayDispatch(const attempt_key &key);
    void scheduleWake();
    void wake();

    /// Runs one event function of the node and carries out what comes of it.
    template <class Event>
    void feed(Event &&event)
    {
        node_actions actions;
        event(actions);
        carryOut(actions);
        scheduleWake();
    }

    net::event_loop &m_loop;
    const clock_source &m_clock;
    node m_node;
    wire::stage_client m_backends;
    wire::load_reader m_loads;
    node_hooks m_hooks;
    std::vector<send_attempt> m_held; ///< until the configuration is confirmed
    bool m_confirmed = false;
    std::unordered_map<request_id, answer_sink> m_sinks;
    std::optional<net::timer_id> m_timer;
    steady_time m_timerDue;
};

} // namespace orchidlead::daemon
