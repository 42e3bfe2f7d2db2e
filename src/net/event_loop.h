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

/// Describes a failed operation of the operating system or of libwebsockets.
struct net_error
{
    std::string what;
};

using timer_id = std::uint64_t;

/// Runs one libwebsockets context on the calling thread.
///
/// All functions in `net` must be called on that thread, except `post` and `stop`.
class event_loop
{
public:
    [[nodiscard]] static result<std::unique_ptr<event_loop>, net_error> create();
    virtual ~event_loop() = default;

    /// Handles events until `stop` is called.
    virtual void run() = 0;
    /// Makes `run` return; may be called from any thread and from a signal handler.
    virtual void stop() = 0;
    /// Schedules `task` on the loop's thread; may be called from any thread.
    virtual void post(std::function<void()> task) = 0;

    /// Runs `task` once after `delay`.
    virtual timer_id callAfter(std::chrono::microseconds delay, std::function<void()> task) = 0;
    /// Does nothing if the timer has already run.
    virtual void cancelTimer(timer_id timer) = 0;

    [[nodiscard]] virtual lws_context *context() = 0;
};

} // namespace orchidlead::net
