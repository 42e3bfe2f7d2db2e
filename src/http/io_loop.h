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

/// Runs sockets and timers on the calling thread.
class io_loop
{
public:
    explicit io_loop(const clock_source &clock);
    ~io_loop();
    io_loop(const io_loop &) = delete;
    io_loop &operator=(const io_loop &) = delete;

    /// Serves events until `stop`.
    void run();
    /// Ends `run`; called on the loop's thread.
    void stop();

    /// Runs `task` on the loop soon, after the event that is being handled.
    void post(std::function<void()> task);
    /// Runs `task` once after `delay`.
    timer_id callAfter(std::chrono::microseconds delay, std::function<void()> task);
    /// Does nothing when the timer has already run.
    void cancelTimer(timer_id timer);
    /// Calls `handler` for each signal of that number, on the loop.
    void onSignal(int number, std::function<void()> handler);

    [[nodiscard]] steady_time now() const { return m_clock.now(); }
    [[nodiscard]] const clock_source &clock() const { return m_clock; }
    [[nodiscard]] boost::asio::io_context &context();

private:
    class implementation;
    const clock_source &m_clock;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace orchidlead::http
