#include "bench/experiment_files.h"

#include "bench/svg_plot.h"
#include "wire/json_text.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace orchidlead::bench {

namespace {

/// One figure of a summary, under its name.
struct named_figure
{
    const char *name;
    double value;
};

std::vector<named_figure> figuresOf(const experiment_summary &summary)
{
    return {{"sent", static_cast<double>(summary.sent)},
            {"attained", static_cast<double>(summary.attained)},
            {"answered", static_cast<double>(summary.answered)},
            {"not_run", static_cast<double>(summary.notRun)},
            {"lost", static_cast<double>(summary.lost)},
            {"attainment", summary.attainment()},
            {"attainment_before", summary.attainmentBefore},
            {"small_attainment", summary.smallAttainment},
            {"p50_ms", static_cast<double>(summary.p50.count())},
            {"p99_ms", static_cast<double>(summary.p99.count())},
            {"refusal_wait_p99_deadlines", summary.refusalWait},
            {"engine_runs_per_s", summary.engineRate},
            {"attained_engine_requests_per_s", summary.attainedEngineRate},
            {"attempts_per_first_try", summary.attemptsPerFirstTry()},
            {"cost_ms_per_request", summary.cost()},
            {"missed_cost_share", summary.missedCostShare()},
            {"recovery_ms", static_cast<double>(summary.recovery.count())}};
}

std::string summaryCsv(const std::vector<finished_experiment> &experiments)
{
    std::ostringstream out;
    out << "user,scenario,policy,seed";
    for (const auto &figure : figuresOf({}))
        out << ',' << figure.name;
    out << '\n';
    for (const auto &each : experiments) {
        const experiment &setup = each.summary.setup;
        out << setup.user << ',' << setup.what.name << ',' << setup.policy << ',' << setup.seed;
        for (const auto &figure : figuresOf(each.summary))
            out << ',' << figure.value;
        out << '\n';
    }
    return out.str();
}

std::string summaryJson(const std::vector<finished_experiment> &experiments)
{
    Json::Value rows(Json::arrayValue);
    for (const auto &each : experiments) {
        const experiment &setup = each.summary.setup;
        Json::Value row;
        row["user"] = setup.user;
        row["scenario"] = setup.what.name;
        row["policy"] = setup.policy;
        row["seed"] = Json::Value::UInt64{setup.seed};
        for (const auto &figure : figuresOf(each.summary))
            row[figure.name] = figure.value;
        rows.append(std::move(row));
    }
    return wire::writeJson(rows) + "\n";
}

std::string courseCsv(const std::vector<finished_experiment> &experiments)
{
    std::ostringstream out;
    out << "user,scenario,policy,seed,at_ms,sent,attainment,p95_ms\n";
    for (const auto &each : experiments) {
        const experiment &setup = each.summary.setup;
        for (const auto &point : each.course) {
            out << setup.user << ',' << setup.what.name << ',' << setup.policy << ',' << setup.seed
                << ',' << point.at.count() << ',' << point.sent << ',' << point.attainment << ','
                << point.p95.count() << '\n';
        }
    }
    return out.str();
}

bool writeText(const std::string &path, const std::string &text)
{
    std::ofstream out(path);
    out << text;
    return out.good();
}

double seconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/// Makes the plot of one user's scenario, a line for each policy, of the first seed.
line_plot plotOf(const std::vector<finished_experiment> &experiments, const experiment &of,
                 bool latency)
{
    line_plot plot;
    plot.title = of.user + ", " + of.what.name;
    plot.xLabel = "seconds";
    plot.yLabel = latency ? "95th percentile of answers, s" : "attainment";
    plot.marked = {seconds(of.what.disturbedFrom), seconds(of.what.disturbedTo)};
    std::set<std::string> drawn;
    for (const auto &each : experiments) {
        const experiment &setup = each.summary.setup;
        const bool same = setup.user == of.user && setup.what.name == of.what.name;
        if (!same || !drawn.insert(setup.policy).second)
            continue;
        plot_line line{setup.policy, {}};
        for (const auto &point : each.course) {
            const double value = latency ? seconds(point.p95) : point.attainment;
            line.points.emplace_back(seconds(point.at), value);
            plot.yMax = std::max(plot.yMax, value);
        }
        plot.lines.push_back(std::move(line));
    }
    return plot;
}

bool writePlots(const std::string &directory, const std::vector<finished_experiment> &experiments)
{
    std::set<std::string> written;
    bool good = true;
    for (const auto &each : experiments) {
        const experiment &setup = each.summary.setup;
        const std::string name = setup.user + "-" + setup.what.name;
        if (!written.insert(name).second)
            continue;
        std::string path = directory;
        path.append("/").append(name);
        good =
            writeText(path + "-attainment.svg", drawSvg(plotOf(experiments, setup, false))) && good;
        good = writeText(path + "-latency.svg", drawSvg(plotOf(experiments, setup, true))) && good;
    }
    return good;
}

} // namespace

bool writeFiles(const std::string &directory, const std::vector<finished_experiment> &experiments)
{
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    return !error && writeText(directory + "/summary.csv", summaryCsv(experiments))
        && writeText(directory + "/summary.json", summaryJson(experiments))
        && writeText(directory + "/course.csv", courseCsv(experiments))
        && writePlots(directory, experiments);
}

std::string progressLine(const experiment_summary &summary)
{
    std::ostringstream out;
    out << std::left << std::setw(14) << summary.setup.user << std::setw(24)
        << summary.setup.what.name << std::setw(22) << summary.setup.policy << "seed "
        << summary.setup.seed << std::fixed << std::setprecision(3) << "  attainment "
        << summary.attainment() << " (before " << summary.attainmentBefore << ")  cost "
        << std::setprecision(0) << summary.cost() << " ms  missed cost " << std::setprecision(3)
        << summary.missedCostShare() << "  attempts " << summary.attemptsPerFirstTry()
        << "  recovery " << summary.recovery.count() << " ms";
    return out.str();
}

} // namespace orchidlead::bench
