#pragma once

#include "gateway/servers/pool_key.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// `pool_load::freeResultBytes` of a service whose results need no accounted storage.
inline constexpr std::uint64_t UnlimitedResultBytes = std::numeric_limits<std::uint64_t>::max();

/// Load of a stage pool as its host reports it to the hosts of the other pools of the service.
struct pool_load
{
    struct rank_wait
    {
        stage_rank rank;
        milliseconds wait{0}; ///< expected, of a new piece of this rank

        friend bool operator==(const rank_wait &, const rank_wait &) = default;
    };

    pool_key pool;
    std::uint32_t waiting = 0; ///< pieces
    std::uint32_t idleServers = 0; ///< could begin a call now; without cold ones
    double piecesPerSecond = 0; ///< of all servers, in full calls
    std::uint64_t freeResultBytes = UnlimitedResultBytes; ///< at all servers that accept calls
    std::vector<rank_wait> waits; ///< of the ranks of the waiting pieces, most urgent first

    /// Returns the expected wait of a new piece: it waits behind the pieces of its own rank and of
    /// more urgent ones.
    [[nodiscard]] milliseconds waitOf(const stage_rank &rank) const;

    friend bool operator==(const pool_load &, const pool_load &) = default;
};

/// A pool that waiting pieces may be redirected to.
struct redirection_target
{
    pool_load load;
    milliseconds age{0}; ///< of the report
    /// What was redirected there and isn't contained in the report.
    std::uint32_t sentPieces = 0;
    std::uint64_t sentResultBytes = 0;
};

/// Keeps the reports of other pools, with what was redirected to each, and decides when this node
/// sends reports of the pools that it hosts.
class pool_load_table
{
public:
    explicit pool_load_table(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Records a report that has just arrived.
    void onReport(pool_load load);
    /// Records that pieces were redirected to a pool.
    void onRedirected(const pool_key &to, std::uint32_t pieces, std::uint64_t resultBytes);
    /// Records that a pool hosted here received pieces redirected from another pool. For a while
    /// nothing is redirected the other way.
    void onReceived(const pool_key &by, const pool_key &from);

    /// Returns the age of the latest report of a pool; empty if there is none that may be used.
    [[nodiscard]] std::optional<milliseconds> reportAge(const pool_key &pool) const;
    /// Returns a pool that pieces of `from` may be redirected to; empty if its report is missing or
    /// too old, or if `from` received pieces from it a short time ago.
    [[nodiscard]] std::optional<redirection_target> find(const pool_key &from,
                                                         const pool_key &to) const;

    /// Returns whether the load of a pool hosted here is to be sent now to the hosts of all other
    /// pools of its service, and records it as sent. `fullCall` is the number of pieces of a full
    /// call.
    [[nodiscard]] bool takeReport(const pool_key &pool, std::uint32_t waiting,
                                  std::uint32_t fullCall);
    /// Returns whether the report of pool `asking` is to be answered now with the load of `pool`,
    /// and records the answer as sent.
    [[nodiscard]] bool takeAnswer(const pool_key &pool, const pool_key &asking);

private:
    struct sent_pieces
    {
        steady_time at;
        std::uint32_t pieces = 0;
        std::uint64_t resultBytes = 0;
    };
    struct entry
    {
        pool_load load;
        steady_time reportedAt;
        std::deque<sent_pieces> sent;
    };
    struct own_report
    {
        steady_time at;
        std::uint32_t waiting = 0;
    };
    using pool_pair = std::pair<pool_key, pool_key>;

    void dropOld();

    const clock_source &m_clock;
    std::map<pool_key, entry> m_entries;
    std::map<pool_pair, steady_time> m_receivedAt; ///< by receiving pool and origin
    std::map<pool_key, own_report> m_reports;
    std::map<pool_pair, steady_time> m_answers; ///< by own pool and asking pool
};

} // namespace orchidlead::gateway
