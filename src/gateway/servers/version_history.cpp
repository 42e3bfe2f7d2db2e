#include "gateway/servers/version_history.h"

#include <algorithm>
#include <iterator>

namespace orchidlead::gateway {

version_history::version_history(const clock_source &clock)
    : m_clock(clock)
{ }

void version_history::record(const service_id &service, const version_shares &shares)
{
    const auto now = m_clock.now();
    if (!m_knownSince)
        m_knownSince = now;
    auto &kept = m_services[service];
    if (!kept.changes.empty() && kept.changes.back().shares == shares)
        return;
    kept.changes.push_back({now, shares});
    dropOld(kept);
}

// The latest change of those that are too old still applies at the beginning of the kept time.
void version_history::dropOld(service_changes &kept)
{
    const auto oldest = m_clock.now() - Memory;
    while (kept.changes.size() > 1
           && (kept.changes[1].at <= oldest || kept.changes.size() > MaxChanges)) {
        kept.changes.pop_front();
        kept.droppedUntil = kept.changes.front().at;
    }
}

void version_history::forgetBeforeNow()
{
    m_knownSince = m_clock.now();
}

// A change whose time isn't known counts as having happened immediately before the first one that
// was recorded, so that the shares before it count as having applied until then.
void version_history::addEarlier(const earlier_shares &earlier, steady_time since)
{
    if (!m_knownSince || since >= *m_knownSince)
        return;
    for (const auto &[service, shares] : earlier) {
        auto &kept = m_services[service];
        const auto until = std::ranges::find_if(
            kept.changes, [&](const change &each) { return each.at >= *m_knownSince; });
        std::vector<change> added;
        for (const auto &each : shares) {
            const auto age =
                each.appliedBy ? m_clock.wallNow() - *each.appliedBy : wall_time::duration::zero();
            const auto at = m_clock.now() - std::chrono::duration_cast<steady_time::duration>(age);
            added.push_back({std::min(at, *m_knownSince), each.shares});
        }
        kept.changes.insert(until, added.begin(), added.end());
    }
    m_knownSince = since;
}

const version_shares *version_history::current(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.changes.back().shares;
}

bool version_history::covers(const service_id &service, steady_time since) const
{
    if (!m_knownSince || *m_knownSince > since)
        return false;
    const auto found = m_services.find(service);
    return found == m_services.end() || !found->second.droppedUntil
        || *found->second.droppedUntil <= since;
}

template <class Visitor>
void version_history::visitSince(const service_id &service, steady_time since, Visitor visit) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    const auto &changes = found->second.changes;
    auto each = std::ranges::find_if(changes, [&](const change &one) { return one.at > since; });
    if (each != changes.begin())
        --each;
    while (each != changes.end() && visit(each->shares))
        ++each;
}

bool version_history::hadOneVersionSince(const service_id &service, steady_time since) const
{
    std::optional<software_version> only;
    bool one = true;
    visitSince(service, since, [&](const version_shares &shares) {
        for (const auto &[version, count] : shares.servers) {
            one = one && (!only || *only == version);
            only = version;
        }
        one = one && shares.unknown == 0;
        return one;
    });
    return one;
}

// While no server is ready, nothing begins.
std::optional<software_version> version_history::assignedSince(const request_digest &subject,
                                                               const service_id &service,
                                                               steady_time since) const
{
    std::optional<software_version> assigned;
    bool certain = true;
    visitSince(service, since, [&](const version_shares &shares) {
        if (shares.total() == 0)
            return true;
        const auto version = assignedVersion(subject, shares);
        certain = version && (!assigned || *assigned == *version);
        assigned = version;
        return certain;
    });
    return certain ? assigned : std::nullopt;
}

} // namespace orchidlead::gateway
