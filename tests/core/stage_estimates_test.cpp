#include "core/requests/stage_estimates.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using std::chrono::microseconds;

namespace {

/// A first stage, two parallel stages and a last one that joins them.
pipeline_plan diamond()
{
    pipeline_plan plan;
    plan.id = pipeline_id{"p"};
    for (const char *name : {"a", "b", "c", "d"}) {
        stage_plan stage;
        stage.id = stage_id{name};
        stage.service = service_id{name};
        plan.stages.push_back(stage);
    }
    plan.stages[1].inputs = {0};
    plan.stages[2].inputs = {0};
    plan.stages[3].inputs = {1, 2};
    return plan;
}

} // namespace

TEST_CASE("an estimated quantile is close to the exact one")
{
    latency_histogram histogram;
    for (int value = 1; value <= 1'000; ++value)
        histogram.observe(microseconds{value * 1'000});
    CHECK(histogram.quantile(0.5).count() == Approx(500'000).epsilon(0.1));
    CHECK(histogram.quantile(0.95).count() == Approx(950'000).epsilon(0.1));
}

TEST_CASE("recent observations outweigh old ones")
{
    latency_histogram histogram;
    for (int value = 0; value < 5'000; ++value)
        histogram.observe(microseconds{100'000});
    for (int value = 0; value < 1'500; ++value)
        histogram.observe(microseconds{10'000});
    CHECK(histogram.quantile(0.5).count() == Approx(10'000).epsilon(0.1));
}

TEST_CASE("the remaining time is that of the longest branch")
{
    const pipeline_plan plan = diamond();
    stage_estimates estimates;
    const int times[] = {10, 20, 50, 5};
    for (std::uint32_t stage = 0; stage < 4; ++stage) {
        for (int sample = 0; sample < 50; ++sample)
            estimates.observe(plan, stage, 0, milliseconds{times[stage]});
    }
    const auto toEnd = estimates.remainingTimes(plan, 0, 0.5);
    CHECK(toEnd[3].count() == Approx(5'000).epsilon(0.1));
    CHECK(toEnd[1].count() == Approx(25'000).epsilon(0.1));
    CHECK(toEnd[0].count() == Approx(65'000).epsilon(0.1));
}

TEST_CASE("large and small inputs have separate estimates")
{
    const pipeline_plan plan = diamond();
    stage_estimates estimates;
    const auto small = inputSizeClass(100);
    const auto large = inputSizeClass(1'000'000);
    CHECK(small < large);
    for (int sample = 0; sample < 50; ++sample) {
        estimates.observe(plan, 0, small, milliseconds{10});
        estimates.observe(plan, 0, large, milliseconds{1'000});
    }
    CHECK(estimates.quantile(plan, 0, small, 0.9) < milliseconds{15});
    CHECK(estimates.quantile(plan, 0, large, 0.1) > milliseconds{800});
}
