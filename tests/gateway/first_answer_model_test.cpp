#include "gateway/exchange/first_answer_model.h"
#include "gateway/exchange/latency_estimator.h"

#include <catch2/catch.hpp>

#include <random>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

using std::chrono::microseconds;

// Urgent requests and short ones of a deployment with uneven prompts: prompt tokens and median of
// the measured times.
constexpr std::uint32_t LongPrompt = 17'000;
constexpr microseconds LongTime = milliseconds{566};
constexpr std::uint32_t ShortPrompt = 1'500;
constexpr microseconds ShortTime = milliseconds{64};
const service_id Engine("engine");

/// Relative error of an estimate.
double errorOf(microseconds estimated, microseconds actual)
{
    return std::abs(static_cast<double>((estimated - actual).count()))
        / static_cast<double>(actual.count());
}

/// Records 30 requests, one of three with a long prompt, whose times deviate by up to 20 %.
void recordMixedRequests(latency_estimator &times)
{
    std::minstd_rand random(1);
    std::uniform_real_distribution<double> deviation(0.8, 1.2);
    for (int i = 0; i < 30; ++i) {
        const bool isLong = i % 3 == 0;
        const auto took = (isLong ? LongTime : ShortTime) * deviation(random);
        times.onFirstToken(Engine, isLong ? LongPrompt : ShortPrompt,
                           std::chrono::duration_cast<microseconds>(took));
    }
}

} // namespace

// Guards against one average for all sizes: stage results of long prompts were due 300 ms too late.
TEST_CASE("first_answer_model: after 30 mixed requests, the times of long and of short prompts are "
          "known within a quarter")
{
    manual_clock clock;
    latency_estimator bySize(clock);
    recordMixedRequests(bySize);
    CHECK(errorOf(bySize.firstAnswerTime(Engine, LongPrompt), LongTime) < 0.25);
    CHECK(errorOf(bySize.firstAnswerTime(Engine, ShortPrompt), ShortTime) < 0.25);

    latency_estimator single(clock, first_answer_kind::SingleAverage);
    recordMixedRequests(single);
    CHECK(errorOf(single.firstAnswerTime(Engine, LongPrompt), LongTime) > 0.25);
    CHECK(errorOf(single.firstAnswerTime(Engine, ShortPrompt), ShortTime) > 0.25);
}

TEST_CASE("first_answer_model: the prior determines the estimate before the first request")
{
    const first_answer_model model;
    CHECK(errorOf(model.expected(400), milliseconds{60}) < 1e-3);
    CHECK(errorOf(model.expected(17'000), milliseconds{475}) < 1e-3);
    CHECK(model.expected(0) == milliseconds{250});
}

TEST_CASE("first_answer_model: a changed speed is known after 60 requests")
{
    first_answer_model model;
    for (int i = 0; i < 60; ++i)
        model.onFirstAnswer(i % 2 == 0 ? LongPrompt : ShortPrompt, milliseconds{60});
    for (int i = 0; i < 60; ++i)
        model.onFirstAnswer(i % 2 == 0 ? LongPrompt : ShortPrompt,
                            i % 2 == 0 ? LongTime : ShortTime);
    CHECK(errorOf(model.expected(LongPrompt), LongTime) < 0.25);
    CHECK(errorOf(model.expected(ShortPrompt), ShortTime) < 0.25);
}

// Guards against a fit that is undefined, or grows without bound elsewhere, when all requests have
// one size.
TEST_CASE("first_answer_model: requests of a single size leave the estimate of other sizes bounded")
{
    first_answer_model model;
    for (int i = 0; i < 1000; ++i)
        model.onFirstAnswer(ShortPrompt, ShortTime);
    CHECK(errorOf(model.expected(ShortPrompt), ShortTime) < 0.1);
    CHECK(model.expected(LongPrompt) > milliseconds{200});
    CHECK(model.expected(LongPrompt) < milliseconds{900});
}

TEST_CASE("first_answer_model: no estimate is negative, or lower for a longer prompt")
{
    std::minstd_rand random(7);
    std::uniform_int_distribution<std::uint32_t> tokens(1, 30'000);
    std::uniform_int_distribution<int> time(0, 2'000);
    for (int run = 0; run < 50; ++run) {
        first_answer_model model;
        for (int i = 0; i < 20; ++i)
            model.onFirstAnswer(tokens(random), milliseconds{time(random)});
        // Long prompts that are answered at once, short ones late.
        model.onFirstAnswer(30'000, microseconds{0});
        model.onFirstAnswer(10, milliseconds{2'000});
        CHECK(model.fixedTime() >= microseconds{0});
        CHECK(model.expected(1) >= model.fixedTime());
        CHECK(model.expected(20'000) >= model.expected(1'000));
    }
}

TEST_CASE("first_answer_model: requests without a prompt have an average of their own")
{
    first_answer_model model;
    for (int i = 0; i < 100; ++i)
        model.onFirstAnswer(0, milliseconds{20});
    CHECK(model.expected(0) < milliseconds{25});
    CHECK(errorOf(model.expected(17'000), milliseconds{475}) < 1e-3);
}
