#include "gateway/stages/pool_load_table.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// How long a report is used. A pool can receive a full round of calls in that time.
constexpr milliseconds MaxReportAge{300};
// Minimum time between two reports of a pool, so that the control messages of a loaded pool stay
// below 10 per second for each other pool of its service.
constexpr milliseconds ReportInterval{100};
// Pieces that were redirected less than this before a report arrived may be missing in it: they go
// to the target by way of their submitter, which takes two messages, and the report takes one.
constexpr milliseconds RedirectionFlightTime{100};
// How long a pool that received pieces redirects none to the pool that they came from. Longer than
// the age of a report and the flight of the pieces, so that decisions on both sides never use
// reports from before the other's decision.
constexpr milliseconds ReverseBlockTime{600};

} // namespace

milliseconds pool_load::waitOf(const stage_rank &rank) const
{
    milliseconds longest{0};
    for (const auto &each : waits) {
        if (each.rank <= rank)
            longest = std::max(longest, each.wait);
    }
    return longest;
}

void pool_load_table::dropOld()
{
    const auto now = m_clock.now();
    std::erase_if(m_entries, [&](const auto &each) {
        return now - each.second.reportedAt > MaxReportAge + RedirectionFlightTime;
    });
    std::erase_if(m_receivedAt,
                  [&](const auto &each) { return now - each.second > ReverseBlockTime; });
    std::erase_if(m_answers, [&](const auto &each) { return now - each.second > ReportInterval; });
}

void pool_load_table::onReport(pool_load load)
{
    dropOld();
    auto &known = m_entries[load.pool];
    known.reportedAt = m_clock.now();
    known.load = std::move(load);
    while (!known.sent.empty() && known.sent.front().at + RedirectionFlightTime <= known.reportedAt)
        known.sent.pop_front();
}

void pool_load_table::onRedirected(const pool_key &to, std::uint32_t pieces,
                                   std::uint64_t resultBytes)
{
    const auto found = m_entries.find(to);
    if (found != m_entries.end())
        found->second.sent.push_back({m_clock.now(), pieces, resultBytes});
}

void pool_load_table::onReceived(const pool_key &by, const pool_key &from)
{
    m_receivedAt[{by, from}] = m_clock.now();
}

std::optional<milliseconds> pool_load_table::reportAge(const pool_key &pool) const
{
    const auto found = m_entries.find(pool);
    if (found == m_entries.end())
        return std::nullopt;
    const auto age = m_clock.now() - found->second.reportedAt;
    if (age > MaxReportAge)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(age);
}

std::optional<redirection_target> pool_load_table::find(const pool_key &from,
                                                        const pool_key &to) const
{
    const auto age = reportAge(to);
    const auto received = m_receivedAt.find({from, to});
    if (!age
        || (received != m_receivedAt.end() && m_clock.now() - received->second <= ReverseBlockTime))
        return std::nullopt;
    const auto &known = m_entries.at(to);
    redirection_target target{known.load, *age};
    for (const auto &each : known.sent) {
        target.sentPieces += each.pieces;
        target.sentResultBytes += each.resultBytes;
    }
    return target;
}

bool pool_load_table::takeReport(const pool_key &pool, std::uint32_t waiting,
                                 std::uint32_t fullCall)
{
    const auto now = m_clock.now();
    const auto found = m_reports.find(pool);
    const auto before = found == m_reports.end() ? 0 : found->second.waiting;
    const auto change = waiting > before ? waiting - before : before - waiting;
    const bool due = found == m_reports.end() || now - found->second.at >= ReportInterval;
    if (!due || (waiting == 0 && change <= fullCall))
        return false;
    m_reports[pool] = {now, waiting};
    return true;
}

bool pool_load_table::takeAnswer(const pool_key &pool, const pool_key &asking)
{
    const auto now = m_clock.now();
    const auto found = m_answers.find({pool, asking});
    if (found != m_answers.end() && now - found->second < ReportInterval)
        return false;
    m_answers[{pool, asking}] = now;
    return true;
}

} // namespace orchidlead::gateway
