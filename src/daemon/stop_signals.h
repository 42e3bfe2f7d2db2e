#pragma once

#include <functional>
#include <thread>

namespace orchidlead::daemon {

/// Blocks SIGTERM and SIGINT in the calling thread and in all that it starts; to be called before
/// the first thread is started.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT on a thread of its own, which may take its time and may lock.
class stop_signals
{
public:
    /// `onSignal` is called on the waiting thread, for each signal.
    explicit stop_signals(std::function<void()> onSignal);
    ~stop_signals();
    stop_signals(const stop_signals &) = delete;
    stop_signals &operator=(const stop_signals &) = delete;

private:
    std::thread m_thread;
};

} // namespace orchidlead::daemon
