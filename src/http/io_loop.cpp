#include "http/io_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace orchidlead::http {

namespace asio = boost::asio;

namespace {

// A task that rearms its own timer with a zero delay must not run again in the same pass.
// Otherwise, sockets are never served on a simulated clock that stands still while tasks run.
constexpr std::chrono::microseconds MinDelay{1};
// The kernel timer is later than this only after a suspension of the machine, during which it does
// not advance; it is then rearmed. A busy loop delays it by less.
constexpr milliseconds MaxTimerLateness{1000};

} // namespace

// All timers share one kernel timer, which is rearmed only for an earlier time: most timers are
// cancelled before they expire, and each rearming is a system call.
// Handlers that wait in the context hold weak references, because the context may outlive the loop.
class io_loop::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(const clock_source &clock, std::shared_ptr<asio::io_context> context)
        : m_clock(clock)
        , m_context(std::move(context))
        , m_timer(*m_context)
    { }

    timer_id add(std::chrono::microseconds delay, std::function<void()> task)
    {
        const auto due = m_clock.now() + std::max(delay, MinDelay);
        const auto id = m_heap.add(due, std::move(task));
        armTimer();
        return id;
    }
    void cancel(timer_id timer) { m_heap.cancel(timer); }

    void post(std::function<void()> task)
    {
        m_posted.push_back(std::move(task));
        asio::post(*m_context, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->runPosted();
        });
    }

    // Tasks may own objects that use this loop when they are destroyed, so they are moved out
    // first. Some of these objects add tasks.
    void discardTasks()
    {
        while (m_heap.size() > 0 || !m_posted.empty()) {
            const auto timers = m_heap.takeAll();
            const auto posted = std::exchange(m_posted, {});
        }
    }

    void addSignalHandler(int signalNumber, std::function<void()> handler)
    {
        m_signals.push_back(std::make_unique<asio::signal_set>(*m_context, signalNumber));
        waitForSignal(*m_signals.back(), std::move(handler));
    }

    [[nodiscard]] const std::shared_ptr<asio::io_context> &context() const { return m_context; }

private:
    void armTimer()
    {
        const auto next = m_heap.next();
        const auto now = m_clock.now();
        const bool overdue = m_armedFor && *m_armedFor + MaxTimerLateness < now;
        if (!next || m_runningTasks || (m_armedFor && *m_armedFor <= *next && !overdue))
            return;
        m_armedFor = next;
        // Relative to now: the timer's own clock may be behind the loop's clock, which includes
        // suspensions.
        m_timer.expires_after(std::max(*next - now, steady_time::duration::zero()));
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self)
                self->runDueTasks();
        });
    }

    // Each call was posted for one task; there are fewer tasks after `discardTasks`.
    void runPosted()
    {
        if (m_posted.empty())
            return;
        const auto task = std::move(m_posted.front());
        m_posted.pop_front();
        task();
    }

    void runDueTasks()
    {
        m_armedFor.reset();
        m_runningTasks = true;
        const auto now = m_clock.now();
        while (auto task = m_heap.takeDue(now))
            task();
        m_runningTasks = false;
        armTimer();
    }

    static void waitForSignal(asio::signal_set &signals, std::function<void()> handler)
    {
        signals.async_wait([&signals, handler = std::move(handler)](
                               const boost::system::error_code &error, int /*number*/) {
            if (error)
                return;
            handler();
            waitForSignal(signals, handler);
        });
    }

    const clock_source &m_clock;
    std::shared_ptr<asio::io_context> m_context;
    asio::steady_timer m_timer;
    net::timer_heap m_heap;
    std::deque<std::function<void()>> m_posted;
    std::optional<steady_time> m_armedFor;
    bool m_runningTasks = false;
    std::vector<std::unique_ptr<asio::signal_set>> m_signals;
};

io_loop::io_loop(const clock_source &clock)
    : m_clock(clock)
    , m_implementation(
          std::make_shared<implementation>(clock, std::make_shared<asio::io_context>(1)))
{ }

io_loop::io_loop(io_loop &parent)
    : m_clock(parent.m_clock)
    , m_implementation(
          std::make_shared<implementation>(m_clock, parent.m_implementation->context()))
{ }

io_loop::~io_loop()
{
    discardTasks();
}

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
    m_implementation->post(std::move(task));
}

timer_id io_loop::callAfter(std::chrono::microseconds delay, std::function<void()> task)
{
    return m_implementation->add(delay, std::move(task));
}

void io_loop::cancelTimer(timer_id timer)
{
    m_implementation->cancel(timer);
}

void io_loop::discardTasks()
{
    m_implementation->discardTasks();
}

void io_loop::onSignal(int signalNumber, std::function<void()> handler)
{
    m_implementation->addSignalHandler(signalNumber, std::move(handler));
}

asio::io_context &io_loop::context()
{
    return *m_implementation->context();
}

} // namespace orchidlead::http
