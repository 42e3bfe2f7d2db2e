#include "gateway/stages/stage_progress.h"

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

request_metadata makeMetadata(std::vector<std::uint32_t> counts)
{
    request_metadata metadata;
    metadata.attempt = "r1";
    metadata.pieceKey = "key";
    metadata.pieceCounts = std::move(counts);
    return metadata;
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
    auto progress = stage_progress::create(makeRoute(), makeMetadata({1, 2, 1}));
    REQUIRE(progress);
    const auto ready = progress->takeReadyPieces(NoTime);
    REQUIRE(ready.size() == 3);
    CHECK(ready[0].request.key == "key");
    CHECK(progress->takeReadyPieces(NoTime).empty());
    progress->onResult(1, 0, "h/0");
    CHECK(progress->takeReadyPieces(NoTime).empty());
    progress->onResult(1, 1, "h/1");
    const auto next = progress->takeReadyPieces(NoTime);
    REQUIRE(next.size() == 1);
    CHECK(next[0].service.value == "second");
    CHECK(next[0].request.inputs == std::vector<std::string>{"h/0", "h/1"});
    CHECK_FALSE(next[0].request.key);
}

TEST_CASE("the request's inputs are the results of the stages without dependents")
{
    auto progress = stage_progress::create(makeRoute(), makeMetadata({1, 1, 1}));
    (void)progress->takeReadyPieces(NoTime);
    progress->onResult(0, 0, "b/0");
    progress->onResult(1, 0, "f/0");
    (void)progress->takeReadyPieces(NoTime);
    CHECK_FALSE(progress->done());
    progress->onResult(2, 0, "s/0");
    CHECK(progress->done());
    CHECK(progress->inputs() == std::vector<std::string>{"b/0", "s/0"});
    CHECK(progress->largest()->handle == "b/0");
    CHECK(progress->largest()->bytes == 1000);
}

TEST_CASE("results are no longer needed once every dependent stage is complete")
{
    auto progress = stage_progress::create(makeRoute(), makeMetadata({1, 1, 1}));
    (void)progress->takeReadyPieces(NoTime);
    progress->onResult(1, 0, "f/0");
    CHECK(progress->takeUnneededHandles().empty());
    progress->onResult(2, 0, "s/0");
    CHECK(progress->takeUnneededHandles() == std::vector<std::string>{"f/0"});
    CHECK(progress->takeUnneededHandles().empty());
    CHECK(progress->allHandles() == std::vector<std::string>{"s/0"});
}

TEST_CASE("stages without pieces are done from the start")
{
    auto progress = stage_progress::create(makeRoute(), makeMetadata({0, 0, 0}));
    REQUIRE(progress);
    CHECK(progress->done());
    CHECK(progress->inputs().empty());
}

TEST_CASE("piece counts or dependencies that don't match the route's stages are rejected")
{
    CHECK_FALSE(stage_progress::create(makeRoute(), makeMetadata({1, 1})));
    CHECK_FALSE(stage_progress::create(makeRoute(), makeMetadata({1, 1, 4'000'000'000})));
    auto stagedRoute = makeRoute();
    stagedRoute.stages[2].after = {9};
    CHECK_FALSE(stage_progress::create(stagedRoute, makeMetadata({1, 1, 1})));
}

TEST_CASE("after a restart all pieces are submitted again")
{
    auto progress = stage_progress::create(makeRoute(), makeMetadata({0, 1, 1}));
    (void)progress->takeReadyPieces(NoTime);
    progress->onResult(1, 0, "f/0");
    progress->restart();
    CHECK_FALSE(progress->done());
    CHECK(progress->takeReadyPieces(NoTime).size() == 1);
    CHECK(progress->allHandles().empty());
}

TEST_CASE("a stage without dependents is deferred until the remaining stages take no longer")
{
    auto progress = stage_progress::create(makeRoute(), makeMetadata({2, 1, 1}));
    const auto times = makeTimes({300, 100, 400});
    const auto first = progress->takeReadyPieces(times);
    REQUIRE(first.size() == 1);
    CHECK(first[0].service.value == "first");
    progress->onResult(1, 0, "h/0");
    const auto rest = progress->takeReadyPieces(times);
    REQUIRE(rest.size() == 3);
    CHECK(rest[0].service.value == "big");
    CHECK(rest[2].service.value == "second");
}

TEST_CASE("a stage that takes longer than the remaining stages starts at once")
{
    auto progress = stage_progress::create(makeRoute(), makeMetadata({1, 1, 1}));
    CHECK(progress->takeReadyPieces(makeTimes({500, 100, 400})).size() == 2);
}

TEST_CASE("a stage without pieces doesn't defer others")
{
    auto progress = stage_progress::create(makeRoute(), makeMetadata({1, 1, 0}));
    CHECK(progress->takeReadyPieces(makeTimes({300, 100, 400})).size() == 2);
}

// Guards against pieces that are computed from an empty key as the stages before them are omitted.
TEST_CASE("pieces behind an omitted stage have no key, and the inputs of the other stages before")
{
    route stagedRoute;
    stagedRoute.stages = {makeStage("a", {}, 10), makeStage("b", {}, 10), makeStage("c", {0}, 10),
                          makeStage("d", {0, 1}, 10)};
    auto progress = stage_progress::create(stagedRoute, makeMetadata({0, 1, 1, 1}));
    REQUIRE(progress);
    const auto first = progress->takeReadyPieces(NoTime);
    REQUIRE(first.size() == 2);
    CHECK(first[0].service.value == "b");
    CHECK(first[0].request.key == "key");
    CHECK(first[1].service.value == "c");
    CHECK_FALSE(first[1].request.key);
    CHECK(first[1].request.inputs.empty());
    progress->onResult(1, 0, "b/0");
    const auto last = progress->takeReadyPieces(NoTime);
    REQUIRE(last.size() == 1);
    CHECK_FALSE(last[0].request.key);
    CHECK(last[0].request.inputs == std::vector<std::string>{"b/0"});
}

// Guards against a request that is given the results of stages that others follow, or only some of
// the others, where stages are omitted.
TEST_CASE("the request's inputs are those of the last stages, whichever stage is omitted")
{
    const std::size_t omitted = GENERATE(as<std::size_t>{}, 0, 1, 2);
    CAPTURE(omitted);
    route stagedRoute;
    stagedRoute.stages = {makeStage("a", {}, 10), makeStage("b", {0}, 10), makeStage("c", {1}, 10)};
    std::vector<std::uint32_t> counts(3, 1);
    counts[omitted] = 0;
    auto progress = stage_progress::create(stagedRoute, makeMetadata(counts));
    REQUIRE(progress);
    while (!progress->done()) {
        const auto ready = progress->takeReadyPieces(NoTime);
        REQUIRE_FALSE(ready.empty());
        for (const auto &each : ready)
            progress->onResult(each.request.stage, each.request.piece, each.service.value + "/0");
    }
    const auto expected =
        omitted == 2 ? std::vector<std::string>{} : std::vector<std::string>{"c/0"};
    CHECK(progress->inputs() == expected);
}
