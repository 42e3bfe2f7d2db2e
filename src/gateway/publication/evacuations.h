#pragma once

#include <orchidlead/ids.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace orchidlead::gateway {

/// The data centres that operators have evacuated, as known up to a revision of the store.
struct evacuation_list
{
    std::uint64_t revision = 0; ///< everything up to it is known; 0: nothing is
    std::set<data_center_id> dataCenters;

    friend bool operator==(const evacuation_list &, const evacuation_list &) = default;
};

/// Keeps which data centres are evacuated: their servers get nothing new, and end what they have.
///
/// Goes forward only: what is known already, from the store or from a peer, is told again in any
/// order and changes nothing. It needs no time, so a node that was cut off has the right list with
/// the first word that it hears from whoever knows more.
class evacuation_state
{
public:
    /// A data centre was evacuated, or given back, by a change of that revision. Gives whether that
    /// is news.
    bool onChange(const data_center_id &dataCenter, bool evacuated, std::uint64_t revision)
    {
        if (revision <= m_list.revision)
            return false;
        return evacuated ? m_list.dataCenters.insert(dataCenter).second
                         : m_list.dataCenters.erase(dataCenter) > 0;
    }
    /// All changes up to this revision were told.
    void knowUpTo(std::uint64_t revision) { m_list.revision = std::max(m_list.revision, revision); }
    /// Takes a whole list; gives whether it changes anything.
    bool take(const evacuation_list &list)
    {
        if (list.revision <= m_list.revision)
            return false;
        const bool differs = list.dataCenters != m_list.dataCenters;
        m_list = list;
        return differs;
    }

    [[nodiscard]] const evacuation_list &list() const { return m_list; }
    [[nodiscard]] bool holds(const data_center_id &dataCenter) const
    {
        return m_list.dataCenters.contains(dataCenter);
    }

private:
    evacuation_list m_list;
};

} // namespace orchidlead::gateway
