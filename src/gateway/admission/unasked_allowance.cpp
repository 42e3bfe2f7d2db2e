#include "gateway/admission/unasked_allowance.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// How long a report is recent: about one call. The queue of a pool under twice its load grows by
// that much meanwhile.
constexpr milliseconds RecentReport{300};

// Age of pieces from which on a report includes them: they have arrived at the pool, after two
// calls of 280 ms in the stages before and a short wait. Younger ones count beyond the report.
// Otherwise each report of a burst would let in the pieces of another full call before the pool
// knows of the former ones.
constexpr milliseconds TransitTime{700};

} // namespace

void unasked_allowance::onReportedWait(const pool_key &pool, const stage_rank &rank,
                                       milliseconds wait)
{
    auto &report = m_reports[{pool, rank}];
    report.wait = wait;
    report.at = m_clock.now();
    std::erase_if(report.unasked,
                  [&](const unasked_request &each) { return report.at - each.at > TransitTime; });
    for (auto &each : report.unasked)
        each.reported = true;
}

// A recent report allows the pieces of a full call. After an older one, or none at all, the pieces
// of one request go unasked, and the report with their outcomes decides about the next requests:
// nodes with few requests then send no messages for admission while nothing is scarce.
bool unasked_allowance::tryUse(const pool_key &pool, const stage_rank &rank, const demand &wanted)
{
    const auto [entry, isNew] = m_reports.try_emplace({pool, rank});
    auto &report = entry->second;
    if (report.wait >= wanted.callTime && !isNew)
        return false;
    const bool isRecent = !isNew && m_clock.now() - report.at <= RecentReport;
    const auto unasked = countUnasked(report, wanted);
    const bool fits = unasked + wanted.pieces <= wanted.maxPiecesPerCall;
    if (unasked > 0 && !(isRecent && fits))
        return false;
    report.unasked.push_back({wanted.pieces, m_clock.now()});
    return true;
}

// Each report lets at least one piece go unasked, whatever is in transit.
std::uint32_t unasked_allowance::countUnasked(const pool_report &report, const demand &wanted)
{
    std::uint32_t inTransit = 0;
    std::uint32_t sinceReport = 0;
    for (const auto &each : report.unasked)
        (each.reported ? inTransit : sinceReport) += each.pieces;
    return sinceReport + std::min(inTransit, std::max(1U, wanted.maxPiecesPerCall) - 1);
}

} // namespace orchidlead::gateway
