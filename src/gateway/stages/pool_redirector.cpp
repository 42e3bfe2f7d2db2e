#include "gateway/stages/pool_redirector.h"

#include "gateway/log_event.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Minimum time between two log lines about redirections from one pool to another. A decision may
// follow each arrival of pieces in a burst.
constexpr milliseconds LogInterval{100};
// Age from which on the load of another pool that this node hosts itself is read again: as old as
// reports of other hosts get.
constexpr milliseconds OwnReportAge{100};

} // namespace

pool_redirector::pool_redirector(const clock_source &clock, wire::log &log,
                                 gateway_metrics &metrics, peer_network &peers,
                                 const server_directory &directory, pool_splitter &splitter,
                                 callbacks node)
    : m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_peers(peers)
    , m_directory(directory)
    , m_splitter(splitter)
    , m_node(std::move(node))
    , m_table(clock)
{ }

// A node that can't open a link to the host of a pool in another data centre takes the pool over
// for its own pieces, while the members there still use that host. Neither of the two then knows
// the load of the servers.
bool pool_redirector::isOnlyHost(const pool_key &pool) const
{
    const auto &view = m_peers.view();
    return m_node.hostOf(pool) == m_peers.self()
        && (pool.dataCenter == view.dataCenter() || !view.hasPeerIn(pool.dataCenter));
}

bool pool_redirector::isOpen(const pool_key &pool) const
{
    const auto now = m_clock.now();
    return std::ranges::any_of(m_directory.usable(pool), [&](const server_ptr &each) {
        return each->accepts(now) && !each->cold(now);
    });
}

std::vector<redirection_target> pool_redirector::targetsOf(const pool_key &pool)
{
    std::vector<redirection_target> targets;
    const auto others = m_splitter.otherPools(pool);
    if (others.empty() || !isOnlyHost(pool))
        return targets;
    for (const auto &other : others) {
        const auto age = m_table.reportAge(other);
        if ((!age || *age >= OwnReportAge) && isOnlyHost(other))
            m_table.onReport(m_node.loadOf(other));
        auto target = m_table.find(pool, other);
        if (target && isOpen(other))
            targets.push_back(*std::move(target));
    }
    return targets;
}

void pool_redirector::onRedirected(const pool_key &from,
                                   const std::vector<piece_redirection> &redirections)
{
    for (const auto &each : redirections) {
        const auto pieces = static_cast<std::uint32_t>(each.tokens.size());
        m_table.onRedirected(each.to, pieces, each.resultBytes);
        m_metrics.onRedirected(from.service, redirection_event::Away, pieces);
        log(from, each);
    }
}

void pool_redirector::log(const pool_key &from, const piece_redirection &redirection)
{
    auto &counts = m_unlogged[{from, redirection.to}];
    ++counts.decisions;
    counts.pieces += redirection.tokens.size();
    counts.groups += redirection.groups;
    if (m_clock.now() - counts.loggedAt < LogInterval)
        return;
    m_log.write(wire::log_level::Info,
                m_log.line(wire::log_level::Info, toName(log_event::PiecesRedirected))
                    .add("service", from.service.value)
                    .add("data_center", from.dataCenter.value)
                    .add("to", redirection.to.dataCenter.value)
                    .add("decisions", counts.decisions)
                    .add("pieces", counts.pieces)
                    .add("groups", counts.groups)
                    .add("wait_ms", redirection.longestWait.count())
                    .add("reported_wait_ms", redirection.reportedWait.count())
                    .add("report_age_ms", redirection.reportAge.count()));
    counts = {m_clock.now()};
}

void pool_redirector::onReceived(const pool_key &by, const data_center_id &from)
{
    m_table.onReceived(by, {by.service, from, by.region});
    m_metrics.onRedirected(by.service, redirection_event::Received, 1);
}

void pool_redirector::onReturned(const pool_key &pool)
{
    m_metrics.onRedirected(pool.service, redirection_event::Returned, 1);
}

void pool_redirector::report(const pool_key &pool, std::size_t waiting, std::uint32_t fullCall)
{
    const auto others = m_splitter.otherPools(pool);
    if (others.empty() || !isOnlyHost(pool)
        || !m_table.takeReport(pool, static_cast<std::uint32_t>(waiting), fullCall))
        return;
    const pool_load_frame frame{m_node.loadOf(pool)};
    for (const auto &other : others) {
        if (const auto host = m_node.hostOf(other); host != m_peers.self())
            m_peers.send(host, frame);
    }
}

// A host with waiting pieces sends reports of its own. Only reports of pools with waiting pieces
// are answered, so that two idle hosts don't answer each other for ever.
void pool_redirector::onFrame(const std::shared_ptr<peer_link> &link, const pool_load_frame &frame)
{
    m_table.onReport(frame.load);
    if (frame.load.waiting == 0)
        return;
    for (const auto &own : m_splitter.otherPools(frame.load.pool)) {
        if (!isOnlyHost(own))
            continue;
        auto load = m_node.loadOf(own);
        if (load.waiting == 0 && m_table.takeAnswer(own, frame.load.pool))
            link->send(pool_load_frame{std::move(load)});
    }
}

} // namespace orchidlead::gateway
