#include <orchidlead/recent_vm_lists.h>

#include <algorithm>

namespace orchidlead {

namespace {

steady_time listMajorityUntil(const std::vector<vm_id> &vms,
                              const recent_vm_lists::vote_expiry &voteExpiry)
{
    if (vms.empty())
        return steady_time::min();
    std::vector<steady_time> expiries;
    expiries.reserve(vms.size());
    for (const auto &vm : vms)
        expiries.push_back(voteExpiry(vm));
    // Of n votes in descending order of expiry, those up to index n/2 (from 0) are more
    // than half.
    const auto middle = expiries.begin() + static_cast<std::ptrdiff_t>(vms.size() / 2);
    std::nth_element(expiries.begin(), middle, expiries.end(), std::greater<>{});
    return *middle;
}

} // namespace

recent_vm_lists::recent_vm_lists(milliseconds maxAge, milliseconds retention)
    : m_maxAge(maxAge)
    , m_retention(retention)
{ }

// The history is complete only while each confirmation arrives before the previous one is too old.
// After a gap, lists may have been published and replaced unseen, so a new history begins.
void recent_vm_lists::set(std::vector<vm_id> vms, steady_time confirmedAt, steady_time now)
{
    std::sort(vms.begin(), vms.end());
    vms.erase(std::unique(vms.begin(), vms.end()), vms.end());
    const bool gap = !m_initialized || confirmedAt > validUntil();
    if (gap) {
        m_completeSince = confirmedAt;
        m_confirmedAt = confirmedAt;
    }
    m_initialized = true;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    if (vms == m_current)
        return;
    if (!m_current.empty())
        m_past.push_back({std::move(m_current), now});
    if (m_past.size() > MaxPastLists) {
        m_past.erase(m_past.begin());
        m_completeSince = now;
    }
    m_current = std::move(vms);
}

bool recent_vm_lists::contains(const vm_id &vm) const
{
    if (std::binary_search(m_current.begin(), m_current.end(), vm))
        return true;
    return std::any_of(m_past.begin(), m_past.end(), [&vm](const past_list &list) {
        return std::binary_search(list.vms.begin(), list.vms.end(), vm);
    });
}

std::vector<vm_id> recent_vm_lists::voters() const
{
    std::vector<vm_id> all = m_current;
    for (const auto &list : m_past)
        all.insert(all.end(), list.vms.begin(), list.vms.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

bool recent_vm_lists::complete(steady_time now) const
{
    return m_initialized && now >= m_completeSince + m_retention;
}

steady_time recent_vm_lists::majorityUntil(const vote_expiry &voteExpiry, bool includePast) const
{
    steady_time until = listMajorityUntil(m_current, voteExpiry);
    if (!includePast)
        return until;
    for (const auto &list : m_past)
        until = std::min(until, listMajorityUntil(list.vms, voteExpiry));
    return until;
}

void recent_vm_lists::tick(steady_time now)
{
    std::erase_if(m_past,
                  [&](const past_list &list) { return now >= list.replacedAt + m_retention; });
}

} // namespace orchidlead
