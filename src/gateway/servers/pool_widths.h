#pragma once

#include "gateway/servers/pool_key.h"
#include "gateway/servers/server_directory.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

namespace orchidlead::gateway {

/// From how many servers on a data centre has a pool of its own, in the data centre that has
/// fewest.
struct pool_width_limits
{
    std::size_t split = 0; ///< at least so many: pools are split
    std::size_t join = 0; ///< fewer than so many: they are joined again
};

/// Decides how wide the pools of each service are: one for each region, or one for each data
/// centre. No pool spans regions: they are far apart, and work that is bound to one stays there.
///
/// Split pools keep the results of a request in one data centre, stay whole in a cut, and share the
/// work of hosts; joined ones fill calls where a data centre has few servers. Each node decides by
/// the servers that it knows; where nodes disagree for a moment a server gets work from two hosts.
class pool_widths
{
public:
    pool_widths(const server_directory &directory, const pool_width_limits &limits);

    /// All pools are joined from now on.
    void keepJoined() { m_limits = {NeverSplit, NeverSplit}; }

    /// Gives the pool for work that is best done in `near`, and may be done where `allowed` says.
    /// It is in the region of `near` if that may be and has servers.
    [[nodiscard]] pool_key poolFor(const service_id &service, const data_center_id &near,
                                   const residency &allowed = {});

private:
    static constexpr std::size_t NeverSplit = std::numeric_limits<std::size_t>::max();

    struct width
    {
        std::uint64_t seen = 0; ///< changes of the directory up to which this holds
        bool split = false;
        std::map<data_center_id, std::size_t> servers; ///< usable ones
    };

    [[nodiscard]] const width &widthOf(const service_id &service, const region_id &region);
    [[nodiscard]] region_id regionFor(const service_id &service, const data_center_id &near,
                                      const residency &allowed) const;

    const server_directory &m_directory;
    pool_width_limits m_limits;
    std::map<std::pair<service_id, region_id>, width> m_widths; ///< no region: there is but one
};

} // namespace orchidlead::gateway
