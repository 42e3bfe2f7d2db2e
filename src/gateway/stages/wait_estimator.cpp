#include "gateway/stages/wait_estimator.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Weight of the more urgent pieces that arrive while a piece waits. In an emulated burst of 1.8
// times a pool's capacity, half of the refusals are reported within one call with this value and
// `AdmissionSlackCalls`, and within two to three calls without them. With twice the values, the
// least urgent requests lose a fifteenth of their answers in time in a deployment of six nodes.
constexpr double UrgentArrivalWeight = 0.5;
// Minimum fraction of a pool's capacity that estimates assume for a rank, whatever the arrival rate
// of more urgent pieces.
constexpr double MinCapacityShare = 0.05;

} // namespace

wait_estimator::wait_estimator(const clock_source &clock, const result_room &room)
    : m_clock(clock)
    , m_room(room)
{ }

void wait_estimator::onArrival(const stage_rank &rank, std::uint64_t resultBytes)
{
    const auto now = m_clock.now();
    m_arrivals[rank].onEvent(now);
    if (needsRoom(resultBytes))
        m_arrivingBytes[rank].onEvent(now, static_cast<double>(resultBytes));
}

std::chrono::microseconds wait_estimator::callTime(std::size_t pieces) const
{
    return m_capacity.callOverhead + m_capacity.timePerPiece * static_cast<int>(pieces);
}

std::chrono::microseconds wait_estimator::fullCallTime() const
{
    return callTime(m_capacity.maxPiecesPerCall);
}

bool wait_estimator::needsRoom(std::uint64_t resultBytes) const
{
    return m_usesResultRoom && m_capacity.resultMemoryBytes > 0 && !m_room.isSmall(resultBytes);
}

std::chrono::microseconds wait_estimator::serverWait(std::size_t pieces, const stage_rank &rank,
                                                     double servers) const
{
    const auto now = m_clock.now();
    const std::chrono::duration<double> callDuration = fullCallTime();
    const double capacity =
        std::max(1.0, servers * m_capacity.maxPiecesPerCall) / callDuration.count();
    double left = capacity;
    for (const auto &[other, arrivals] : m_arrivals)
        left -= other < rank ? UrgentArrivalWeight * arrivals.perSecond(now) : 0.0;
    left = std::max(left, MinCapacityShare * capacity);
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(static_cast<double>(pieces) / left));
}

std::chrono::microseconds wait_estimator::roomWait(const room_forecast &forecast,
                                                   std::uint64_t bytes,
                                                   const stage_rank &rank) const
{
    const auto wait = forecast.waitFor(bytes);
    if (wait.count() == 0 || wait >= room_forecast::Never)
        return wait;
    const auto now = m_clock.now();
    const double capacity = forecast.bytesPerSecond();
    double left = capacity;
    for (const auto &[other, arrivals] : m_arrivingBytes)
        left -= other < rank ? UrgentArrivalWeight * arrivals.perSecond(now) : 0.0;
    left = std::max(left, MinCapacityShare * capacity);
    return std::chrono::duration_cast<std::chrono::microseconds>(wait * (capacity / left));
}

double wait_estimator::piecesPerSecond(const stage_rank &rank, double servers) const
{
    constexpr std::size_t Pieces = 1000; // many, as the estimate is in whole microseconds
    const std::chrono::duration<double> time = serverWait(Pieces, rank, servers);
    return servers > 0 && time.count() > 0 ? Pieces / time.count() : 0.0;
}

double wait_estimator::resultBytesPerSecond(double servers, std::uint64_t resultBytes) const
{
    return needsRoom(resultBytes) ? m_room.forecast(servers, resultBytes).bytesPerSecond() : 0.0;
}

} // namespace orchidlead::gateway
