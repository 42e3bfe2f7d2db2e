#pragma once

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace orchidlead::net {

/// Time limit of a test that hangs.
inline constexpr std::chrono::seconds TestTimeout{20};

/// An event loop that can be run until a condition holds.
class test_loop
{
public:
    test_loop()
        : m_loop(std::move(event_loop::create()).value())
    { }

    event_loop &operator*() { return *m_loop; }
    event_loop *operator->() { return m_loop.get(); }

    /// Runs until `stop` is called; returns false after a time-out.
    bool run()
    {
        bool late = false;
        const auto guard = m_loop->callAfter(TestTimeout, [this, &late] {
            late = true;
            m_loop->stop();
        });
        m_loop->run();
        m_loop->cancelTimer(guard);
        return !late;
    }

    void runFor(std::chrono::milliseconds time)
    {
        m_loop->callAfter(time, [this] { m_loop->stop(); });
        m_loop->run();
    }

    /// Runs until `done` returns true, which is checked every 2 ms; returns false after a time-out.
    bool runUntil(const std::function<bool()> &done)
    {
        bool reached = false;
        std::function<void()> check = [&] {
            reached = done();
            if (reached)
                m_loop->stop();
            else
                m_loop->callAfter(std::chrono::milliseconds{2}, check);
        };
        const auto first = m_loop->callAfter(std::chrono::milliseconds{0}, check);
        run();
        m_loop->cancelTimer(first);
        return reached;
    }

private:
    std::unique_ptr<event_loop> m_loop;
};

/// The events reported by one call.
struct answer
{
    int status = 0;
    header_list headers;
    std::string body;
    std::optional<call_end> end;
};

/// Returns events that fill `into`, and call `whenEnded` at the end of the call.
inline call_events collect(answer &into, std::function<void()> whenEnded = {})
{
    call_events events;
    events.onHead = [&into](int status, const header_list &headers) {
        into.status = status;
        into.headers = headers;
    };
    events.onBody = [&into](std::string_view bytes) { into.body += bytes; };
    events.onEnd = [&into, whenEnded = std::move(whenEnded)](call_end end) {
        CHECK_FALSE(into.end.has_value());
        into.end = end;
        if (whenEnded)
            whenEnded();
    };
    return events;
}

/// Creates a server on a loopback port chosen by the system.
inline std::unique_ptr<http_server> serve(test_loop &loop, http_handler handler,
                                          http_server_options options = {})
{
    options.listen = {"127.0.0.1", 0};
    return std::move(http_server::create(*loop, options, std::move(handler))).value();
}

inline http_call callTo(std::uint16_t port, std::string body = {})
{
    http_call call;
    call.address = {"127.0.0.1", port};
    call.path = "/run";
    call.body = std::move(body);
    return call;
}

/// Makes one call and runs the loop until it has ended.
inline answer callAndWait(test_loop &loop, http_call call)
{
    const auto client = http_client::create(*loop);
    answer got;
    client->start(std::move(call), collect(got, [&loop] { loop->stop(); }));
    loop.run();
    return got;
}

} // namespace orchidlead::net
