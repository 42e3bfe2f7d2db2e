#include "daemon/stop_signals.h"

#include <pthread.h>

#include <csignal>
#include <utility>

namespace orchidlead::daemon {

namespace {

// Wakes the waiting thread at the end; of no other use here.
constexpr int EndSignal = SIGUSR1;

sigset_t waitedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, EndSignal);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const sigset_t signals = waitedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

stop_signals::stop_signals(std::function<void()> onSignal)
    : m_thread([handler = std::move(onSignal)] {
        const sigset_t signals = waitedSignals();
        for (;;) {
            int received = 0;
            if (sigwait(&signals, &received) != 0 || received == EndSignal)
                return;
            handler();
        }
    })
{ }

stop_signals::~stop_signals()
{
    pthread_kill(m_thread.native_handle(), EndSignal);
    m_thread.join();
}

} // namespace orchidlead::daemon
