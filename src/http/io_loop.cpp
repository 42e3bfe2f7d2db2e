#include "http/io_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace orchidlead::http {

namespace asio = boost::asio;

namespace {

// A task that sets its own timer anew without a delay mustn't run again in the same turn: sockets
// would never be served where the clock stands still meanwhile.
constexpr std::chrono::microseconds LeastDelay{1};
// The kernel's timer is this late only where the machine was suspended: it stood still meanwhile,
// and is set anew. A loop that is merely busy is late by less.
constexpr milliseconds MostOverdue{1000};

} // namespace

// All timers share one of the kernel's, which is set again only for an earlier time: most timers
// are cancelled before they run, and each setting is a call into the kernel.
class io_loop::implementation
{
public:
    explicit implementation(const clock_source &clock)
        : m_clock(clock)
        , m_context(1)
        , m_timer(m_context)
    { }

    timer_id add(std::chrono::microseconds delay, std::function<void()> task)
    {
        const auto due = m_clock.now() + std::max(delay, LeastDelay);
        const auto id = m_heap.add(due, std::move(task));
        arm();
        return id;
    }
    void cancel(timer_id timer) { m_heap.cancel(timer); }

    void watch(int number, std::function<void()> handler)
    {
        m_signals.push_back(std::make_unique<asio::signal_set>(m_context, number));
        wait(*m_signals.back(), std::move(handler));
    }

    asio::io_context &context() { return m_context; }

private:
    void arm()
    {
        const auto next = m_heap.next();
        const auto now = m_clock.now();
        const bool overdue = m_armed && *m_armed + MostOverdue < now;
        if (!next || m_firing || (m_armed && *m_armed <= *next && !overdue))
            return;
        m_armed = next;
        // From now: the timer's own clock may be behind the loop's, which counts suspensions.
        m_timer.expires_after(std::max(*next - now, steady_time::duration::zero()));
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                fire();
        });
    }

    void fire()
    {
        m_armed.reset();
        m_firing = true;
        const auto now = m_clock.now();
        while (auto task = m_heap.takeDue(now))
            task();
        m_firing = false;
        arm();
    }

    static void wait(asio::signal_set &signals, std::function<void()> handler)
    {
        signals.async_wait([&signals, handler = std::move(handler)](
                               const boost::system::error_code &error, int /*number*/) {
            if (error)
                return;
            handler();
            wait(signals, handler);
        });
    }

    const clock_source &m_clock;
    asio::io_context m_context;
    asio::steady_timer m_timer;
    net::timer_heap m_heap;
    std::optional<steady_time> m_armed;
    bool m_firing = false;
    std::vector<std::unique_ptr<asio::signal_set>> m_signals;
};

io_loop::io_loop(const clock_source &clock)
    : m_clock(clock)
    , m_implementation(std::make_unique<implementation>(clock))
{ }

io_loop::~io_loop() = default;

void io_loop::run()
{
    auto guard = asio::make_work_guard(context());
    context().run();
}

void io_loop::stop()
{
    context().stop();
}

void io_loop::post(std::function<void()> task)
{
    asio::post(context(), std::move(task));
}

timer_id io_loop::callAfter(std::chrono::microseconds delay, std::function<void()> task)
{
    return m_implementation->add(delay, std::move(task));
}

void io_loop::cancelTimer(timer_id timer)
{
    m_implementation->cancel(timer);
}

void io_loop::onSignal(int number, std::function<void()> handler)
{
    m_implementation->watch(number, std::move(handler));
}

asio::io_context &io_loop::context()
{
    return m_implementation->context();
}

} // namespace orchidlead::http
