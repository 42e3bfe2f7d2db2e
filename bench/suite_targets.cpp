#include "bench/suite_targets.h"

#include <functional>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace orchidlead::bench {

namespace {

constexpr const char *Product = "product";
constexpr const char *Baseline = "baseline";

using figure = std::function<double(const experiment_summary &)>;

/// The runs of one user.
class user_runs
{
public:
    user_runs(const std::vector<experiment_summary> &all, std::string user)
        : m_user(std::move(user))
    {
        for (const auto &summary : all) {
            if (summary.setup.user == m_user)
                m_runs.push_back(summary);
        }
    }

    /// Gives the figure's values of one scenario and policy, by seed.
    [[nodiscard]] std::vector<double> values(const std::string &scenario, const std::string &policy,
                                             const figure &read) const
    {
        std::vector<double> found;
        for (const auto &run : m_runs) {
            if (run.setup.what.name == scenario && run.setup.policy == policy)
                found.push_back(read(run));
        }
        return found;
    }

    /// Gives the ratio of two figures, seed by seed.
    [[nodiscard]] static std::vector<double> ratios(const std::vector<double> &over,
                                                    const std::vector<double> &under)
    {
        std::vector<double> found;
        for (std::size_t at = 0; at < std::min(over.size(), under.size()); ++at)
            found.push_back(under[at] > 0 ? over[at] / under[at] : 0);
        return found;
    }

    [[nodiscard]] const std::string &user() const { return m_user; }

private:
    std::string m_user;
    std::vector<experiment_summary> m_runs;
};

/// Collects the verdicts on one user's runs.
class target_judge
{
public:
    target_judge(const user_runs &runs, std::vector<target_result> &out)
        : m_runs(runs)
        , m_out(out)
    { }

    void atMost(const std::string &name, const std::vector<double> &values, double bound)
    {
        add(name, values, bound, "at most", [bound](double value) { return value <= bound; });
    }
    void atLeast(const std::string &name, const std::vector<double> &values, double bound)
    {
        add(name, values, bound, "at least", [bound](double value) { return value >= bound; });
    }

private:
    void add(const std::string &name, const std::vector<double> &values, double bound,
             const char *relation, const std::function<bool(double)> &holds)
    {
        if (values.empty())
            return;
        const auto [median, spread] = medianSpread(values);
        std::ostringstream text;
        text << std::fixed << std::setprecision(3) << median << " (spread " << spread << " over "
             << values.size() << ", " << relation << ' ' << bound << ')';
        m_out.push_back({m_runs.user() + " " + name, text.str(), holds(median)});
    }

    const user_runs &m_runs;
    std::vector<target_result> &m_out;
};

double missedShare(const experiment_summary &run)
{
    return run.missedShare();
}

double cost(const experiment_summary &run)
{
    return run.cost();
}

double recoverySeconds(const experiment_summary &run)
{
    return std::chrono::duration<double>(run.recovery).count();
}

void judgeStraggler(const user_runs &runs, target_judge &judge)
{
    const auto ratio = [&](const figure &read) {
        return user_runs::ratios(runs.values("straggler", Product, read),
                                 runs.values("straggler", Baseline, read));
    };
    judge.atMost("straggler: missed share, of the baseline's", ratio(missedShare), 0.2);
    judge.atMost("straggler: cost, of the baseline's", ratio(cost), 1.05);
}

// The baseline takes everything, so that its queues are never empty while the burst lasts: what its
// engines finish is what the pool can do.
void judgeBurst(const user_runs &runs, target_judge &judge)
{
    const auto attained = runs.values(
        "burst", Product, [](const experiment_summary &run) { return run.attainedEngineRate; });
    const auto possible = runs.values("burst", Baseline,
                                      [](const experiment_summary &run) { return run.engineRate; });
    judge.atLeast("200% load: attained, of what the engines can finish",
                  user_runs::ratios(attained, possible), 0.95);
    judge.atMost("200% load: seconds until attainment is back",
                 runs.values("burst", Product, recoverySeconds), 2.0);
    judge.atMost("200% load: share of cost for requests that missed",
                 runs.values("burst", Product,
                             [](const experiment_summary &run) { return run.missedCostShare(); }),
                 0.05);
}

void judgePoolDown(const user_runs &runs, target_judge &judge)
{
    judge.atMost(
        "pool down: attempts for each first try",
        runs.values("pool_down", Product,
                    [](const experiment_summary &run) { return run.attemptsPerFirstTry(); }),
        1.1);
    judge.atMost("pool down: 99th percentile of the wait for a refusal, in deadlines",
                 runs.values("pool_down", Product,
                             [](const experiment_summary &run) { return run.refusalWait; }),
                 0.25);
}

void judgeFairness(const user_runs &runs, target_judge &judge)
{
    const auto small = [&](const std::string &scenario) {
        return runs.values(scenario, Product,
                           [](const experiment_summary &run) { return run.smallAttainment; });
    };
    const auto silent = small("large_silent");
    const auto loud = small("large_loud");
    std::vector<double> lost;
    for (std::size_t at = 0; at < std::min(silent.size(), loud.size()); ++at)
        lost.push_back(100 * (silent[at] - loud[at]));
    judge.atMost("small customers: points lost to large ones", lost, 2.0);
}

} // namespace

std::vector<target_result> judgeTargets(const std::vector<experiment_summary> &summaries)
{
    std::vector<target_result> results;
    std::set<std::string> users;
    for (const auto &summary : summaries)
        users.insert(summary.setup.user);
    for (const auto &user : users) {
        const user_runs runs(summaries, user);
        target_judge judge(runs, results);
        judgeStraggler(runs, judge);
        judgeBurst(runs, judge);
        judgePoolDown(runs, judge);
        judgeFairness(runs, judge);
        judge.atMost("entry VM killed: seconds until attainment is back",
                     runs.values("vm_killed", Product, recoverySeconds), 5.0);
        judge.atMost("server killed: seconds until attainment is back",
                     runs.values("server_killed", Product, recoverySeconds), 5.0);
    }
    return results;
}

} // namespace orchidlead::bench
