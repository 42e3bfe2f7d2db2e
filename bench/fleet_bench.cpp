// Runs the gateways' own membership for fleets of several sizes in one process, on a fake clock,
// and prints what a node sends and how long changes take to reach all.
#include "bench/fleet/peer_fleet.h"
#include "bench/svg_plot.h"
#include "gateway/publication/relay_tree.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, nodes, (std::vector<std::string>{"100", "300", "600"}),
          "sizes of the fleets");
ABSL_FLAG(std::size_t, data_centers, 6, "that the nodes of a fleet lie in");
ABSL_FLAG(std::uint32_t, seed, 1, "of all that is drawn");
ABSL_FLAG(bool, kinds, false, "prints what nodes send by kind of datagram, too");
ABSL_FLAG(std::string, svg, "", "file for a plot of bytes by size; empty: none");

namespace orchidlead::bench {

namespace {

using gateway::peer_fleet;

constexpr milliseconds StartWithin{300};
constexpr milliseconds Limit{30'000};
constexpr std::size_t CalmSeconds = 5;
constexpr std::size_t CutSeconds = 4;

/// What was seen of one fleet; bytes are of one node, headers included.
struct fleet_figures
{
    std::size_t nodes = 0;
    milliseconds agreed{0}; ///< after all were started within 0.3 s
    std::size_t startBytes = 0; ///< mean, in the first 5 s
    std::size_t mostStartBytes = 0;
    std::size_t calmBytes = 0; ///< a second, mean
    std::size_t calmFarBytes = 0; ///< of these, to other data centres
    std::size_t cutBytes = 0; ///< a second, mean, while a data centre is cut off
    milliseconds lost{0}; ///< until all nodes elsewhere lost it, one of which had work there
    milliseconds healed{0}; ///< until all know each other after that
    milliseconds killedAll{0}; ///< until all know each other after all were killed
    std::size_t mostFollowers = 0; ///< of a node that hands on what is published
    std::size_t steps = 0; ///< from the readers to the last node
};

void measureStart(peer_fleet &fleet, fleet_figures &out)
{
    fleet.startAll(StartWithin);
    fleet.run(StartWithin);
    out.agreed = fleet.runUntilAgreed(Limit);
    fleet.run(std::max(milliseconds{0}, milliseconds{5000} - out.agreed - StartWithin));
    out.startBytes = fleet.meanBytesSent();
    out.mostStartBytes = fleet.maxBytesSent();
}

void printKinds(const peer_fleet &fleet, const std::string &when, std::size_t seconds)
{
    if (!absl::GetFlag(FLAGS_kinds))
        return;
    std::cout << "  " << when << ", bytes a second of a node:";
    for (const auto &[kind, bytes] : fleet.bytesByKind())
        std::cout << ' ' << toName(kind) << ' ' << bytes / seconds / fleet.size();
    std::cout << '\n';
}

void measureCalm(peer_fleet &fleet, fleet_figures &out)
{
    fleet.run(milliseconds{10'000});
    fleet.resetTraffic();
    fleet.run(milliseconds{1000 * CalmSeconds});
    out.calmBytes = fleet.meanBytesSent() / CalmSeconds;
    out.calmFarBytes = fleet.meanBytesSentToOtherDataCenters() / CalmSeconds;
    printKinds(fleet, "calm", CalmSeconds);
}

void measureTree(peer_fleet &fleet, fleet_figures &out)
{
    std::map<vm_id, std::size_t> followers;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        auto &view = fleet.view(node);
        const auto place = gateway::positionInTree(view.self(), view.relayOrder());
        out.steps = std::max(out.steps, place.level);
        for (const auto &source : place.sources)
            out.mostFollowers = std::max(out.mostFollowers, ++followers[source]);
    }
}

milliseconds runUntilLost(peer_fleet &fleet, const data_center_id &dataCenter)
{
    constexpr milliseconds Step{100};
    std::size_t others = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node)
        others += fleet.dataCenterOf(node) == dataCenter ? 0 : 1;
    milliseconds taken{0};
    while (taken < Limit && fleet.countNodesWithLost(dataCenter) < others) {
        fleet.run(Step);
        taken += Step;
    }
    return taken;
}

void measureCut(peer_fleet &fleet, fleet_figures &out)
{
    constexpr milliseconds Settled{6000};
    const auto cut = fleet.dataCenterOf(0);
    fleet.view(1).onTraffic(cut);
    fleet.partition(cut);
    out.lost = runUntilLost(fleet, cut);
    fleet.run(std::max(milliseconds{0}, Settled - out.lost));
    fleet.resetTraffic();
    fleet.run(milliseconds{1000 * CutSeconds});
    out.cutBytes = fleet.meanBytesSent() / CutSeconds;
    printKinds(fleet, "a data centre is cut off", CutSeconds);
    fleet.partition(std::nullopt);
    out.healed = fleet.runUntilAgreed(Limit);
}

void measureKill(peer_fleet &fleet, fleet_figures &out)
{
    fleet.run(milliseconds{5000});
    fleet.killAll();
    fleet.run(milliseconds{1000});
    fleet.startAll(StartWithin);
    fleet.run(StartWithin);
    out.killedAll = fleet.runUntilAgreed(Limit);
}

fleet_figures measure(std::size_t nodes)
{
    fleet_figures out;
    out.nodes = nodes;
    peer_fleet fleet(nodes, absl::GetFlag(FLAGS_data_centers), absl::GetFlag(FLAGS_seed));
    if (absl::GetFlag(FLAGS_kinds))
        fleet.countKinds();
    measureStart(fleet, out);
    measureCalm(fleet, out);
    measureTree(fleet, out);
    measureCut(fleet, out);
    measureKill(fleet, out);
    return out;
}

void print(const fleet_figures &each)
{
    std::cout << std::setw(6) << each.nodes << std::setw(9) << each.agreed.count() << std::setw(10)
              << each.startBytes << std::setw(10) << each.mostStartBytes << std::setw(9)
              << each.calmBytes << std::setw(9) << each.calmFarBytes << std::setw(9)
              << each.cutBytes << std::setw(8) << each.lost.count() << std::setw(10)
              << each.healed.count() << std::setw(10) << each.killedAll.count() << std::setw(11)
              << each.mostFollowers << std::setw(7) << each.steps << '\n'
              << std::flush;
}

plot_line lineOf(const std::string &name, const std::vector<fleet_figures> &all,
                 std::size_t fleet_figures::*figure)
{
    plot_line line{name, {}};
    for (const auto &each : all)
        line.points.emplace_back(each.nodes, each.*figure);
    return line;
}

bool writePlot(const std::string &file, const std::vector<fleet_figures> &all)
{
    line_plot plot;
    plot.title = "Membership: bytes a second of a node";
    plot.xLabel = "nodes";
    plot.yLabel = "bytes a second";
    plot.lines = {lineOf("calm", all, &fleet_figures::calmBytes),
                  lineOf("calm, to other data centres", all, &fleet_figures::calmFarBytes),
                  lineOf("a data centre cut off", all, &fleet_figures::cutBytes)};
    for (const auto &line : plot.lines) {
        for (const auto &[nodes, bytes] : line.points)
            plot.yMax = std::max(plot.yMax, bytes);
    }
    std::ofstream out(file);
    out << drawSvg(plot);
    return out.good();
}

} // namespace

int run()
{
    std::cout << " nodes agreed ms  start B    most B  calm B/s  far B/s  cut B/s lost ms healed "
                 "ms killed ms"
                 " followers  steps\n";
    std::vector<fleet_figures> all;
    for (const auto &text : absl::GetFlag(FLAGS_nodes)) {
        std::size_t nodes = 0;
        if (!absl::SimpleAtoi(text, &nodes) || nodes == 0) {
            std::cerr << "bench-fleet: --nodes: \"" << text << "\" is no number of nodes\n";
            return 2;
        }
        all.push_back(measure(nodes));
        print(all.back());
    }
    const auto file = absl::GetFlag(FLAGS_svg);
    if (!file.empty() && !writePlot(file, all)) {
        std::cerr << "bench-fleet: --svg: " << file << " can't be written\n";
        return 1;
    }
    return 0;
}

} // namespace orchidlead::bench

int main(int count, char **arguments)
{
    absl::SetProgramUsageMessage(
        "bench-fleet [--nodes=100,300] [--data_centers=6] [--seed=1] [--svg=FILE]");
    absl::ParseCommandLine(count, arguments);
    return orchidlead::bench::run();
}
