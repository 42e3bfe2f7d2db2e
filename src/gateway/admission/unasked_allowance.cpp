#include "gateway/admission/unasked_allowance.h"

namespace orchidlead::gateway {

namespace {

// How long a report is recent: about one call. The queue of a pool under twice its load grows by
// that much meanwhile.
constexpr milliseconds RecentReport{300};

} // namespace

void unasked_allowance::onReportedWait(const pool_key &pool, const stage_rank &rank,
                                       milliseconds wait)
{
    m_reports[{pool, rank}] = {wait, m_clock.now()};
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
    const bool fits = report.unaskedPieces + wanted.pieces <= wanted.maxPiecesPerCall;
    if (report.unaskedPieces > 0 && !(isRecent && fits))
        return false;
    report.unaskedPieces += wanted.pieces;
    return true;
}

} // namespace orchidlead::gateway
