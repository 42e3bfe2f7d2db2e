#include "daemon/node_shell.h"

#include <algorithm>
#include <utility>

namespace orchidlead::daemon {

node_shell::node_shell(net::event_loop &loop, net::http_client &client, const clock_source &clock,
                       const node_shell_options &options, std::uint64_t seed, node_hooks hooks)
    : m_loop(loop)
    , m_clock(clock)
    , m_node(options.node, clock, seed)
    , m_backends(loop, client, clock, backendEvents(), options.backends)
    , m_loads(loop, client, clock, options.loadReports,
              [this](const load_report &report) { onLoad(report); })
    , m_hooks(std::move(hooks))
{ }

node_shell::~node_shell()
{
    if (m_timer)
        m_loop.cancelTimer(*m_timer);
}

wire::stage_client_events node_shell::backendEvents()
{
    wire::stage_client_events events;
    events.onSent = [this](const attempt_key &key) { m_node.onSent(key); };
    events.onAnswer = [this](const attempt_answer &answer) {
        feed([&](node_actions &out) { m_node.onAnswer(answer, out); });
    };
    events.onChunk = [this](wire::attempt_chunk chunk) {
        feed([&](node_actions &out) { m_node.onChunk(chunk.key, std::move(chunk.text), out); });
    };
    events.onFailure = [this](const wire::attempt_failed &failed) {
        if (failed.failure == attempt_failure::Leaving)
            m_hooks.onServerNews({failed.server, true});
        feed([&](node_actions &out) {
            m_node.onFailure(failed.key, failed.failure, failed.retryAfter, out);
        });
    };
    events.onLoad = [this](const load_report &report) {
        m_loads.onHeard(report.server);
        onLoad(report);
    };
    return events;
}

void node_shell::setConfiguration(configuration_ptr configuration)
{
    std::vector<backend_server> servers;
    for (const auto &pool : configuration->services)
        servers.insert(servers.end(), pool.servers.begin(), pool.servers.end());
    m_loads.setServers(servers);
    m_loads.start();
    feed([&](node_actions &out) { m_node.setConfiguration(std::move(configuration), out); });
}

// What was held back is late at worst: its deadline is checked again before the first byte.
void node_shell::setConfirmed(bool confirmed)
{
    if (std::exchange(m_confirmed, confirmed) || !confirmed)
        return;
    for (const auto &held : std::exchange(m_held, {}))
        perform(held);
}

request_id node_shell::submit(caller_request request, answer_sink sink)
{
    node_actions actions;
    request_id id = m_node.submit(std::move(request), actions);
    // The answer may be among the actions already, so the sink is in place before they are done.
    m_sinks.emplace(id, std::move(sink));
    carryOut(actions);
    scheduleWake();
    return id;
}

void node_shell::cancel(const request_id &request)
{
    feed([&](node_actions &out) { m_node.cancel(request, out); });
}

void node_shell::onLoad(const load_report &report)
{
    m_hooks.onServerNews({report.server, report.leaving});
    feed([&](node_actions &out) { m_node.onLoadReport(report, out); });
}

void node_shell::onHeard(const leaving_update &news)
{
    load_report report;
    report.server = news.server;
    report.leaving = news.leaving;
    feed([&](node_actions &out) { m_node.onLoadReport(report, out); });
}

void node_shell::setMembers(const members_updated &update)
{
    m_loads.setNodes(update.members.size());
    m_node.setMembers(update.members, update.vmListConfirmedAt);
}

void node_shell::onForwardAnswer(const request_id &request, final_answer answer)
{
    feed([&](node_actions &out) { m_node.onForwardAnswer(request, std::move(answer), out); });
}

void node_shell::onForwardFailed(const request_id &request, const std::string &detail)
{
    feed([&](node_actions &out) { m_node.onForwardFailed(request, detail, out); });
}

void node_shell::setReading(const request_id &request, bool reading)
{
    m_backends.setReading(request, reading);
}

void node_shell::carryOut(const node_actions &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &typed) { perform(typed); }, action);
}

void node_shell::perform(const send_attempt &action)
{
    m_hooks.detectPause();
    if (m_confirmed)
        m_backends.send(action, [this, key = action.key] { return mayDispatch(key); });
    else
        m_held.push_back(action);
}

bool node_shell::mayDispatch(const attempt_key &key)
{
    m_hooks.detectPause();
    return m_confirmed && m_node.mayDispatch(key);
}

void node_shell::perform(const cancel_attempt &action)
{
    const auto isCancelled = [&](const send_attempt &held) { return held.key == action.key; };
    if (std::erase_if(m_held, isCancelled) == 0)
        m_backends.cancel(action.key);
}

void node_shell::perform(const end_request &action)
{
    m_hooks.onEnded(action);
    const auto found = m_sinks.find(action.answer.request);
    if (found == m_sinks.end())
        return;
    const answer_sink sink = std::move(found->second);
    m_sinks.erase(found);
    sink.onAnswer(action.answer);
}

void node_shell::perform(const deliver_chunk &action)
{
    const auto found = m_sinks.find(action.request);
    if (found != m_sinks.end() && found->second.onChunk)
        found->second.onChunk(action.text);
}

void node_shell::perform(const log_decision &action)
{
    m_hooks.onDecision(action);
}

void node_shell::perform(const forward_call &action)
{
    m_hooks.forward(action);
}

void node_shell::scheduleWake()
{
    const auto due = m_node.nextWake();
    if (m_timer) {
        if (due && m_timerDue <= *due)
            return;
        m_loop.cancelTimer(*m_timer);
        m_timer.reset();
    }
    if (!due)
        return;
    const auto delay = std::max(*due - m_clock.now(), steady_time::duration::zero());
    m_timerDue = *due;
    m_timer =
        m_loop.callAfter(std::chrono::ceil<std::chrono::microseconds>(delay), [this] { wake(); });
}

void node_shell::wake()
{
    m_timer.reset();
    feed([&](node_actions &out) { m_node.tick(out); });
}

} // namespace orchidlead::daemon
