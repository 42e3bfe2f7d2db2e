// Measures what each role of a node costs, fits the slopes and prints the tables of
// docs/CAPACITY.md. Usage: bench-capacity [NODES...]
#include "bench/capacity_table.h"
#include "bench/control_fleet.h"
#include "bench/linear_fit.h"
#include "bench/node_parts.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <future>
#include <string>
#include <vector>

namespace {

using namespace orchidlead::bench;

// The sizes of today and of two years from now.
constexpr double NodesToday = 8;
constexpr double NodesFuture = 350;
constexpr double DataCentersToday = 4;
constexpr double DataCentersFuture = 7;
constexpr double CustomersToday = 5;
constexpr double CustomersFuture = 21000;
constexpr double RunnersToday = 18;
constexpr double RunnersFuture = 600;
constexpr double ChangesToday = 10; ///< a day; assumed
constexpr double ChangesFuture = 890; ///< a day
constexpr double RequestsPerNode = 10; ///< a second: 3,500 over 350 nodes
constexpr double StagesPerRequest = 6;
constexpr double TriesPerStage = 1.2; ///< with retries and hedges; assumed
constexpr double KeyWindow = 600; ///< seconds
constexpr double SecondsPerDay = 86400;

// What control may spend on a node.
constexpr double BudgetBytesPerSecond = 6000;
constexpr double BudgetPercent = 3.4;
constexpr double BudgetMegabytes = 128;
constexpr double BudgetInForce = 4;
constexpr double BudgetReads = 2000;
constexpr double BudgetStall = 0.05; ///< seconds that the event loop may stand still; our own
constexpr double Megabyte = 1e6;

using fleet_value = std::function<double(const fleet_cost &)>;

/// Costs of published configurations, by customers.
struct configuration_samples
{
    std::vector<sample> contentBytes;
    std::vector<sample> parseSeconds;
    std::vector<sample> heldBytes;
    std::vector<sample> peakBytes;
};

/// Everything that was measured.
struct measurements
{
    std::vector<fleet_cost> fleets;
    configuration_samples ownEntries; ///< each customer with settings of its own
    configuration_samples sharedEntries; ///< customers share 17 entries
    std::vector<sample> pickSeconds;
    std::vector<sample> poolBytes;
    std::vector<sample> recordBytes;
    std::vector<sample> recordSeconds;
    std::vector<sample> leaseBytes;
    std::vector<sample> leaseMessages;
    std::vector<sample> leaseShare;
};

fleet_cost measureSize(std::size_t nodes)
{
    const auto dataCenters =
        static_cast<std::size_t>(nodes <= 16 ? DataCentersToday : DataCentersFuture);
    const auto cost = measureFleet(nodes, dataCenters);
    std::fprintf(stderr, "capacity: %zu nodes measured\n", nodes);
    return cost;
}

// The largest fleet takes about as long as all others together, so it runs beside them.
void measureFleets(measurements &all, const std::vector<std::size_t> &sizes)
{
    auto largest = std::async(std::launch::async, measureSize, sizes.back());
    for (std::size_t i = 0; i + 1 < sizes.size(); ++i)
        all.fleets.push_back(measureSize(sizes[i]));
    all.fleets.push_back(largest.get());
}

configuration_samples measureConfigurations(const std::vector<double> &sizes, bool shared)
{
    configuration_samples samples;
    for (const double customers : sizes) {
        const auto cost = measureConfiguration(static_cast<std::size_t>(customers), shared);
        samples.contentBytes.push_back({customers, cost.contentBytes});
        samples.parseSeconds.push_back({customers, cost.parseSeconds});
        samples.heldBytes.push_back({customers, cost.heldBytes});
        samples.peakBytes.push_back({customers, cost.peakBytes});
    }
    return samples;
}

void measureNodeParts(measurements &all)
{
    for (const std::size_t servers : {12, 50, 150, 600}) {
        const auto cost = measureRouting(servers);
        all.pickSeconds.push_back({static_cast<double>(servers), cost.pickSeconds});
        all.poolBytes.push_back({static_cast<double>(servers), cost.poolBytes});
    }
    for (const std::size_t records : {500, 2000, 6000, 24000}) {
        const auto cost = measureRecords(records);
        const auto size = static_cast<double>(records);
        all.recordBytes.push_back({size, cost.recordBytes + cost.ticketBytes});
        all.recordSeconds.push_back({size, cost.addSeconds});
    }
    for (const std::size_t nodes : {2, 5, 10, 20, 35, 50}) {
        const auto cost = measureLeases(nodes);
        const auto size = static_cast<double>(nodes);
        all.leaseBytes.push_back({size, cost.bytesPerSecond});
        all.leaseMessages.push_back({size, cost.messagesPerSecond});
        all.leaseShare.push_back({size, cost.processorShare});
    }
}

/// Gives the measured value nearest to a size, or the fit's where none was measured there.
double valueAt(const std::vector<sample> &samples, const linear_fit &fit, double size)
{
    for (const auto &one : samples) {
        if (one.size == size)
            return one.value;
    }
    return fit.at(size);
}

std::string sourceAt(const std::vector<sample> &samples, double size)
{
    const bool measured = std::any_of(samples.begin(), samples.end(),
                                      [size](const sample &one) { return one.size == size; });
    return measured ? "measured" : "fitted";
}

/// Builds the rows of the table.
class table_builder
{
public:
    explicit table_builder(const measurements &all)
        : m_all(all)
    {
        m_rows.reserve(MaxRows); // rows are handed out by reference
    }

    std::vector<capacity_row> build()
    {
        membershipRows();
        readerRows();
        entryRows();
        homeRows();
        placementRows();
        stopAndStartRows();
        totalRows();
        return m_rows;
    }

private:
    static constexpr std::size_t MaxRows = 64;

    struct totals
    {
        double bytes = 0;
        double percent = 0;
        double megabytes = 0;
    };

    [[nodiscard]] std::vector<sample> fleetSamples(const fleet_value &value) const
    {
        std::vector<sample> samples;
        for (const auto &fleet : m_all.fleets)
            samples.push_back({static_cast<double>(fleet.nodes), value(fleet)});
        return samples;
    }

    capacity_row &add(const std::string &role, const std::string &quantity, const std::string &per,
                      const std::vector<sample> &samples, double today, double future)
    {
        capacity_row row;
        row.role = role;
        row.quantity = quantity;
        row.per = per;
        row.fit = fitLine(samples);
        row.today = valueAt(samples, row.fit, today);
        row.future = valueAt(samples, row.fit, future);
        row.source = sourceAt(samples, future);
        m_rows.push_back(row);
        return m_rows.back();
    }

    capacity_row &addFleet(const std::string &role, const std::string &quantity,
                           const fleet_value &value)
    {
        return add(role, quantity, "node", fleetSamples(value), NodesToday, NodesFuture);
    }

    capacity_row &addWorkedOut(const std::string &role, const std::string &quantity, double today,
                               double future)
    {
        capacity_row row;
        row.role = role;
        row.quantity = quantity;
        row.per = "-";
        row.today = today;
        row.future = future;
        row.source = "worked out";
        m_rows.push_back(row);
        return m_rows.back();
    }

    void countBytes(const capacity_row &row)
    {
        m_today.bytes += row.today;
        m_future.bytes += row.future;
    }
    void countPercent(const capacity_row &row)
    {
        m_today.percent += row.today;
        m_future.percent += row.future;
    }
    void countMegabytes(const capacity_row &row)
    {
        m_today.megabytes += row.today;
        m_future.megabytes += row.future;
    }

    void membershipRows()
    {
        const std::string role = "membership";
        countBytes(addFleet(role, "B/s quiet", [](const auto &f) { return f.bytesPerSecond; }));
        addFleet(role, "messages/s quiet", [](const auto &f) { return f.messagesPerSecond; });
        countPercent(addFleet(role, "% of a core quiet",
                              [](const auto &f) { return 100 * f.processorShare; }));
        countMegabytes(
            addFleet(role, "MB", [](const auto &f) { return f.memoryBytes / Megabyte; }));
        auto &worst = addFleet(role, "B/s in the worst disruption", [](const auto &f) {
            return std::max({f.coldStart.bytesPerSecond, f.death.bytesPerSecond,
                             f.rack.bytesPerSecond, f.dataCenterCut.bytesPerSecond,
                             f.dataCenterHealed.bytesPerSecond, f.regionCut.bytesPerSecond,
                             f.regionHealed.bytesPerSecond});
        });
        worst.budget = BudgetBytesPerSecond;
        worst.answer = "A1";
    }

    void readerRows()
    {
        const std::string role = "configuration reader";
        auto &calls = addFleet(role, "service calls/s of all nodes",
                               [](const auto &f) { return f.serviceCallsPerSecond; });
        calls.budget = BudgetReads;
        auto &inForce =
            addFleet(role, "s until in force", [](const auto &f) { return f.inForceSeconds; });
        inForce.budget = BudgetInForce;
        announceRow();
        contentRows();
        parseRows();
    }

    void announceRow()
    {
        auto &row = addFleet("configuration reader", "B/s of announcements, changes of the day",
                             [](const auto &f) { return f.announceBytes; });
        scale(row, ChangesToday / SecondsPerDay, ChangesFuture / SecondsPerDay);
        countBytes(row);
    }

    /// Turns a row that counts one event into a rate.
    static void scale(capacity_row &row, double today, double future)
    {
        row.today *= today;
        row.future *= future;
        row.fit.slope *= future;
        row.fit.intercept *= future;
    }

    capacity_row &addCustomers(const std::string &quantity, const std::vector<sample> &samples,
                               double today, double future)
    {
        auto &row =
            add("configuration", quantity, "customer", samples, CustomersToday, CustomersFuture);
        scale(row, today, future);
        return row;
    }

    void contentRows()
    {
        const double today = ChangesToday / SecondsPerDay;
        const double future = ChangesFuture / SecondsPerDay;
        constexpr double MaxContent = 1048576;
        auto &own =
            addCustomers("B of a content, own entries", m_all.ownEntries.contentBytes, 1, 1);
        own.budget = MaxContent;
        own.answer = "A2";
        auto &shared =
            addCustomers("B of a content, shared entries", m_all.sharedEntries.contentBytes, 1, 1);
        shared.budget = MaxContent;
        auto &ownRate =
            addCustomers("B/s received, own entries", m_all.ownEntries.contentBytes, today, future);
        ownRate.budget = BudgetBytesPerSecond;
        ownRate.answer = "A2";
        auto &sharedRate = addCustomers("B/s received, shared entries",
                                        m_all.sharedEntries.contentBytes, today, future);
        countBytes(sharedRate);
        const double rateToday = sharedRate.today;
        const double rateFuture = sharedRate.future;
        auto &served = addFleet("configuration", "contents that the busiest node serves a change",
                                [](const auto &f) { return f.contentsFetched; });
        const double timesToday = served.today;
        const double timesFuture = served.future;
        auto &uplink =
            addWorkedOut("configuration", "B/s that the busiest node serves, shared entries",
                         rateToday * timesToday, rateFuture * timesFuture);
        uplink.budget = BudgetBytesPerSecond;
        uplink.answer = "A2";
    }

    void parseRows()
    {
        const auto &shared = m_all.sharedEntries;
        const auto &own = m_all.ownEntries;
        auto &stall =
            addCustomers("s of processor time to parse, shared entries", shared.parseSeconds, 1, 1);
        stall.budget = BudgetStall;
        stall.answer = "A3";
        auto &ownStall =
            addCustomers("s of processor time to parse, own entries", own.parseSeconds, 1, 1);
        ownStall.budget = BudgetStall;
        ownStall.answer = "A3";
        countPercent(addCustomers("% of a core to parse the day's changes, shared entries",
                                  shared.parseSeconds, 100 * ChangesToday / SecondsPerDay,
                                  100 * ChangesFuture / SecondsPerDay));
        // The version before stays while requests that began with it run.
        countMegabytes(addCustomers("MB held, two versions, shared entries", shared.heldBytes,
                                    2 / Megabyte, 2 / Megabyte));
        addCustomers("MB held, two versions, own entries", own.heldBytes, 2 / Megabyte,
                     2 / Megabyte);
        countMegabytes(addCustomers("MB of text held, shared entries", shared.contentBytes,
                                    1 / Megabyte, 1 / Megabyte));
        countMegabytes(addCustomers("MB more while parsing, shared entries", shared.peakBytes,
                                    1 / Megabyte, 1 / Megabyte));
        auto &peak = addCustomers("MB more while parsing, own entries", own.peakBytes, 1 / Megabyte,
                                  1 / Megabyte);
        peak.budget = BudgetMegabytes;
        peak.answer = "A3";
    }

    void entryRows()
    {
        const double picks = RequestsPerNode * StagesPerRequest * TriesPerStage;
        auto &share = add("entry", "% of a core for routing at 72 decisions/s", "backend server",
                          m_all.pickSeconds, RunnersToday, RunnersFuture);
        scale(share, 100 * picks, 100 * picks);
        countPercent(share);
        auto &pool = add("entry", "MB of pools", "backend server", m_all.poolBytes, RunnersToday,
                         RunnersFuture);
        scale(pool, 1 / Megabyte, 1 / Megabyte);
        countMegabytes(pool);
        pollRow();
    }

    // Eight servers each two seconds, each call with a connection of its own: eight segments of 40
    // bytes of headers, and the texts of the request and of the answer.
    void pollRow()
    {
        constexpr double Calls = 8.0 / 2.0;
        constexpr double Segments = 8.0 * 40.0;
        constexpr double Texts = 120.0 + 160.0;
        auto &row = addWorkedOut("entry", "B/s of load reports polled from 8 servers",
                                 Calls * (Segments + Texts), Calls * (Segments + Texts));
        countBytes(row);
    }

    void homeRows()
    {
        const std::string role = "home of requests";
        const double records = RequestsPerNode * KeyWindow;
        auto &memory = add(role, "MB of records and tickets, 10 a second for 600 s", "record",
                           m_all.recordBytes, records, records);
        scale(memory, 1 / Megabyte, 1 / Megabyte);
        countMegabytes(memory);
        auto &share = add(role, "% of a core for records and tickets", "record",
                          m_all.recordSeconds, records, records);
        scale(share, 100 / KeyWindow, 100 / KeyWindow);
        countPercent(share);
        const double nodesToday = NodesToday / DataCentersToday;
        const double nodesFuture = NodesFuture / DataCentersFuture;
        auto &bytes = add(role, "B/s of leases", "node of the data centre", m_all.leaseBytes,
                          nodesToday, nodesFuture);
        bytes.budget = BudgetBytesPerSecond;
        bytes.answer = "A4";
        countBytes(bytes);
        add(role, "messages/s of leases", "node of the data centre", m_all.leaseMessages,
            nodesToday, nodesFuture);
        auto &leaseShare = add(role, "% of a core for leases", "node of the data centre",
                               m_all.leaseShare, nodesToday, nodesFuture);
        scale(leaseShare, 100, 100);
        countPercent(leaseShare);
    }

    // Two holders watch each runner: one places, the other takes over. A status each 10 s.
    void placementRows()
    {
        constexpr double Holders = 2;
        constexpr double StatusInterval = 10;
        constexpr double StatusBytes = 600;
        constexpr double StateBytes = 2000;
        const double today = Holders * RunnersToday / NodesToday;
        const double future = Holders * RunnersFuture / NodesFuture;
        const std::string role = "placement holder (design)";
        addWorkedOut(role, "runners a node", today, future);
        countBytes(addWorkedOut(role, "B/s of runners' status",
                                today / StatusInterval * StatusBytes,
                                future / StatusInterval * StatusBytes));
        countMegabytes(addWorkedOut(role, "MB", today * StateBytes / Megabyte,
                                    future * StateBytes / Megabyte));
    }

    void stopAndStartRows()
    {
        const std::string role = "stop and start";
        addFleet(role, "s from start to ready", [](const auto &f) { return f.joinSeconds; });
        addFleet(role, "B of a new process until all know it",
                 [](const auto &f) { return f.joinBytes; });
        addFleet(role, "s until all know a replacement",
                 [](const auto &f) { return f.replacement.seconds; });
        addFleet(role, "s until all know a death", [](const auto &f) { return f.death.seconds; });
    }

    void totalRows()
    {
        const std::string role = "TOTAL of a node";
        auto &bytes = addWorkedOut(role, "B/s", m_today.bytes, m_future.bytes);
        bytes.budget = BudgetBytesPerSecond;
        bytes.answer = "A4";
        auto &percent = addWorkedOut(role, "% of a core", m_today.percent, m_future.percent);
        percent.budget = BudgetPercent;
        percent.answer = "A3";
        auto &megabytes = addWorkedOut(role, "MB", m_today.megabytes, m_future.megabytes);
        megabytes.budget = BudgetMegabytes;
        megabytes.answer = "A3";
    }

    const measurements &m_all;
    std::vector<capacity_row> m_rows;
    totals m_today;
    totals m_future;
};

void printDisruption(const char *name, const std::vector<fleet_cost> &fleets,
                     disruption_cost fleet_cost::*member)
{
    for (const auto &fleet : fleets) {
        const auto &cost = fleet.*member;
        std::printf("%-24s %5zu  %s%6.1f  %9.0f  %9.0f\n", name, fleet.nodes,
                    cost.agreed ? " " : ">", cost.seconds, cost.bytesPerSecond, cost.messages);
    }
}

void printDisruptions(const std::vector<fleet_cost> &fleets)
{
    std::printf("\n%-24s %5s  %7s  %9s  %9s\n", "disruption", "nodes", "seconds", "B/s a node",
                "messages");
    printDisruption("all start at once", fleets, &fleet_cost::coldStart);
    printDisruption("a VM dies", fleets, &fleet_cost::death);
    printDisruption("a VM is replaced", fleets, &fleet_cost::replacement);
    printDisruption("a rack dies", fleets, &fleet_cost::rack);
    printDisruption("a data centre is cut off", fleets, &fleet_cost::dataCenterCut);
    printDisruption("it comes back", fleets, &fleet_cost::dataCenterHealed);
    printDisruption("regions are cut", fleets, &fleet_cost::regionCut);
    printDisruption("regions come back", fleets, &fleet_cost::regionHealed);
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    if (sizes.empty())
        sizes = {8, 16, 32, 64, 128, 256, 350};
    measurements all;
    // A content may have a megabyte, which 21,000 entries don't fit into.
    all.ownEntries = measureConfigurations({5, 1000, 3000, 6000}, false);
    all.sharedEntries = measureConfigurations({5, 1000, 5000, CustomersFuture}, true);
    measureNodeParts(all);
    measureFleets(all, sizes);
    const auto rows = table_builder(all).build();
    printTable(rows);
    printDisruptions(all.fleets);
    for (const auto &row : rows) {
        if (!row.fits() && row.answer.empty()) {
            std::fprintf(stderr, "capacity: '%s %s' doesn't fit and has no answer\n",
                         row.role.c_str(), row.quantity.c_str());
            return EXIT_FAILURE;
        }
    }
    return EXIT_SUCCESS;
}
