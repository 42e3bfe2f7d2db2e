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

/// Two consecutive stages, and an independent one.
route makeRoute()
{
    route stagedRoute;
    stagedRoute.stages = {makeStage("big", {}, 1000), makeStage("first", {}, 10),
                          makeStage("second", {1}, 20)};
    return stagedRoute;
}

request_marks makeMarks(std::vector<std::uint32_t> counts)
{
    request_marks marks;
    marks.attempt = "r1";
    marks.pieceKey = "key";
    marks.pieceCounts = std::move(counts);
    return marks;
}

/// Stage times of zero, with which no stage is deferred.
const std::vector<std::chrono::microseconds> NoTime(4, std::chrono::microseconds{0});

std::vector<std::chrono::microseconds> makeTimes(std::vector<int> milliseconds)
{
    std::vector<std::chrono::microseconds> times;
    for (const int each : milliseconds)
        times.emplace_back(std::chrono::milliseconds{each});
    return times;
}

} // namespace

TEST_CASE("pieces without inputs are ready first with the key, others once inputs are complete")
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

TEST_CASE("the request's inputs are the results of the stages without dependents")
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

TEST_CASE("results are no longer needed once every dependent stage is complete")
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

TEST_CASE("stages without pieces are done from the start")
{
    auto work = stage_work::create(makeRoute(), makeMarks({0, 0, 0}));
    REQUIRE(work);
    CHECK(work->done());
    CHECK(work->inputs().empty());
}

TEST_CASE("piece counts or dependencies that don't match the route's stages are rejected")
{
    CHECK_FALSE(stage_work::create(makeRoute(), makeMarks({1, 1})));
    CHECK_FALSE(stage_work::create(makeRoute(), makeMarks({1, 1, 4'000'000'000})));
    auto stagedRoute = makeRoute();
    stagedRoute.stages[2].after = {9};
    CHECK_FALSE(stage_work::create(stagedRoute, makeMarks({1, 1, 1})));
}

TEST_CASE("after a restart all pieces are submitted again")
{
    auto work = stage_work::create(makeRoute(), makeMarks({0, 1, 1}));
    (void)work->takeReady(NoTime);
    work->onResult(1, 0, "f/0");
    work->restart();
    CHECK_FALSE(work->done());
    CHECK(work->takeReady(NoTime).size() == 1);
    CHECK(work->allHandles().empty());
}

TEST_CASE("a stage without dependents is deferred until the remaining stages take no longer")
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

TEST_CASE("a stage that takes longer than the remaining stages starts at once")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 1, 1}));
    CHECK(work->takeReady(makeTimes({500, 100, 400})).size() == 2);
}

TEST_CASE("a stage without pieces doesn't defer others")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 1, 0}));
    CHECK(work->takeReady(makeTimes({300, 100, 400})).size() == 2);
}
