#include "bench/experiment_summary.h"

#include <algorithm>
#include <unordered_map>

namespace orchidlead::bench {

namespace {

using standins::caller_end;
using standins::caller_record;
using standins::run_end;
using standins::run_record;

constexpr milliseconds WarmUp{1000};
constexpr milliseconds InFlight{2000}; // of requests that a disturbance meets half done
constexpr milliseconds RecoveryWindow{2000};
constexpr milliseconds RecoveryStep{250};
constexpr milliseconds CourseStep{500};
constexpr double OnePoint = 0.01;

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

template <class Value>
Value quantile(std::vector<Value> values, double share)
{
    if (values.empty())
        return Value{};
    const auto at = std::min(values.size() - 1,
                             static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

milliseconds toMs(steady_time::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

/// A part of a run, since the first request.
struct time_range
{
    milliseconds from;
    milliseconds to;

    [[nodiscard]] bool holds(milliseconds at) const { return from <= at && at < to; }
    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(to - from).count();
    }
};

milliseconds offsetOf(const experiment_record &record, steady_time time)
{
    return toMs(time - record.startedAt);
}

bool needsEngine(const caller_record &request)
{
    return std::any_of(request.stages.begin(), request.stages.end(),
                       [](const auto &stage) { return stage.stage == "generate"; });
}

double attainmentIn(const experiment_record &record, const time_range &range)
{
    double sent = 0;
    double attained = 0;
    for (const auto &request : record.requests) {
        if (!range.holds(offsetOf(record, request.begun)))
            continue;
        sent += 1;
        attained += request.attained() ? 1 : 0;
    }
    return sent > 0 ? attained / sent : 1.0;
}

void countRequests(const experiment_record &record, const time_range &range,
                   experiment_summary &summary)
{
    std::vector<milliseconds> times;
    std::vector<double> waits;
    double small = 0;
    double smallAttained = 0;
    double engineAttained = 0;
    for (const auto &request : record.requests) {
        const bool attained = request.attained();
        const bool ended = range.holds(offsetOf(record, request.ended));
        engineAttained += ended && attained && needsEngine(request) ? 1 : 0;
        if (!range.holds(offsetOf(record, request.begun)))
            continue;
        ++summary.sent;
        for (const auto &stage : request.stages) {
            summary.attempts += stage.attempts;
            summary.firstTries += stage.attempts > 0 ? 1 : 0;
        }
        summary.attained += attained ? 1 : 0;
        summary.notRun += request.end == caller_end::NotRun ? 1 : 0;
        summary.lost += request.end == caller_end::Lost ? 1 : 0;
        if (request.end == caller_end::Answered) {
            ++summary.answered;
            times.push_back(toMs(request.ended - request.begun));
        }
        if (!attained)
            waits.push_back(ratio(static_cast<double>(toMs(request.ended - request.begun).count()),
                                  static_cast<double>(request.deadline.count())));
        if (!isLargeCustomer(request.customer)) {
            small += 1;
            smallAttained += attained ? 1 : 0;
        }
    }
    summary.smallAttainment = small > 0 ? smallAttained / small : 1.0;
    summary.p50 = quantile(times, 0.5);
    summary.p99 = quantile(std::move(times), 0.99);
    summary.refusalWait = quantile(std::move(waits), 0.99);
    summary.attainedEngineRate = ratio(engineAttained, range.seconds());
}

bool isEngineRun(const run_record &run)
{
    return run.server.starts_with("runners-");
}

void countRuns(const experiment_record &record, const time_range &range,
               experiment_summary &summary)
{
    std::unordered_map<std::string, bool> attained;
    for (const auto &request : record.requests)
        attained[request.nonce] = request.attained();
    double engineRuns = 0;
    for (const auto &run : record.runs) {
        if (!run.started || !run.ended)
            continue;
        const double busy =
            std::chrono::duration<double, std::milli>(*run.ended - *run.started).count();
        summary.busyMs += busy;
        const auto request = attained.find(run.nonce);
        if (request != attained.end() && !request->second)
            summary.missedBusyMs += busy;
        const bool finished = run.end == run_end::Answered && isEngineRun(run);
        engineRuns += finished && range.holds(offsetOf(record, *run.ended)) ? 1 : 0;
    }
    summary.engineRate = ratio(engineRuns, range.seconds());
}

// Recovery is counted from the end of the disturbance, or from its start where it lasts.
milliseconds recoveryOf(const experiment_record &record, double before)
{
    const scenario &what = record.setup.what;
    const milliseconds start = what.recoversWithin ? what.disturbedFrom : what.disturbedTo;
    milliseconds recovery{0};
    for (auto at = start; at + RecoveryWindow <= what.length; at += RecoveryStep) {
        if (attainmentIn(record, {at, at + RecoveryWindow}) < before - OnePoint)
            recovery = at + RecoveryStep - start;
    }
    return recovery;
}

} // namespace

double experiment_summary::attainment() const
{
    return sent > 0 ? static_cast<double>(attained) / static_cast<double>(sent) : 1.0;
}

double experiment_summary::cost() const
{
    return ratio(busyMs, static_cast<double>(sentInAll));
}

double experiment_summary::missedCostShare() const
{
    return ratio(missedBusyMs, busyMs);
}

double experiment_summary::attemptsPerFirstTry() const
{
    return ratio(static_cast<double>(attempts), static_cast<double>(firstTries));
}

experiment_summary summarise(const experiment_record &record)
{
    const scenario &what = record.setup.what;
    const time_range disturbed{what.disturbedFrom, what.disturbedTo};
    experiment_summary summary;
    summary.setup = record.setup;
    summary.sentInAll = record.requests.size();
    summary.attainmentBefore = attainmentIn(record, {WarmUp, what.disturbedFrom - InFlight});
    countRequests(record, disturbed, summary);
    countRuns(record, disturbed, summary);
    summary.recovery = recoveryOf(record, summary.attainmentBefore);
    return summary;
}

std::vector<course_point> courseOf(const experiment_record &record)
{
    std::vector<course_point> course;
    for (milliseconds at{0}; at < record.setup.what.length; at += CourseStep) {
        const time_range range{at, at + CourseStep};
        course_point point{at, 0, attainmentIn(record, range), {}};
        std::vector<milliseconds> times;
        for (const auto &request : record.requests) {
            if (!range.holds(offsetOf(record, request.begun)))
                continue;
            ++point.sent;
            if (request.end == caller_end::Answered)
                times.push_back(toMs(request.ended - request.begun));
        }
        point.p95 = quantile(std::move(times), 0.95);
        course.push_back(point);
    }
    return course;
}

median_spread medianSpread(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    const double median =
        values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    return {median, values.back() - values.front()};
}

} // namespace orchidlead::bench
