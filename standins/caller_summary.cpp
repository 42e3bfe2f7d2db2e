#include "standins/caller_summary.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

namespace orchidlead::standins {

namespace {

/// Collects the times of one line of a table.
class time_sample
{
public:
    void add(std::int64_t millis) { m_millis.push_back(millis); }

    [[nodiscard]] std::int64_t quantile(double share)
    {
        if (m_millis.empty())
            return 0;
        std::sort(m_millis.begin(), m_millis.end());
        const auto index = static_cast<std::size_t>(share * static_cast<double>(m_millis.size()));
        return m_millis[std::min(index, m_millis.size() - 1)];
    }

private:
    std::vector<std::int64_t> m_millis;
};

struct stage_line
{
    std::uint64_t runs = 0;
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::int64_t busyMs = 0;
    std::uint64_t tokens = 0;
    time_sample elapsed;
};

template <class... Values>
void appendLine(std::string &table, const char *format, Values... values)
{
    constexpr std::size_t MaxLine = 256;
    std::array<char, MaxLine> line{};
    std::snprintf(line.data(), line.size(), format, values...);
    table += line.data();
    table += '\n';
}

void count(const caller_record &record, caller_totals &totals)
{
    ++totals.requests;
    totals.attained += record.attained() ? 1 : 0;
    totals.answered += record.end == caller_end::Answered ? 1 : 0;
    totals.notRun += record.end == caller_end::NotRun ? 1 : 0;
    totals.failed += record.end == caller_end::Failed ? 1 : 0;
    totals.unknown += record.end == caller_end::Unknown ? 1 : 0;
    totals.expired += record.end == caller_end::Expired ? 1 : 0;
    totals.lost += record.end == caller_end::Lost ? 1 : 0;
    for (const answer_fault fault : record.faults)
        ++(fault == answer_fault::Foreign ? totals.foreign : totals.incomplete);
}

void addStages(const caller_record &record, std::map<std::string, stage_line> &lines)
{
    for (const caller_stage &stage : record.stages) {
        stage_line &line = lines[stage.stage];
        ++line.runs;
        line.attempts += stage.attempts;
        line.hedges += stage.hedges;
        line.busyMs += stage.busyMs;
        line.tokens += stage.tokens;
        line.elapsed.add(stage.elapsedMs);
    }
}

} // namespace

caller_totals countEnds(const std::vector<caller_record> &records)
{
    caller_totals totals;
    for (const caller_record &record : records)
        count(record, totals);
    return totals;
}

std::string summaryByClass(const std::vector<caller_record> &records)
{
    std::map<std::string, caller_totals> lines;
    std::map<std::string, time_sample> times;
    for (const caller_record &record : records) {
        count(record, lines[record.workClass]);
        if (record.end == caller_end::Answered)
            times[record.workClass].add(
                std::chrono::duration_cast<milliseconds>(record.ended - record.begun).count());
    }
    std::string table;
    appendLine(table, "%-18s %8s %8s %8s %8s %7s %7s %7s %5s %7s %7s", "requests", "sent",
               "answered", "attained", "not run", "failed", "unknown", "expired", "lost", "p50 ms",
               "p99 ms");
    for (const auto &[name, line] : lines) {
        time_sample &sample = times[name];
        appendLine(table, "%-18s %8zu %8zu %8zu %8zu %7zu %7zu %7zu %5zu %7lld %7lld", name.c_str(),
                   line.requests, line.answered, line.attained, line.notRun, line.failed,
                   line.unknown, line.expired, line.lost,
                   static_cast<long long>(sample.quantile(0.5)),
                   static_cast<long long>(sample.quantile(0.99)));
    }
    return table;
}

std::string summaryOfReasons(const std::vector<caller_record> &records)
{
    std::map<std::string, std::size_t> lines;
    for (const caller_record &record : records) {
        if (record.end != caller_end::Answered)
            ++lines[record.workClass + ": " + std::string(toName(record.end)) + ", "
                    + record.reason];
    }
    std::string table;
    for (const auto &[reason, requests] : lines)
        appendLine(table, "%zu %s", requests, reason.c_str());
    return table;
}

std::string summaryByStage(const std::vector<caller_record> &records)
{
    std::map<std::string, stage_line> lines;
    for (const caller_record &record : records)
        addStages(record, lines);
    std::string table;
    appendLine(table, "%-18s %8s %8s %7s %9s %8s %7s %7s", "stage", "requests", "attempts",
               "hedges", "busy ms", "tokens", "p50 ms", "p99 ms");
    for (auto &[name, line] : lines) {
        appendLine(table, "%-18s %8llu %8llu %7llu %9lld %8llu %7lld %7lld", name.c_str(),
                   static_cast<unsigned long long>(line.runs),
                   static_cast<unsigned long long>(line.attempts),
                   static_cast<unsigned long long>(line.hedges),
                   static_cast<long long>(line.busyMs),
                   static_cast<unsigned long long>(line.tokens),
                   static_cast<long long>(line.elapsed.quantile(0.5)),
                   static_cast<long long>(line.elapsed.quantile(0.99)));
    }
    return table;
}

} // namespace orchidlead::standins
