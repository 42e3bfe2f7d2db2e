#include "bench/experiment_summary.h"
#include "bench/suite_targets.h"

#include <catch2/catch.hpp>

#include <string>

namespace orchidlead::bench {
namespace {

using standins::caller_end;
using standins::caller_record;
using standins::run_end;
using standins::run_record;

const steady_time Start{std::chrono::hours{24}};

/// Adds a request that began at `at` and took `took`, with one engine run of the same length.
void addRequest(experiment_record &record, milliseconds at, milliseconds took, caller_end end)
{
    caller_record request;
    request.nonce = std::to_string(record.requests.size());
    request.customer = "narva";
    request.deadline = milliseconds{1000};
    request.begun = Start + at;
    request.ended = request.begun + took;
    request.end = end;
    request.stages.push_back({"generate", "runners-1", 1, 0, 0, 0, 0, 0});
    run_record run;
    run.server = "runners-1";
    run.nonce = request.nonce;
    run.attempt = 1;
    run.arrived = request.begun;
    run.started = request.begun;
    run.ended = request.ended;
    run.end = run_end::Answered;
    record.requests.push_back(request);
    record.runs.push_back(run);
}

/// A run of ten seconds, disturbed from 4 to 6: a request each 100 ms; those that begin before
/// `missedUntil` and after the disturbance's start come too late.
experiment_record madeRecord(milliseconds missedUntil)
{
    experiment_record record;
    record.startedAt = Start;
    record.setup.user = "vilistlasvork";
    record.setup.policy = "product";
    record.setup.what.name = "vm_killed";
    record.setup.what.length = milliseconds{10000};
    record.setup.what.disturbedFrom = milliseconds{4000};
    record.setup.what.disturbedTo = milliseconds{6000};
    for (milliseconds at{0}; at < record.setup.what.length; at += milliseconds{100}) {
        const bool missed = at >= record.setup.what.disturbedFrom && at < missedUntil;
        addRequest(record, at, milliseconds{missed ? 1200 : 200}, caller_end::Answered);
    }
    return record;
}

TEST_CASE("Attainment, cost and what was spent in vain are counted where they belong")
{
    const auto summary = summarise(madeRecord(milliseconds{5000}));
    CHECK(summary.sent == 20);
    CHECK(summary.attained == 10);
    CHECK(summary.attainmentBefore == Approx(1.0));
    CHECK(summary.busyMs == Approx(10 * 1200 + 90 * 200));
    CHECK(summary.missedCostShare() == Approx(12000.0 / 30000.0));
    CHECK(summary.cost() == Approx(300.0));
    CHECK(summary.refusalWait == Approx(1.2));
    CHECK(summary.attemptsPerFirstTry() == Approx(1.0));
}

TEST_CASE("Recovery is counted to the last window with too many misses")
{
    CHECK(summarise(madeRecord(milliseconds{5000})).recovery == milliseconds{0});
    CHECK(summarise(madeRecord(milliseconds{8000})).recovery == milliseconds{2000});
    auto within = madeRecord(milliseconds{5000});
    within.setup.what.recoversWithin = true;
    CHECK(summarise(within).recovery == milliseconds{1000});
}

TEST_CASE("A target is judged by the median, and only where there are runs")
{
    auto good = summarise(madeRecord(milliseconds{4000}));
    auto bad = summarise(madeRecord(milliseconds{5000}));
    bad.recovery = milliseconds{9000};
    good.recovery = milliseconds{1000};
    const auto targets = judgeTargets({good, bad, good});
    REQUIRE(targets.size() == 1);
    CAPTURE(targets[0].value);
    CHECK(targets[0].name == "vilistlasvork entry VM killed: seconds until attainment is back");
    CHECK(targets[0].met);
    CHECK_FALSE(judgeTargets({bad})[0].met);
}

} // namespace
} // namespace orchidlead::bench
