#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/result.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct lws_context;

namespace orchidlead::net {

/// Says what the operating system or libwebsockets refused.
struct net_error
{
    std::string what;
};

using timer_id = std::uint64_t;

/// Runs one libwebsockets context on the calling thread.
///
/// Everything in `net` is called on that thread, but for `post` and `stop`.
class event_loop
{
public:
    [[nodiscard]] static result<std::unique_ptr<event_loop>, net_error> create();
    virtual ~event_loop() = default;

    /// Serves events until `stop`.
    virtual void run() = 0;
    /// Ends `run`; may be called from any thread and from a signal handler.
    virtual void stop() = 0;
    /// Runs `task` on the loop's thread soon; may be called from any thread.
    virtual void post(std::function<void()> task) = 0;

    /// Runs `task` once after `delay`.
    virtual timer_id callAfter(std::chrono::microseconds delay, std::function<void()> task) = 0;
    /// Does nothing when the timer has already run.
    virtual void cancelTimer(timer_id timer) = 0;

    [[nodiscard]] virtual lws_context *context() = 0;
};

} // namespace orchidlead::net
