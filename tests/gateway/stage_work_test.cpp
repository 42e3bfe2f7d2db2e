#include "gateway/stages/stage_work.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

stage_spec makeStage(const std::string &service, std::vector<std::size_t> after, std::size_t bytes)
{
    return {service_id(service), std::move(after), bytes};
}

/// Two stages in a row beside one that stands alone.
route makeRoute()
{
    route way;
    way.stages = {makeStage("big", {}, 1000), makeStage("first", {}, 10),
                  makeStage("second", {1}, 20)};
    return way;
}

request_marks makeMarks(std::vector<std::uint32_t> counts)
{
    request_marks marks;
    marks.attempt = "r1";
    marks.pieceKey = "key";
    marks.pieceCounts = std::move(counts);
    return marks;
}

/// Stages that take no time: none is left until later.
const std::vector<std::chrono::microseconds> NoTime(4, std::chrono::microseconds{0});

std::vector<std::chrono::microseconds> makeTimes(std::vector<int> milliseconds)
{
    std::vector<std::chrono::microseconds> times;
    for (const int each : milliseconds)
        times.emplace_back(std::chrono::milliseconds{each});
    return times;
}

} // namespace

TEST_CASE("pieces without inputs are ready first, with the key; others when all inputs are there")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 2, 1}));
    REQUIRE(work);
    const auto ready = work->takeReady(NoTime);
    REQUIRE(ready.size() == 3);
    CHECK(ready[0].request.key == "key");
    CHECK(work->takeReady(NoTime).empty());
    work->onResult(1, 0, "h/0");
    CHECK(work->takeReady(NoTime).empty());
    work->onResult(1, 1, "h/1");
    const auto next = work->takeReady(NoTime);
    REQUIRE(next.size() == 1);
    CHECK(next[0].service.value == "second");
    CHECK(next[0].request.inputs == std::vector<std::string>{"h/0", "h/1"});
    CHECK(next[0].request.key.empty());
}

TEST_CASE("the request's inputs are the results of the stages that no other follows")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 1, 1}));
    (void)work->takeReady(NoTime);
    work->onResult(0, 0, "b/0");
    work->onResult(1, 0, "f/0");
    (void)work->takeReady(NoTime);
    CHECK_FALSE(work->done());
    work->onResult(2, 0, "s/0");
    CHECK(work->done());
    CHECK(work->inputs() == std::vector<std::string>{"b/0", "s/0"});
    CHECK(work->largest()->handle == "b/0");
    CHECK(work->largest()->bytes == 1000);
}

TEST_CASE("results are spent as soon as every stage that needs them is whole")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 1, 1}));
    (void)work->takeReady(NoTime);
    work->onResult(1, 0, "f/0");
    CHECK(work->takeSpent().empty());
    work->onResult(2, 0, "s/0");
    CHECK(work->takeSpent() == std::vector<std::string>{"f/0"});
    CHECK(work->takeSpent().empty());
    CHECK(work->allHandles() == std::vector<std::string>{"s/0"});
}

TEST_CASE("a stage without pieces is left out")
{
    auto work = stage_work::create(makeRoute(), makeMarks({0, 0, 0}));
    REQUIRE(work);
    CHECK(work->done());
    CHECK(work->inputs().empty());
}

TEST_CASE("counts that don't fit the route's stages are refused")
{
    CHECK_FALSE(stage_work::create(makeRoute(), makeMarks({1, 1})));
    CHECK_FALSE(stage_work::create(makeRoute(), makeMarks({1, 1, 4'000'000'000})));
    auto way = makeRoute();
    way.stages[2].after = {9};
    CHECK_FALSE(stage_work::create(way, makeMarks({1, 1, 1})));
}

TEST_CASE("after a loss all pieces are asked for again")
{
    auto work = stage_work::create(makeRoute(), makeMarks({0, 1, 1}));
    (void)work->takeReady(NoTime);
    work->onResult(1, 0, "f/0");
    work->restart();
    CHECK_FALSE(work->done());
    CHECK(work->takeReady(NoTime).size() == 1);
    CHECK(work->allHandles().empty());
}

TEST_CASE("a stage that only the request needs is left until what is to come takes no longer")
{
    auto work = stage_work::create(makeRoute(), makeMarks({2, 1, 1}));
    const auto times = makeTimes({300, 100, 400});
    const auto first = work->takeReady(times);
    REQUIRE(first.size() == 1);
    CHECK(first[0].service.value == "first");
    work->onResult(1, 0, "h/0");
    const auto rest = work->takeReady(times);
    REQUIRE(rest.size() == 3);
    CHECK(rest[0].service.value == "big");
    CHECK(rest[2].service.value == "second");
}

TEST_CASE("a stage that takes longer than all that is to come begins at once")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 1, 1}));
    CHECK(work->takeReady(makeTimes({500, 100, 400})).size() == 2);
}

TEST_CASE("a stage that is left out isn't waited for")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 1, 0}));
    CHECK(work->takeReady(makeTimes({300, 100, 400})).size() == 2);
}
