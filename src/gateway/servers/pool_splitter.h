#pragma once

#include "gateway/servers/pool_key.h"
#include "gateway/servers/server_directory.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// Limits on the number of servers in the data centre with the fewest servers, from which on each
/// data centre gets its own pool.
struct pool_split_limits
{
    std::size_t minServersToSplit = 0; ///< pools are split from this number on
    std::size_t minServersToStaySplit = 0; ///< pools are joined again below this number
};

/// Decides whether each service has one pool per region or one pool per data centre. No pool spans
/// regions: the latency between regions is high, and work restricted to one region has to stay
/// there.
///
/// Split pools keep the results of a request in one data centre, are not divided when data centres
/// lose contact, and spread the scheduling work over several hosts. Joined pools fill batched calls
/// where a data centre has few servers. Each node decides from the servers that it knows; while
/// nodes disagree, a server may get work from two hosts.
class pool_splitter
{
public:
    pool_splitter(const server_directory &directory, const pool_split_limits &limits);

    /// Disables splitting of pools for good.
    void disableSplitting() { m_limits = {NeverSplit, NeverSplit}; }

    /// Returns the pool for work that is best done in `preferredDataCenter` and is restricted to
    /// the regions of `allowed`. The pool is in the region of `preferredDataCenter` if that region
    /// is allowed and has servers.
    [[nodiscard]] pool_key poolFor(const service_id &service,
                                   const data_center_id &preferredDataCenter,
                                   const residency &allowed = {});
    /// Returns the pools of the other data centres of a split service in the region of `pool`;
    /// empty if its pools aren't split.
    [[nodiscard]] std::vector<pool_key> otherPools(const pool_key &pool);

private:
    static constexpr std::size_t NeverSplit = std::numeric_limits<std::size_t>::max();

    struct split_state
    {
        /// Value of `server_directory::changes()` at the last evaluation.
        std::uint64_t directoryChanges = 0;
        bool isSplit = false;
        std::map<data_center_id, std::size_t> servers; ///< usable servers
    };

    [[nodiscard]] const split_state &splitStateOf(const service_id &service,
                                                  const region_id &region);
    [[nodiscard]] region_id regionFor(const service_id &service,
                                      const data_center_id &preferredDataCenter,
                                      const residency &allowed) const;

    const server_directory &m_directory;
    pool_split_limits m_limits;
    /// By service and region; the region is empty if there is only one.
    std::map<std::pair<service_id, region_id>, split_state> m_splitStates;
};

} // namespace orchidlead::gateway
