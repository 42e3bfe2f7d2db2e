#pragma once

#include <orchidlead/ids.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace orchidlead::gateway {

/// The data centres evacuated by operators, as of a revision of the store.
struct evacuation_list
{
    std::uint64_t revision = 0; ///< all changes up to this revision are included; 0: none
    std::set<data_center_id> dataCenters;

    friend bool operator==(const evacuation_list &, const evacuation_list &) = default;
};

/// Tracks the evacuated data centres. Their servers get no new work and finish what they have.
///
/// Only changes with a later revision are applied, so repeated or reordered messages from the store
/// or from peers have no effect. No clock is involved: a node that was partitioned has the correct
/// list after the first message from a better informed peer.
class evacuation_state
{
public:
    /// Applies the evacuation of a data centre, or its end, from a store change of that revision.
    /// Returns whether the state changed.
    bool applyChange(const data_center_id &dataCenter, bool evacuated, std::uint64_t revision)
    {
        if (revision <= m_list.revision)
            return false;
        return evacuated ? m_list.dataCenters.insert(dataCenter).second
                         : m_list.dataCenters.erase(dataCenter) > 0;
    }
    /// Records that all changes up to `revision` have been applied.
    void advanceRevision(std::uint64_t revision)
    {
        m_list.revision = std::max(m_list.revision, revision);
    }
    /// Replaces the list if `list` is newer. Returns whether the set of data centres changed.
    bool replaceIfNewer(const evacuation_list &list)
    {
        if (list.revision <= m_list.revision)
            return false;
        const bool differs = list.dataCenters != m_list.dataCenters;
        m_list = list;
        return differs;
    }

    [[nodiscard]] const evacuation_list &list() const { return m_list; }
    [[nodiscard]] bool isEvacuated(const data_center_id &dataCenter) const
    {
        return m_list.dataCenters.contains(dataCenter);
    }

private:
    evacuation_list m_list;
};

} // namespace orchidlead::gateway
