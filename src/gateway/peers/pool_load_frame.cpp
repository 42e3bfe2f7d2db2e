#include "gateway/peers/pool_load_frame.h"

#include <algorithm>
#include <cmath>

namespace orchidlead::gateway {

pool_load_fields toFields(const pool_load_frame &frame)
{
    const auto &load = frame.load;
    pool_load_fields fields{
        load.pool.service.value, load.pool.dataCenter.value, load.pool.region.value, load.waiting,
        load.idleServers,        load.piecesPerSecond,       load.freeResultBytes,   {}};
    auto &waits = std::get<7>(fields);
    for (const auto &each : load.waits) {
        // The least urgent ranks are left out: their pieces wait for at least as long.
        if (waits.size() == MaxReportedRanks)
            break;
        waits.emplace_back(each.rank.priority, each.rank.routePriority, each.wait.count());
    }
    return fields;
}

// Longer waits could overflow when they are compared.
constexpr milliseconds MaxWait{std::chrono::hours{24}};

// A rate or wait that is negative or not finite would make the receiver's comparisons meaningless.
std::optional<pool_load_frame> poolLoadFrameOf(const pool_load_fields &fields)
{
    const auto &[service, dataCenter, region, waiting, idle, rate, freeBytes, waits] = fields;
    const bool valid = !service.empty() && !dataCenter.empty() && std::isfinite(rate) && rate >= 0
        && waits.size() <= MaxReportedRanks && std::ranges::all_of(waits, [](const auto &each) {
               return std::get<2>(each) >= 0 && std::get<2>(each) <= MaxWait.count();
           });
    if (!valid)
        return std::nullopt;
    pool_load_frame frame;
    frame.load.pool = {service_id(service), data_center_id(dataCenter), region_id(region)};
    frame.load.waiting = waiting;
    frame.load.idleServers = idle;
    frame.load.piecesPerSecond = rate;
    frame.load.freeResultBytes = freeBytes;
    for (const auto &[priority, routePriority, wait] : waits)
        frame.load.waits.push_back({{priority, routePriority}, milliseconds{wait}});
    return frame;
}

} // namespace orchidlead::gateway
