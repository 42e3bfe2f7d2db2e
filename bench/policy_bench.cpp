// Compares the policies of the request engine with their baselines over a model of stage pools.
#include "engine_variants.h"
#include "policy_scenarios.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(int, seeds, 5, "runs of each policy set and scenario");
ABSL_FLAG(bool, all, false, "also try the policies one by one");
ABSL_FLAG(int, engines, 18, "engines of the model; the other pools have half as many servers");

namespace orchidlead::bench::model {

namespace {

/// One figure of several runs.
struct figure
{
    std::vector<double> values;

    void add(double value) { values.push_back(value); }
    [[nodiscard]] double median() const
    {
        std::vector<double> sorted = values;
        std::sort(sorted.begin(), sorted.end());
        return sorted[sorted.size() / 2];
    }
    [[nodiscard]] std::string text(double scale = 1.0, int digits = 2) const
    {
        const auto [least, most] = std::minmax_element(values.begin(), values.end());
        char buffer[96];
        std::snprintf(buffer, sizeof buffer, "%.*f (%.*f-%.*f)", digits, median() * scale, digits,
                      *least * scale, digits, *most * scale);
        return buffer;
    }
};

/// What the table shows of one policy set in one scenario.
struct summary
{
    std::string name;
    figure missed; ///< share of requests from the fault to the end
    figure cost; ///< busy ms for a request
    figure wasted; ///< share of the cost, during the fault
    figure useful; ///< share of the engines' places that worked for attained requests
    figure recovered; ///< missed share from 2 s after the fault's end
    figure settled; ///< missed share from 5 s after the fault's start
    figure tries; ///< attempts over first tries during the fault
    figure refusal; ///< ms to the end of the slowest of unanswered requests
    figure small; ///< attainment of the small customers
};

std::vector<run_result> runAll(const scenario &shape, const policy_variant &variant)
{
    std::vector<run_result> results;
    for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed)
        results.push_back(variant.run(shape, static_cast<std::uint64_t>(seed)));
    return results;
}

summary summarize(const scenario &shape, const policy_variant &variant)
{
    constexpr milliseconds TwoSeconds{2'000};
    constexpr milliseconds FiveSeconds{5'000};
    summary all;
    all.name = variant.name;
    for (const run_result &run : runAll(shape, variant)) {
        all.missed.add(run.missedShare(WarmUp, RunLength));
        all.cost.add(run.busyPerRequest());
        all.wasted.add(run.wastedShare(WarmUp, FaultEnd));
        const double places = shape.pools.back().servers * shape.pools.back().places;
        all.useful.add(run.usefulShare(places, WarmUp + TwoSeconds, FaultEnd));
        all.recovered.add(run.missedShare(FaultEnd + TwoSeconds, RunLength));
        all.settled.add(run.missedShare(WarmUp + FiveSeconds, RunLength));
        const double first = std::max(1.0, static_cast<double>(run.firstTries));
        all.tries.add(static_cast<double>(run.allTries) / first);
        all.refusal.add(run.refusalTime(WarmUp, FaultEnd, 0.99));
        const double one = run.customerAttainment(FirstSmallCustomer, WarmUp, RunLength);
        const double two = run.customerAttainment(FirstSmallCustomer + 1, WarmUp, RunLength);
        all.small.add((one + two) / 2.0);
    }
    return all;
}

void printRow(const summary &row)
{
    constexpr double Percent = 100.0;
    std::printf("| %s | %s | %s | %s | %s | %s | %s |\n", row.name.c_str(),
                row.missed.text(Percent).c_str(), row.cost.text(1.0, 0).c_str(),
                row.wasted.text(Percent, 1).c_str(), row.useful.text(Percent, 1).c_str(),
                row.tries.text(1.0, 3).c_str(), row.refusal.text(1.0, 0).c_str());
    std::fflush(stdout);
}

std::vector<summary> compare(const scenario &shape, const std::vector<policy_variant> &variants)
{
    std::printf("\n### %s\n\n", shape.name.c_str());
    std::printf("Capacity %.0f requests a second.\n\n", shape.capacity());
    std::printf("| policies | missed %% | busy ms a request | wasted %% of cost during the fault | "
                "useful %% of engine time | tries / first tries | p99 ms to an unanswered end "
                "|\n|---|---|---|---|---|---|---|\n");
    std::vector<summary> rows;
    for (const policy_variant &variant : variants) {
        rows.push_back(summarize(shape, variant));
        printRow(rows.back());
    }
    return rows;
}

void target(const std::string &name, double value, bool met)
{
    std::printf("%s: %.3f (%s)\n", name.c_str(), value, met ? "met" : "missed");
}

void stragglerTargets(const std::vector<summary> &rows)
{
    const double baseline = rows[0].missed.median();
    const double ratio = baseline > 0.0 ? rows[1].missed.median() / baseline : 0.0;
    const double extra = rows[1].cost.median() / rows[0].cost.median() - 1.0;
    target("straggler: missed as a share of the baseline's", ratio, ratio <= 0.2);
    target("straggler: extra cost", extra, extra <= 0.05);
}

// Under overload high priority goes first, and its requests are the longest: what the pools can
// serve is told by their time, not by the mean request.
void burstTargets(const std::vector<summary> &rows)
{
    const double share = rows[1].useful.median();
    target("burst: engine time spent on attained requests", share, share >= 0.95);
    const double after = rows[1].recovered.median();
    target("burst: missed from 2 s after its end", after, after <= 0.01);
    const double wasted = rows[1].wasted.median();
    target("burst: cost spent on missed requests", wasted, wasted <= 0.05);
}

void downTargets(const std::string &name, const std::vector<summary> &rows)
{
    // Silence can't be told from work at once; it must be before the deadline, which is 4 s.
    const double atOnceMs = name == "pool down" ? 500.0 : 3'000.0;
    const double tries = rows[1].tries.median();
    target(name + ": attempts over first tries", tries, tries <= 1.1);
    const double refusal = rows[1].refusal.median();
    target(name + ": p99 ms to an unanswered end", refusal, refusal <= atOnceMs);
    const double after = rows[1].recovered.median();
    target(name + ": missed from 2 s after its end", after, after <= 0.01);
}

void lostTargets(const std::string &name, const std::vector<summary> &rows)
{
    const double settled = rows[1].settled.median();
    target(name + ": missed from 5 s on", settled, settled <= 0.01);
}

int run()
{
    const auto engines = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_engines));
    std::vector<policy_variant> variants = mainVariants();
    if (absl::GetFlag(FLAGS_all)) {
        for (auto &more : {loadVariants(), retryVariants()})
            variants.insert(variants.end(), more.begin(), more.end());
    }
    std::printf("engines %u, seeds 1-%d, median (least-most)\n", engines,
                absl::GetFlag(FLAGS_seeds));
    compare(steadyLoad(engines, 0.7), variants);
    const auto straggler = compare(oneStraggler(engines), variants);
    const auto bursts = compare(burst(engines), variants);
    const auto down = compare(poolDown(engines, false), variants);
    const auto silent = compare(poolDown(engines, true), variants);
    const auto lost = compare(thirdLost(engines, false), variants);
    const auto lostSilent = compare(thirdLost(engines, true), variants);
    const auto beside = compare(smallAndLarge(engines, false), variants);
    const auto alone = compare(smallAndLarge(engines, true), variants);
    std::printf("\n");
    stragglerTargets(straggler);
    burstTargets(bursts);
    downTargets("pool down", down);
    downTargets("pool silent", silent);
    lostTargets("third lost", lost);
    lostTargets("third silent", lostSilent);
    const double points = alone[1].small.median() - beside[1].small.median();
    target("small customers: attainment lost beside large ones", points, points <= 0.02);
    return 0;
}

} // namespace

} // namespace orchidlead::bench::model

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Compares policies of the request engine over modelled pools.");
    absl::ParseCommandLine(argc, argv);
    return orchidlead::bench::model::run();
}
