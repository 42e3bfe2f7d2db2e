#include "gateway/admission/reserved_stages.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

milliseconds reservationTime(std::chrono::microseconds time)
{
    return std::clamp(std::chrono::duration_cast<milliseconds>(time), -MaxReservationTime,
                      MaxReservationTime);
}

} // namespace

// A request that would be late without any queue is served late, as its client may wait for it. Its
// pieces are granted a wait of one call, beyond which the pool has a backlog.
std::map<pool_key, std::vector<reserved_stage>>
reservedStagesOf(const request_outline &request, const latency_estimator &estimator,
                 std::chrono::microseconds objectiveLeft, bool defersLeafStages)
{
    const auto &specs = request.routeSpec.stages;
    const auto times = estimator.stageTimes(request);
    const auto after = estimator.timesAfterStages(request, times);
    const auto until =
        latency_estimator::timesUntilStages(request.routeSpec, times, defersLeafStages);
    std::map<pool_key, std::vector<reserved_stage>> stages;
    for (std::uint32_t i = 0; i < specs.size(); ++i) {
        const auto *service = request.configuration.findService(specs[i].service);
        if (request.pieces[i] == 0 || !service || !service->stage)
            continue;
        const auto callTime = latency_estimator::fullBatchCallTime(service);
        auto latestStart = objectiveLeft - after[i] - callTime;
        if (latestStart < until[i])
            latestStart = until[i] + callTime;
        stages[request.pools[i]].push_back({i, request.pieces[i], specs[i].resultBytes,
                                            reservationTime(until[i]),
                                            reservationTime(latestStart)});
    }
    return stages;
}

} // namespace orchidlead::gateway
