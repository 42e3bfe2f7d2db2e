#include "standins/engine_work.h"
#include "standins/manual_loop.h"
#include "standins/stage_work.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::standins;
using namespace std::chrono_literals;

namespace {

struct counted_work
{
    int started = 0;
    int tokens = 0;
    int done = 0;
    int late = 0;
    steady_time endedAt;
};

work_item makeItem(counted_work &counted, const clock_source &clock)
{
    work_item item;
    item.onStart = [&counted] { ++counted.started; };
    item.onToken = [&counted] { ++counted.tokens; };
    item.onEnd = [&counted, &clock](work_end end) {
        ++(end == work_end::Done ? counted.done : counted.late);
        counted.endedAt = clock.now();
    };
    return item;
}

stage_work_options twoAtATime()
{
    stage_work_options options;
    options.base = 10ms;
    options.perKib = 0ms;
    options.sigma = 0.0;
    options.capacity = 2;
    options.queue = 1;
    return options;
}

engine_work_options plainEngine()
{
    engine_work_options options;
    options.baseStep = 10ms;
    options.perSequence = 2ms;
    options.perPromptToken = 1ms;
    options.capacity = 4;
    return options;
}

} // namespace

TEST_CASE("a stage runs as many pieces as it has room for and refuses beyond its queue")
{
    manual_clock clock;
    manual_loop loop(clock);
    stage_work work(loop, clock, twoAtATime(), 1);
    counted_work counted;
    for (int i = 0; i < 3; ++i)
        CHECK(work.submit(makeItem(counted, clock)).has_value());
    CHECK_FALSE(work.submit(makeItem(counted, clock)).has_value());
    CHECK(counted.started == 2);
    CHECK(work.load().queued == 1);
    loop.advance(10ms);
    CHECK(counted.done == 2);
    CHECK(counted.started == 3);
    loop.advance(10ms);
    CHECK(counted.done == 3);
}

TEST_CASE("a stage doesn't begin work whose deadline passed in its queue")
{
    manual_clock clock;
    manual_loop loop(clock);
    stage_work work(loop, clock, twoAtATime(), 1);
    counted_work first;
    counted_work late;
    CHECK(work.submit(makeItem(first, clock)).has_value());
    CHECK(work.submit(makeItem(first, clock)).has_value());
    work_item item = makeItem(late, clock);
    item.deadline = clock.now() + 5ms;
    CHECK(work.submit(std::move(item)).has_value());
    loop.advance(50ms);
    CHECK(late.started == 0);
    CHECK(late.late == 1);
}

TEST_CASE("cancelled work makes room and reports nothing more")
{
    manual_clock clock;
    manual_loop loop(clock);
    stage_work work(loop, clock, twoAtATime(), 1);
    counted_work cancelled;
    counted_work others;
    const auto id = work.submit(makeItem(cancelled, clock));
    CHECK(work.submit(makeItem(others, clock)).has_value());
    CHECK(work.submit(makeItem(others, clock)).has_value());
    work.cancel(id.value_or(0));
    CHECK(others.started == 2);
    loop.advance(20ms);
    CHECK(cancelled.done == 0);
    CHECK(others.done == 2);
}

TEST_CASE("an engine makes one token for every sequence in a step that grows with the batch")
{
    manual_clock clock;
    manual_loop loop(clock);
    engine_work work(loop, clock, plainEngine());
    counted_work alone;
    work_item item = makeItem(alone, clock);
    item.tokens = 10;
    const steady_time start = clock.now();
    CHECK(work.submit(std::move(item)).has_value());
    loop.advance(1s);
    CHECK(alone.tokens == 10);
    CHECK(alone.endedAt - start == 100ms);

    counted_work three;
    const steady_time again = clock.now();
    for (int i = 0; i < 3; ++i) {
        work_item one = makeItem(three, clock);
        one.tokens = 10;
        CHECK(work.submit(std::move(one)).has_value());
    }
    loop.advance(1s);
    CHECK(three.done == 3);
    // The first step has the first sequence alone; then there are three, and at last two.
    CHECK(three.endedAt - again == 10ms + 9 * 14ms + 12ms);
}

TEST_CASE("an engine's high priority joins the batch before what waited longer")
{
    manual_clock clock;
    manual_loop loop(clock);
    engine_work_options options = plainEngine();
    options.capacity = 1;
    engine_work work(loop, clock, options);
    counted_work running;
    counted_work low;
    counted_work high;
    CHECK(work.submit(makeItem(running, clock)).has_value());
    work_item lowItem = makeItem(low, clock);
    lowItem.priority = priority::Low;
    CHECK(work.submit(std::move(lowItem)).has_value());
    work_item highItem = makeItem(high, clock);
    highItem.priority = priority::High;
    CHECK(work.submit(std::move(highItem)).has_value());
    loop.advance(10ms);
    CHECK(high.started == 1);
    CHECK(low.started == 0);
}

TEST_CASE("a prompt whose beginning is cached needs less prefill")
{
    manual_clock clock;
    manual_loop loop(clock);
    engine_work work(loop, clock, plainEngine());
    const auto timeOf = [&](const std::string &prompt) {
        counted_work counted;
        work_item item = makeItem(counted, clock);
        item.prompt = prompt;
        item.tokens = 1;
        const steady_time start = clock.now();
        CHECK(work.submit(std::move(item)).has_value());
        loop.advance(10s);
        CHECK(counted.done == 1);
        return counted.endedAt - start;
    };
    const std::string archive(4 * prefix_cache::BlockBytes, 'a');
    const auto first = timeOf(archive);
    const auto second = timeOf(archive);
    CHECK(first == 10ms + 256 * 1ms);
    CHECK(second == 10ms);
}

TEST_CASE("a prefix cache evicts what was used longest ago and reports it")
{
    prefix_cache cache(2);
    const std::string a(prefix_cache::BlockBytes, 'a');
    const std::string b(prefix_cache::BlockBytes, 'b');
    const std::string c(prefix_cache::BlockBytes, 'c');
    CHECK(cache.use(a) == 0);
    CHECK(cache.use(b) == 0);
    CHECK(cache.use(a) == a.size());
    CHECK(cache.use(c) == 0);
    CHECK(cache.use(a) == a.size());
    CHECK(cache.use(b) == 0);
    const auto events = cache.eventsAfter(0);
    REQUIRE(events.size() == 6);
    CHECK_FALSE(events[3].stored == events[2].stored);
}
