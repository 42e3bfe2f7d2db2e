#include "http/io_loop.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace orchidlead;

namespace {

/// Clock that advances only on request, as on a simulated machine, where no time passes during
/// computation.
class frozen_clock final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override { return m_now; }
    [[nodiscard]] wall_time wallNow() const override { return {}; }
    void advance() { m_now += std::chrono::microseconds{10}; }

private:
    steady_time m_now = std::chrono::steady_clock::now();
};

} // namespace

TEST_CASE("a task that rearms its timer with a zero delay does not starve other tasks")
{
    frozen_clock clock;
    http::io_loop loop(clock);
    int runs = 0;
    int runsBeforeOther = 0;
    std::function<void()> rearm = [&] {
        constexpr int MaxRuns = 1000;
        if (++runs == 1)
            loop.post([&] { runsBeforeOther = runs; });
        if (runs < MaxRuns)
            loop.callAfter(std::chrono::microseconds{0}, rearm);
    };
    loop.callAfter(std::chrono::microseconds{0}, rearm);
    clock.advance();
    loop.context().run_for(std::chrono::milliseconds{50});
    INFO("runs " << runs);
    CHECK(runsBeforeOther == 1);
}

TEST_CASE("timers run in the order of their due times and cancelled timers do not run")
{
    const system_clock_source clock;
    http::io_loop loop(clock);
    std::string order;
    loop.callAfter(milliseconds{20}, [&] { order += 'b'; });
    loop.callAfter(milliseconds{5}, [&] { order += 'a'; });
    const auto cancelled = loop.callAfter(milliseconds{10}, [&] { order += 'x'; });
    loop.cancelTimer(cancelled);
    loop.context().run_for(std::chrono::milliseconds{60});
    CHECK(order == "ab");
}

TEST_CASE("a loop within another one leaves no timer or task behind when it is destroyed")
{
    const system_clock_source clock;
    http::io_loop parent(clock);
    int runs = 0;
    const auto held = std::make_shared<int>(0);
    auto inner = std::make_unique<http::io_loop>(parent);
    inner->callAfter(milliseconds{2}, [&runs, held] { ++runs; });
    inner->post([&runs, held] { ++runs; });
    parent.callAfter(milliseconds{10}, [&] { runs += 10; });
    CHECK(held.use_count() == 3);
    inner.reset();
    CHECK(held.use_count() == 1);
    parent.context().run_for(std::chrono::milliseconds{40});
    CHECK(runs == 10);
}

TEST_CASE("a loop within another one runs its timers and tasks with those of the other one")
{
    const system_clock_source clock;
    http::io_loop parent(clock);
    http::io_loop inner(parent);
    std::string order;
    inner.callAfter(milliseconds{15}, [&] { order += 'c'; });
    parent.callAfter(milliseconds{5}, [&] { order += 'b'; });
    inner.post([&] { order += 'a'; });
    parent.context().run_for(std::chrono::milliseconds{50});
    CHECK(order == "abc");
}

namespace {

/// Clock that jumps ahead of the system's steady clock, as the time since boot does during a
/// suspension.
class suspended_clock final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override
    {
        return std::chrono::steady_clock::now() + m_suspended;
    }
    [[nodiscard]] wall_time wallNow() const override { return {}; }
    void suspend(std::chrono::seconds time) { m_suspended += time; }

private:
    std::chrono::seconds m_suspended{0};
};

} // namespace

TEST_CASE("timers set after a suspension run on time and those due during it run immediately")
{
    suspended_clock clock;
    http::io_loop loop(clock);
    std::string order;
    loop.callAfter(std::chrono::seconds{30}, [&] { order += 'a'; });
    loop.callAfter(std::chrono::seconds{300}, [&] { order += 'x'; });
    clock.suspend(std::chrono::seconds{60});
    loop.callAfter(milliseconds{10}, [&] { order += 'b'; });
    loop.context().run_for(std::chrono::milliseconds{100});
    CHECK(order == "ab");
}
