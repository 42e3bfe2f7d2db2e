#pragma once

#include "net/event_loop.h"

#include <orchidlead/clock.h>

#include <map>
#include <utility>

namespace orchidlead::standins {

/// Runs timers when the test moves its clock.
class manual_loop final : public net::event_loop
{
public:
    explicit manual_loop(manual_clock &clock)
        : m_clock(clock)
    { }

    void run() override { }
    void stop() override { }
    void post(std::function<void()> task) override { task(); }
    [[nodiscard]] lws_context *context() override { return nullptr; }

    net::timer_id callAfter(std::chrono::microseconds delay, std::function<void()> task) override
    {
        const net::timer_id id = ++m_last;
        m_timers.emplace(key{m_clock.now() + delay, id}, std::move(task));
        return id;
    }

    void cancelTimer(net::timer_id timer) override
    {
        std::erase_if(m_timers, [timer](const auto &entry) { return entry.first.second == timer; });
    }

    /// Moves the clock, stopping at each timer on the way.
    void advance(std::chrono::microseconds by)
    {
        const steady_time end = m_clock.now() + by;
        while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
            auto node = m_timers.extract(m_timers.begin());
            m_clock.advance(node.key().first - m_clock.now());
            node.mapped()();
        }
        m_clock.advance(end - m_clock.now());
    }

private:
    using key = std::pair<steady_time, net::timer_id>;

    manual_clock &m_clock;
    net::timer_id m_last = 0;
    std::map<key, std::function<void()>> m_timers;
};

} // namespace orchidlead::standins
