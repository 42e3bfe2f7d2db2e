#include "gateway/peers/process_end_watcher.h"

#include <utility>

namespace orchidlead::gateway {

process_end_watcher::process_end_watcher(
    http::io_loop &loop, peer_network &peers,
    std::function<void(const peer_process &, bool hasEnded)> onDecided)
    : m_loop(loop)
    , m_peers(peers)
    , m_onDecided(std::move(onDecided))
    , m_detector(loop.clock(),
                 [&peers](const peer_process &process) { return peers.knowledgeOf(process); })
{ }

void process_end_watcher::watch(const peer_process &process)
{
    m_detector.onLinkClosed(process);
    m_loop.post([this] { tick(); });
}

void process_end_watcher::tick()
{
    const auto actions = m_detector.tick();
    for (const auto &each : actions.connects) {
        m_trials[each.process] =
            m_peers.tryConnect(each.address, [this, process = each.process](connect_result result) {
                const auto ended = m_trials.extract(process);
                m_detector.onConnectResult(process, result);
                tick();
            });
    }
    for (const auto &each : actions.pings)
        m_peers.ping(each);
    for (const auto &each : actions.ended)
        decide(each, true);
    for (const auto &each : actions.undecided)
        decide(each, false);
}

void process_end_watcher::decide(const peer_process &process, bool hasEnded)
{
    m_trials.erase(process);
    m_onDecided(process, hasEnded);
}

} // namespace orchidlead::gateway
