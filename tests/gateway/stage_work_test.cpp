#include "gateway/stage_work.h"

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

} // namespace

TEST_CASE("pieces without inputs are ready first, with the key; others when all inputs are there")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 2, 1}));
    REQUIRE(work);
    const auto ready = work->takeReady();
    REQUIRE(ready.size() == 3);
    CHECK(ready[0].request.key == "key");
    CHECK(work->takeReady().empty());
    work->onResult(1, 0, "h/0");
    CHECK(work->takeReady().empty());
    work->onResult(1, 1, "h/1");
    const auto next = work->takeReady();
    REQUIRE(next.size() == 1);
    CHECK(next[0].service.value == "second");
    CHECK(next[0].request.inputs == std::vector<std::string>{"h/0", "h/1"});
    CHECK(next[0].request.key.empty());
}

TEST_CASE("the request's inputs are the results of the stages that no other follows")
{
    auto work = stage_work::create(makeRoute(), makeMarks({1, 1, 1}));
    (void)work->takeReady();
    work->onResult(0, 0, "b/0");
    work->onResult(1, 0, "f/0");
    (void)work->takeReady();
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
    (void)work->takeReady();
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
    (void)work->takeReady();
    work->onResult(1, 0, "f/0");
    work->restart();
    CHECK_FALSE(work->done());
    CHECK(work->takeReady().size() == 1);
    CHECK(work->allHandles().empty());
}
