#include "gateway/stages/stage_pool.h"

#include <algorithm>
#include <unordered_map>

namespace orchidlead::gateway {

std::vector<waiting_group> stage_pool::redirectableGroups(double servers)
{
    const auto now = m_clock.now();
    m_order.sort(m_waiting, {}, now);
    std::map<std::uint64_t, room_forecast> forecasts; // by size of a result
    std::uint64_t bytesWithRoom = 0; // of the pieces up to the group
    const auto forecastOf = [&](std::uint64_t bytes) -> const room_forecast & {
        const auto known = forecasts.find(bytes);
        return known != forecasts.end()
            ? known->second
            : forecasts.emplace(bytes, m_room.forecast(servers, bytes)).first->second;
    };
    std::vector<waiting_group> groups;
    for (std::size_t begin = 0; begin < m_waiting.size();) {
        const auto end = groupEnd(m_waiting, begin);
        waiting_group group;
        for (; begin < end; ++begin) {
            const auto &job = m_waiting[begin];
            bytesWithRoom += m_waits.needsRoom(job.resultBytes) ? job.resultBytes : 0;
            // A piece that was in a call may have run.
            if (!job.mayBeRedirected || job.tries > 0)
                continue;
            group.tokens.push_back(job.token);
            group.inputBytes += job.inputBytes;
            group.resultBytes += job.resultBytes;
        }
        if (group.tokens.empty())
            continue;
        const auto &last = m_waiting[end - 1];
        group.rank = last.rank;
        group.inputsIn = last.preferredDataCenter;
        group.softDeadlineLeft = std::chrono::duration_cast<milliseconds>(last.softDeadline - now);
        auto wait = m_waits.serverWait(end, last.rank, servers);
        if (m_waits.needsRoom(last.resultBytes))
            wait = std::max(
                wait, m_waits.roomWait(forecastOf(last.resultBytes), bytesWithRoom, last.rank));
        group.wait = std::chrono::duration_cast<milliseconds>(wait);
        groups.push_back(std::move(group));
    }
    return groups;
}

std::vector<piece_outcome>
stage_pool::takeGroups(const std::vector<piece_redirection> &redirections)
{
    std::unordered_map<piece_token, const pool_key *> targets;
    for (const auto &each : redirections) {
        for (const auto token : each.tokens)
            targets.emplace(token, &each.to);
    }
    std::vector<piece_outcome> out;
    std::erase_if(m_waiting, [&](const piece_task &job) {
        const auto found = targets.find(job.token);
        if (found == targets.end())
            return false;
        out.push_back({job.token, piece_failure::Redirected, *found->second});
        return true;
    });
    return out;
}

pool_load stage_pool::loadOf(const pool_key &pool, const std::vector<server_ptr> &accepting,
                             double servers) const
{
    const auto now = m_clock.now();
    pool_load load;
    load.pool = pool;
    load.waiting = static_cast<std::uint32_t>(m_waiting.size());
    load.piecesPerSecond = servers * m_capacity.maxPiecesPerCall
        / std::max(std::chrono::duration<double>(fullCallTime()).count(), 1e-6);
    if (m_capacity.resultMemoryBytes > 0)
        load.freeResultBytes = 0;
    for (const auto &each : accepting) {
        const bool idle = m_servers.isIdle(each->record.start());
        load.idleServers += idle && !each->cold(now) && each->avoidUntil <= now ? 1 : 0;
        if (m_capacity.resultMemoryBytes > 0)
            load.freeResultBytes += m_room.freeBytesAt(each->record.start());
    }
    std::map<stage_rank, std::uint64_t> largestResults;
    for (const auto &job : m_waiting)
        largestResults[job.rank] = std::max(largestResults[job.rank], job.resultBytes);
    for (const auto &[rank, bytes] : largestResults)
        load.waits.push_back({rank, expectedWait(rank, servers, bytes)});
    return load;
}

} // namespace orchidlead::gateway
