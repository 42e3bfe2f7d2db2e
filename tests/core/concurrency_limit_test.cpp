#include <orchidlead/concurrency_limit.h>

#include <catch2/catch.hpp>

using namespace orchidlead;

TEMPLATE_TEST_CASE("a fully used limit grows and shrinks when the server refuses", "", aimd_limit,
                   gradient_limit)
{
    TestType limit;
    steady_time now{std::chrono::hours{1}};
    const std::uint32_t start = limit.limit();
    for (int answer = 0; answer < 1'000; ++answer) {
        now += milliseconds{10};
        limit.onAnswer(std::chrono::microseconds{10'000}, limit.limit(), now);
    }
    const std::uint32_t grown = limit.limit();
    CHECK(grown > 2 * start);
    for (int refusal = 0; refusal < 100; ++refusal) {
        now += milliseconds{20};
        limit.onRefused(limit.limit(), now);
    }
    CHECK(limit.limit() == 1);
}

TEMPLATE_TEST_CASE("refusals within one cooldown reduce the limit once", "", aimd_limit,
                   gradient_limit)
{
    TestType limit;
    const steady_time now{std::chrono::hours{1}};
    limit.onRefused(limit.limit(), now);
    const std::uint32_t once = limit.limit();
    for (int refusal = 0; refusal < 20; ++refusal)
        limit.onRefused(limit.limit(), now);
    CHECK(limit.limit() == once);
}

TEMPLATE_TEST_CASE("a limit shrinks when the latency rises far above its long-term value", "",
                   aimd_limit, gradient_limit)
{
    TestType limit;
    steady_time now{std::chrono::hours{1}};
    for (int answer = 0; answer < 500; ++answer) {
        now += milliseconds{10};
        limit.onAnswer(std::chrono::microseconds{10'000}, limit.limit(), now);
    }
    const std::uint32_t before = limit.limit();
    for (int answer = 0; answer < 40; ++answer) {
        now += milliseconds{100};
        limit.onAnswer(std::chrono::microseconds{100'000}, limit.limit(), now);
    }
    CAPTURE(before, limit.limit());
    CHECK(limit.limit() < before);
}

TEST_CASE("a refusal cuts a barely used limit to the number of outstanding attempts")
{
    aimd_limit limit;
    steady_time now{std::chrono::hours{1}};
    for (int answer = 0; answer < 1'000; ++answer) {
        now += milliseconds{10};
        limit.onAnswer(std::chrono::microseconds{10'000}, limit.limit(), now);
    }
    limit.onRefused(4, now);
    CHECK(limit.limit() <= 4);
}

TEST_CASE("a reported queue at the server shrinks the limit")
{
    aimd_limit limit;
    const std::uint32_t before = limit.limit();
    limit.onReport(8, 1, steady_time{std::chrono::hours{1}});
    CHECK(limit.limit() == before);
    limit.onReport(8, 8, steady_time{std::chrono::hours{1}});
    CHECK(limit.limit() < before);
}
