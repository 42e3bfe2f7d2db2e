#pragma once

#include "gateway/peers/connection_trial.h"
#include "gateway/peers/peer_network.h"
#include "gateway/peers/process_end_detector.h"

#include <functional>
#include <map>
#include <memory>

namespace orchidlead::gateway {

/// Carries out what `process_end_detector` decides.
class process_end_watcher
{
public:
    /// `onDecided` is called once for each watched process: with true if the process has ended,
    /// with false if this could not be found out. Never called within `watch`.
    process_end_watcher(http::io_loop &loop, peer_network &peers,
                        std::function<void(const peer_process &, bool hasEnded)> onDecided);

    /// Begins to find out whether a process whose link closed has ended.
    void watch(const peer_process &process);
    /// Call about every 100 ms.
    void tick();

private:
    void decide(const peer_process &process, bool hasEnded);

    http::io_loop &m_loop;
    peer_network &m_peers;
    std::function<void(const peer_process &, bool)> m_onDecided;
    process_end_detector m_detector;
    std::map<peer_process, std::unique_ptr<connection_trial>> m_trials;
};

} // namespace orchidlead::gateway
