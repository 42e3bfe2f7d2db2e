#include "gateway/stages/piece_selector.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// How long the pieces of one stage of a request wait to go in one call: about the duration of a
// call.
constexpr milliseconds MaxGroupWait{300};
// How long a piece waits at most for a server in the data centre of its inputs while another server
// is idle: two to three calls, so that a data centre with one server ends a call in that time. A
// piece waits only while its `softDeadline` leaves time for a full call, so that waiting makes none
// late. A piece fetches all results of the stages that it depends on, so running it in another data
// centre is costly only if these are large: pieces with less than `MinLocalWaitBytes` of inputs
// don't wait. In a deployment of six nodes, waiting halves the results that
// are transferred between data centres.
constexpr milliseconds MaxLocalWait{700};
constexpr std::uint64_t MinLocalWaitBytes = 100'000;

} // namespace

piece_selector::piece_selector(const clock_source &clock, const piece_order &order,
                               const result_room &room, const wait_estimator &waits)
    : m_clock(clock)
    , m_order(order)
    , m_room(room)
    , m_waits(waits)
{ }

// The results of a request's pieces stay at their servers until the last piece is done, and room
// for results is scarce. So the pieces of one stage of a request go in one call if they fit, and a
// group that has waited for `MaxGroupWait` may be split. Smaller groups may overtake a group that
// doesn't fit.
std::vector<piece_task> piece_selector::take(std::vector<piece_task> &waiting, const server &chosen,
                                             const call_conditions &conditions) const
{
    const auto now = m_clock.now();
    m_order.sort(waiting, chosen.record.dataCenter, now);
    std::uint64_t room = m_room.freeBytesAt(chosen.record.start());
    std::uint64_t roomForSmall = m_room.freeBytesForSmallAt(chosen.record.start());
    std::size_t freePlaces = std::max<std::size_t>(1, m_maxPieces);
    std::vector<piece_task> taken;
    std::uint64_t takenBytes = 0;
    std::vector<piece_task> left;
    for (std::size_t begin = 0; begin < waiting.size();) {
        const auto end = groupEnd(waiting, begin);
        const auto &first = waiting[begin];
        const auto bytes = first.resultBytes;
        std::size_t fitting = std::min(end - begin, freePlaces);
        const bool isSmall = m_usesResultRoom && m_room.isSmall(bytes);
        if (bytes > 0)
            fitting = std::min<std::size_t>(fitting, (isSmall ? roomForSmall : room) / bytes);
        if (!chosen.hasVersion(first.version)
            || (conditions.mayWait && waitsForLocalServer(first, chosen, conditions, now)))
            fitting = 0;
        const bool keepsTogether = m_clock.now() - first.submittedAt < MaxGroupWait;
        if (fitting < end - begin && keepsTogether && end - begin <= m_maxPieces)
            fitting = 0;
        if (fitting > 0 && fitting < end - begin
            && !restBeginsInTime(first, end - begin, takenBytes, conditions))
            fitting = 0;
        freePlaces -= fitting;
        takenBytes += m_waits.needsRoom(bytes) ? bytes * fitting : 0;
        room -= std::min<std::uint64_t>(room, bytes * fitting);
        roomForSmall -= std::min<std::uint64_t>(roomForSmall, bytes * fitting);
        for (std::size_t i = begin; i < end; ++i)
            (i - begin < fitting ? taken : left).push_back(std::move(waiting[i]));
        begin = end;
    }
    waiting = std::move(left);
    return taken;
}

// A piece whose rest of the group can't begin in time would be computed for a request that is then
// refused. The rest goes to another idle server, or waits for one more call at most.
bool piece_selector::restBeginsInTime(const piece_task &first, std::size_t pieces,
                                      std::uint64_t takenBytes,
                                      const call_conditions &conditions) const
{
    const auto now = m_clock.now();
    if (!m_waits.needsRoom(first.resultBytes) || m_order.isLate(first, now))
        return true;
    const auto forecast = m_room.forecast(conditions.servers, first.resultBytes);
    const auto roomWait =
        m_waits.roomWait(forecast, takenBytes + pieces * first.resultBytes, first.rank);
    const auto serverWait = conditions.othersIdle || !conditions.crowded
        ? std::chrono::microseconds{0}
        : m_waits.fullCallTime();
    return !m_order.isLate(first, now + std::max(roomWait, serverWait));
}

steady_time piece_selector::localWaitEnd(const piece_task &job) const
{
    if (job.inputBytes < MinLocalWaitBytes)
        return job.submittedAt;
    return std::min(job.submittedAt + MaxLocalWait, job.softDeadline - m_waits.fullCallTime());
}

bool piece_selector::waitsForLocalServer(const piece_task &job, const server &chosen,
                                         const call_conditions &conditions, steady_time now) const
{
    const auto isLocal = [&](const server_ptr &each) {
        return each->record.dataCenter == job.preferredDataCenter && each->hasVersion(job.version);
    };
    return job.preferredDataCenter != chosen.record.dataCenter && now < localWaitEnd(job)
        && std::ranges::any_of(conditions.usable, isLocal);
}

} // namespace orchidlead::gateway
