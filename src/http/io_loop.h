#pragma once

#include "net/timer_heap.h"

#include <orchidlead/clock.h>

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace orchidlead::http {

using net::timer_id;

/// Event loop for sockets, timers and signals, on the thread that calls `run`.
class io_loop
{
public:
    explicit io_loop(const clock_source &clock);
    /// Creates a loop that shares the events and the thread of `parent`, and owns its own timers
    /// and tasks: those that are left when it is destroyed never run.
    explicit io_loop(io_loop &parent);
    ~io_loop();
    io_loop(const io_loop &) = delete;
    io_loop &operator=(const io_loop &) = delete;

    /// Handles events until `stop` is called.
    void run();
    /// Ends `run`. Must be called on the loop's thread.
    void stop();

    /// Runs `task` on the loop, after the current event.
    void post(std::function<void()> task);
    /// Runs `task` once after `delay`.
    timer_id callAfter(std::chrono::microseconds delay, std::function<void()> task);
    /// Has no effect if the timer has already expired.
    void cancelTimer(timer_id timer);
    /// Drops all timers and posted tasks of this loop. Objects that the tasks hold are destroyed.
    void discardTasks();
    /// Calls `handler` on the loop at each signal with this number.
    void onSignal(int signalNumber, std::function<void()> handler);

    [[nodiscard]] steady_time now() const { return m_clock.now(); }
    [[nodiscard]] const clock_source &clock() const { return m_clock; }
    [[nodiscard]] boost::asio::io_context &context();

private:
    class implementation;
    const clock_source &m_clock;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace orchidlead::http
