#include "gateway/admission/pool_share.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Server time, or result storage, whichever the pieces take more of.
pool_time costOf(const reserved_stage &stage, const pool_estimate &pool)
{
    const double serverTime = stage.pieces / pool.piecesPerSecond;
    const double roomTime = pool.bytesPerSecond > 0
        ? static_cast<double>(stage.resultBytes) * stage.pieces / pool.bytesPerSecond
        : 0.0;
    return pool_time{std::max(serverTime, roomTime)};
}

} // namespace

// Times count from the arrival of the pieces. The wait of an answer includes a full call as a
// margin; it is left out of both times, as it is no work that keeps the pool busy.
std::optional<overload_query> overloadQueryOf(const reservation_query &query,
                                              const std::vector<pool_estimate> &pool,
                                              const reservation_answer &answer)
{
    overload_query request{query.digest, query.customer, query.rank};
    request.maxRetryAfter = query.maxRetryAfter;
    request.latestStart = milliseconds::max();
    milliseconds margin{0};
    for (std::size_t i = 0; i < query.stages.size() && i < pool.size(); ++i) {
        const auto &stage = query.stages[i];
        if (pool[i].piecesPerSecond <= 0)
            return std::nullopt;
        request.cost += costOf(stage, pool[i]);
        margin = std::max(
            margin,
            std::chrono::duration_cast<milliseconds>(
                MarginCalls * std::chrono::duration<double, std::milli>(pool[i].callTime)));
        request.latestStart = std::min(request.latestStart, stage.latestStart - stage.startsIn);
    }
    if (query.stages.empty() || pool.empty())
        return std::nullopt;
    request.latestStart = std::max(milliseconds{0}, request.latestStart - margin);
    request.wait = std::max(milliseconds{0}, answer.wait - margin);
    if (!answer.granted)
        request.wait = request.latestStart + std::max(milliseconds{1}, answer.retryAfter);
    else
        request.latestStart = std::max(request.latestStart, request.wait);
    return request;
}

} // namespace orchidlead::gateway
