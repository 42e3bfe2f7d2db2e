#include "gateway/stages/stage_pool.h"

#include <algorithm>
#include <span>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Maximum number of calls for one piece. With more, its request would miss its `softDeadline`
// anyway.
constexpr std::uint32_t MaxTries = 5;
// Number of calls to unreachable servers after which a piece may change to another pool: the data
// centre of this pool may be cut off.
constexpr std::uint32_t TriesBeforePoolChange = 2;
// How long a server that refused a call gets no other: a fraction of the shortest call.
constexpr milliseconds RefusedPause{60};
// How long a server without room for results gets no call while `policy::ResultRoom` is disabled.
// Results are freed within a second.
constexpr milliseconds NoRoomPause{150};
// Fixed cost of an answer: how long results are assumed to be held after their call before the
// first one was freed.
constexpr milliseconds InitialAnswerTime{300};
// A call times out after `TimeoutFactor` times its expected duration at this server, plus
// `TimeoutSlack`. A server behind a network partition delays its pieces until then; a server that
// has just become slow loses one call.
constexpr double TimeoutFactor = 2.5;
constexpr milliseconds TimeoutSlack{300};
// How long a server gets no call after a failed one. Doubled by each further failure in a row, at
// most `MaxFailedDoublings` times.
constexpr milliseconds FailedPause{300};
constexpr std::uint32_t MaxFailedDoublings = 3;
// Cost of a server to be avoided, and of one outside the inputs' data centre, on the scale of a
// server's slowness.
constexpr double AvoidedCost = 100.0;
constexpr double RemoteCost = 0.1;
// A piece whose inputs are in another data centre is ordered as if due this much later: about the
// duration of a call.
constexpr milliseconds RemoteInputPenalty{250};
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
// Spare time, in full calls, that a new piece must have before its `softDeadline`, and weight of
// the more urgent pieces that arrive while it waits. In an emulated burst of 1.8 times a pool's
// capacity, half of the refusals are reported within one call with these values, and within two to
// three calls without them. With twice the values, the least urgent requests lose a fifteenth of
// their answers in time in a deployment of six nodes.
constexpr double AdmissionSlackCalls = 0.5;
constexpr double UrgentArrivalWeight = 0.5;
// Factor on the wait for storage of a new piece. Storage is split among servers and the pieces of a
// request wait for a common call, so it is used less well than the estimate assumes. In an emulated
// burst of 2.4 times, 813 of 1148 requests are answered in time with 1.5, 783 with 1 and 800 with
// 2; with 1, half of the refusals come after more than 450 ms.
constexpr double NewRoomWaitFactor = 1.5;
// Minimum fraction of a pool's capacity that estimates assume for a rank, whatever the arrival rate
// of more urgent pieces.
constexpr double MinCapacityShare = 0.05;
// Weight of the latest call in the moving average of a server's slowness.
constexpr double SlownessWeight = 0.3;

} // namespace

stage_pool::stage_pool(const clock_source &clock, service_id service,
                       service_retry_budget &retryBudget)
    : m_clock(clock)
    , m_service(std::move(service))
    , m_retryBudget(retryBudget)
    , m_room(clock)
{ }

void stage_pool::setCapacity(const stage_capacity &capacity)
{
    m_capacity = capacity;
    m_room.setLimits(capacity.resultMemoryBytes, capacity.resultLifetime);
    m_room.setInitialHold(fullCallTime() + InitialAnswerTime);
}

void stage_pool::setUsesResultRoom(bool uses)
{
    m_usesResultRoom = uses;
    m_room.setLearnsSizes(uses);
}

void stage_pool::submit(piece_task job)
{
    job.submittedAt = m_clock.now();
    m_arrivals[job.rank].onEvent(job.submittedAt);
    if (needsRoom(job.resultBytes))
        m_arrivingBytes[job.rank].onEvent(job.submittedAt, static_cast<double>(job.resultBytes));
    m_waiting.push_back(std::move(job));
}

void stage_pool::withdraw(piece_token token)
{
    std::erase_if(m_waiting, [&](const piece_task &job) { return job.token == token; });
    for (auto &[id, call] : m_calls) {
        for (auto &job : call.jobs) {
            if (job.token == token)
                job.token = 0;
        }
    }
}

// Returns whether a call that starts now would end after the piece's `softDeadline`, by the fixed
// time of a call alone.
bool stage_pool::isLate(const piece_task &job, steady_time now) const
{
    return job.softDeadline < now + m_capacity.callOverhead;
}

bool stage_pool::precedes(const piece_task &a, const piece_task &b, const data_center_id &at,
                          steady_time now) const
{
    const auto due = [&](const piece_task &job) {
        const bool remote =
            !at.empty() && !job.preferredDataCenter.empty() && job.preferredDataCenter != at;
        return job.softDeadline + (remote ? RemoteInputPenalty : milliseconds{0});
    };
    const bool lateA = isLate(a, now);
    const bool lateB = isLate(b, now);
    if (lateA != lateB)
        return lateB;
    if (a.rank != b.rank)
        return a.rank < b.rank;
    return due(a) < due(b);
}

// The whole sort uses one timestamp: an order that changes during the sort could make it access
// elements out of bounds. Pieces mostly are in order already, and moving them costs more than all
// other decisions of a pool with hundreds of waiting pieces.
void stage_pool::sortWaiting(const data_center_id &at, steady_time now)
{
    const auto isBefore = [&](const piece_task &a, const piece_task &b) {
        return precedes(a, b, at, now);
    };
    if (!std::ranges::is_sorted(m_waiting, isBefore))
        std::ranges::stable_sort(m_waiting, isBefore);
}

std::chrono::microseconds stage_pool::expectedTime(std::size_t pieces) const
{
    return m_capacity.callOverhead + m_capacity.timePerPiece * static_cast<int>(pieces);
}

std::vector<server_ptr> stage_pool::idleServers(const std::vector<server_ptr> &servers,
                                                const data_center_id &preferredDataCenter)
{
    const auto now = m_clock.now();
    std::vector<std::pair<double, server_ptr>> ranked;
    for (const auto &each : servers) {
        const auto &state = m_servers[each->record.start()];
        if (state.calls > 0 || state.pausedUntil > now)
            continue;
        double cost = each->latencyRatio;
        if (each->avoidUntil > now)
            cost += AvoidedCost;
        if (!preferredDataCenter.empty() && each->record.dataCenter != preferredDataCenter)
            cost += RemoteCost;
        ranked.emplace_back(cost, each);
    }
    std::ranges::stable_sort(ranked, {}, [](const auto &each) { return each.first; });
    std::vector<server_ptr> idle;
    idle.reserve(ranked.size());
    for (const auto &[cost, each] : ranked)
        idle.push_back(each);
    return idle;
}

std::size_t stage_pool::groupEnd(std::size_t begin) const
{
    const auto &first = m_waiting[begin].request;
    std::size_t end = begin + 1;
    while (end < m_waiting.size() && m_waiting[end].request.attempt == first.attempt
           && m_waiting[end].request.stage == first.stage)
        ++end;
    return end;
}

// The results of a request's pieces stay at their servers until the last piece is done, and room
// for results is scarce. So the pieces of one stage of a request go in one call if they fit, and a
// group that has waited for `MaxGroupWait` may be split. Smaller groups may overtake a group that
// doesn't fit.
std::vector<piece_task> stage_pool::takeBatch(const server &chosen, bool mayWait, bool othersIdle)
{
    const auto now = m_clock.now();
    sortWaiting(chosen.record.dataCenter, now);
    std::uint64_t room = m_room.freeBytesAt(chosen.record.start());
    std::uint64_t roomForSmall = m_room.freeBytesForSmallAt(chosen.record.start());
    std::size_t freePlaces = std::max(1U, m_capacity.maxPiecesPerCall);
    std::vector<piece_task> taken;
    std::uint64_t takenBytes = 0;
    std::vector<piece_task> left;
    for (std::size_t begin = 0; begin < m_waiting.size();) {
        const auto end = groupEnd(begin);
        const auto bytes = m_waiting[begin].resultBytes;
        std::size_t fitting = std::min(end - begin, freePlaces);
        const bool isSmall = m_usesResultRoom && m_room.isSmall(bytes);
        if (bytes > 0)
            fitting = std::min<std::size_t>(fitting, (isSmall ? roomForSmall : room) / bytes);
        if (mayWait && waitsForLocalServer(m_waiting[begin], chosen, now))
            fitting = 0;
        const bool keepsTogether = m_clock.now() - m_waiting[begin].submittedAt < MaxGroupWait;
        if (fitting < end - begin && keepsTogether && end - begin <= m_capacity.maxPiecesPerCall)
            fitting = 0;
        if (fitting > 0 && fitting < end - begin
            && !restBeginsInTime(begin, end, takenBytes, othersIdle))
            fitting = 0;
        freePlaces -= fitting;
        takenBytes += needsRoom(bytes) ? bytes * fitting : 0;
        room -= std::min<std::uint64_t>(room, bytes * fitting);
        roomForSmall -= std::min<std::uint64_t>(roomForSmall, bytes * fitting);
        for (std::size_t i = begin; i < end; ++i)
            (i - begin < fitting ? taken : left).push_back(std::move(m_waiting[i]));
        begin = end;
    }
    m_waiting = std::move(left);
    return taken;
}

// A piece whose rest of the group can't begin in time would be computed for a request that is then
// refused. The rest goes to another idle server, or waits for one more call at most.
bool stage_pool::restBeginsInTime(std::size_t begin, std::size_t end, std::uint64_t takenBytes,
                                  bool othersIdle) const
{
    const auto now = m_clock.now();
    const auto &first = m_waiting[begin];
    if (!needsRoom(first.resultBytes) || isLate(first, now))
        return true;
    const auto forecast = m_room.forecast(m_serverCount, first.resultBytes);
    const auto roomWait =
        estimateRoomWait(forecast, takenBytes + (end - begin) * first.resultBytes, first.rank);
    const auto serverWait =
        othersIdle || !m_crowded ? std::chrono::microseconds{0} : fullCallTime();
    return !isLate(first, now + std::max(roomWait, serverWait));
}

steady_time stage_pool::localWaitEnd(const piece_task &job) const
{
    return std::min(job.submittedAt + MaxLocalWait,
                    job.softDeadline - expectedTime(m_capacity.maxPiecesPerCall));
}

bool stage_pool::waitsForLocalServer(const piece_task &job, const server &chosen,
                                     steady_time now) const
{
    return job.inputBytes >= MinLocalWaitBytes
        && job.preferredDataCenter != chosen.record.dataCenter
        && m_dataCenters.contains(job.preferredDataCenter) && now < localWaitEnd(job);
}

std::optional<stage_call> stage_pool::nextCall(const std::vector<server_ptr> &servers)
{
    if (m_waiting.empty())
        return std::nullopt;
    m_room.dropExpired();
    const auto now = m_clock.now();
    const auto first =
        std::ranges::min_element(m_waiting, [&](const piece_task &a, const piece_task &b) {
            return precedes(a, b, {}, now);
        });
    m_dataCenters.clear();
    for (const auto &each : servers)
        m_dataCenters.insert(each->record.dataCenter);
    // When more pieces wait than all servers take at once, none waits for a local server, so that
    // no server is idle in a burst.
    const bool mayWait =
        m_waitsForLocalServer && m_waiting.size() <= servers.size() * m_capacity.maxPiecesPerCall;
    m_serverCount = std::max(m_serverCount, static_cast<double>(servers.size()));
    const auto idle = idleServers(servers, first->preferredDataCenter);
    for (const auto &each : idle) {
        auto jobs = takeBatch(*each, mayWait, idle.size() > 1);
        if (!jobs.empty())
            return makeCall(each, std::move(jobs));
    }
    return std::nullopt;
}

stage_call stage_pool::makeCall(const server_ptr &chosen, std::vector<piece_task> jobs)
{
    active_call call;
    call.server = chosen;
    call.startedAt = m_clock.now();
    call.expected = expectedTime(jobs.size());
    call.jobs = std::move(jobs);
    auto &state = m_servers[chosen->record.start()];
    ++state.calls;
    ++m_summary.calls;

    stage_call stageCall;
    stageCall.id = ++m_lastCall;
    stageCall.server = chosen;
    for (auto &job : call.jobs) {
        ++job.tries;
        auto &rank = m_summary.ranks[job.rank.priority];
        ++rank.pieces;
        const auto waited =
            std::chrono::duration_cast<milliseconds>(call.startedAt - job.submittedAt);
        rank.totalWait += waited;
        stageCall.longestWait = std::max(stageCall.longestWait, waited);
        m_room.reserve(chosen->record.start(), job.resultBytes);
        stageCall.pieces.push_back(job.request);
        stageCall.pieces.back().clientTimeout =
            std::chrono::duration_cast<milliseconds>(job.deadline - call.startedAt);
    }
    const double slow = std::max(1.0, chosen->latencyRatio);
    stageCall.timeout =
        std::chrono::duration_cast<milliseconds>(call.expected * (TimeoutFactor * slow))
        + TimeoutSlack;
    m_calls.emplace(stageCall.id, std::move(call));
    return stageCall;
}

void stage_pool::updateSlowness(const active_call &call)
{
    const auto took = std::chrono::duration<double>(m_clock.now() - call.startedAt);
    const auto expected = std::chrono::duration<double>(call.expected);
    const double ratio = expected.count() > 0 ? took / expected : 1.0;
    call.server->latencyRatio += SlownessWeight * (ratio - call.server->latencyRatio);
}

void stage_pool::retryOrFail(piece_task job, stage_call_end callEnd,
                             std::vector<piece_outcome> &out)
{
    if (job.token == 0)
        return;
    const bool unsent = callEnd == stage_call_end::NotSent || callEnd == stage_call_end::Withheld;
    const bool suspected =
        callEnd == stage_call_end::Broken && m_mayRetry && !m_mayRetry(job.request.digest);
    const auto tries = job.mayChangePool ? TriesBeforePoolChange : MaxTries;
    if (callEnd == stage_call_end::NotSent && job.tries >= tries)
        out.push_back({job.token, piece_failure::ServersUnreachable});
    else if (suspected || job.tries >= MaxTries || !(unsent || m_retryBudget.tryAcquire(m_service)))
        out.push_back({job.token, piece_failure::Error});
    else
        m_waiting.push_back(std::move(job));
}

std::vector<piece_outcome> stage_pool::onEnd(stage_call_id id, stage_call_end callEnd,
                                             const std::vector<piece_result> &results)
{
    std::vector<piece_outcome> out;
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return out;
    auto call = std::move(found->second);
    m_calls.erase(found);
    std::map<piece_token, group_key> groups;
    for (const auto &job : call.jobs)
        groups.emplace(job.token, groupOf(job));
    auto &state = m_servers[call.server->record.start()];
    --state.calls;
    if (callEnd == stage_call_end::NotRun)
        state.pausedUntil = std::max(m_clock.now() + RefusedPause, call.server->avoidUntil);
    if (callEnd == stage_call_end::Answered)
        state.consecutiveFailures = 0;
    else if (callEnd != stage_call_end::NotRun && callEnd != stage_call_end::Withheld)
        state.pausedUntil = m_clock.now()
            + FailedPause * (1U << std::min(state.consecutiveFailures++, MaxFailedDoublings));
    // The time until a broken call ended is a lower bound of its duration. Including it gives a
    // slow server a longer timeout for its next call.
    if (callEnd == stage_call_end::Broken)
        updateSlowness(call);
    if (callEnd == stage_call_end::Answered && results.size() == call.jobs.size())
        handleResults(std::move(call), results, out);
    else
        handleNoResults(std::move(call), callEnd, out);
    failRestOfGroups(groups, out);
    return out;
}

void stage_pool::handleNoResults(active_call call, stage_call_end callEnd,
                                 std::vector<piece_outcome> &out)
{
    const auto server = call.server->record.start();
    for (auto &job : call.jobs) {
        // The server may hold the results although its answer was lost.
        if (callEnd == stage_call_end::Broken)
            m_room.recordUnnamed(server, job.resultBytes);
        else
            m_room.release(server, job.resultBytes);
        retryOrFail(std::move(job), callEnd, out);
    }
}

void stage_pool::handleResults(active_call call, const std::vector<piece_result> &results,
                               std::vector<piece_outcome> &out)
{
    updateSlowness(call);
    const auto server = call.server->record.start();
    std::vector<std::uint64_t> refused; // bytes of results for which the server had no room
    for (std::size_t i = 0; i < call.jobs.size(); ++i) {
        auto &job = call.jobs[i];
        const auto *failure = std::get_if<piece_failure>(&results[i]);
        const bool retry =
            failure && (*failure == piece_failure::NoRoom || *failure == piece_failure::Error);
        if (failure)
            m_room.release(server, job.resultBytes);
        else
            m_room.record(server, std::get<std::string>(results[i]), job.resultBytes);
        if (failure && *failure == piece_failure::NoRoom) {
            ++m_summary.withoutRoom;
            refused.push_back(job.resultBytes);
        }
        // A piece without room hasn't run. It waits for room, until it is late.
        const bool waitsForRoom =
            m_usesResultRoom && failure && *failure == piece_failure::NoRoom && job.token != 0;
        if (waitsForRoom)
            m_waiting.push_back(std::move(job));
        else if (retry)
            retryOrFail(std::move(job), stage_call_end::Answered, out);
        else
            out.push_back({job.token, results[i]});
    }
    accountRefusals(server, refused);
}

void stage_pool::failRestOfGroups(const std::map<piece_token, group_key> &jobs,
                                  std::vector<piece_outcome> &out)
{
    if (!m_usesResultRoom)
        return;
    std::map<group_key, piece_failure> failed;
    for (const auto &each : out) {
        const auto *failure = std::get_if<piece_failure>(&each.result);
        if (failure && each.token != 0
            && (*failure == piece_failure::Late || *failure == piece_failure::Error))
            failed.emplace(jobs.at(each.token), *failure);
    }
    if (failed.empty())
        return;
    std::erase_if(m_waiting, [&](const piece_task &job) {
        const auto found = failed.find(groupOf(job));
        if (found == failed.end())
            return false;
        out.push_back({job.token, found->second});
        return true;
    });
}

void stage_pool::accountRefusals(const server_start &server,
                                 const std::vector<std::uint64_t> &refused)
{
    if (refused.empty()) {
        m_room.onAllStored();
        return;
    }
    // Without published sizes there is no account to correct.
    const bool sized =
        m_capacity.resultMemoryBytes > 0 && std::ranges::find(refused, 0U) == refused.end();
    if (!m_usesResultRoom || !sized)
        m_servers[server].pausedUntil = m_clock.now() + NoRoomPause;
    else
        for (const auto bytes : refused)
            m_room.onRefused(server, bytes);
}

std::chrono::microseconds stage_pool::estimateWait(std::size_t pieces, const stage_rank &rank,
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

bool stage_pool::needsRoom(std::uint64_t resultBytes) const
{
    return m_usesResultRoom && m_capacity.resultMemoryBytes > 0 && !m_room.isSmall(resultBytes);
}

std::chrono::microseconds stage_pool::estimateRoomWait(const room_forecast &forecast,
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

milliseconds stage_pool::expectedWait(const stage_rank &rank, double servers,
                                      std::uint64_t resultBytes) const
{
    const auto now = m_clock.now();
    std::size_t ahead = 0;
    std::uint64_t bytes = resultBytes;
    for (const auto &job : m_waiting) {
        if (rank < job.rank || isLate(job, now))
            continue;
        ++ahead;
        bytes += needsRoom(job.resultBytes) ? job.resultBytes : 0;
    }
    auto wait = estimateWait(ahead, rank, servers);
    if (needsRoom(resultBytes))
        wait = std::max(wait, estimateRoomWait(m_room.forecast(servers, resultBytes), bytes, rank));
    return std::chrono::duration_cast<milliseconds>(wait);
}

double stage_pool::piecesPerSecond(const stage_rank &rank, double servers) const
{
    constexpr std::size_t Pieces = 1000; // many, as the estimate is in whole microseconds
    const std::chrono::duration<double> time = estimateWait(Pieces, rank, servers);
    return servers > 0 && time.count() > 0 ? Pieces / time.count() : 0.0;
}

double stage_pool::resultBytesPerSecond(double servers, std::uint64_t resultBytes) const
{
    return needsRoom(resultBytes) ? m_room.forecast(servers, resultBytes).bytesPerSecond() : 0.0;
}

// Sorts the waiting pieces and returns for each whether it would be late, counting only pieces in
// time as ahead of it. The pieces of one stage of a request are late if the last of them is. A new
// piece without inputs, as in the first stages of a request, needs spare time: otherwise pieces
// that were admitted earlier would be dropped as late after all.
std::vector<stage_pool::piece_forecast> stage_pool::findLatePieces(double servers)
{
    const auto now = m_clock.now();
    sortWaiting({}, now);
    std::size_t ahead = 0;
    std::uint64_t bytesAhead = 0;
    std::map<std::uint64_t, room_forecast> forecasts; // by size of a result
    std::vector<piece_forecast> found;
    found.reserve(m_waiting.size());
    for (std::size_t begin = 0; begin < m_waiting.size();) {
        const auto end = m_usesResultRoom ? groupEnd(begin) : begin + 1;
        const auto &first = m_waiting[begin];
        const auto groupBytes =
            needsRoom(first.resultBytes) ? first.resultBytes * (end - begin) : 0;
        const auto serverWait = estimateWait(ahead + end - begin - 1, first.rank, servers);
        std::chrono::microseconds roomWait{0};
        if (groupBytes > 0) {
            auto known = forecasts.find(first.resultBytes);
            if (known == forecasts.end())
                known = forecasts
                            .emplace(first.resultBytes, m_room.forecast(servers, first.resultBytes))
                            .first;
            roomWait = estimateRoomWait(known->second, bytesAhead + groupBytes, first.rank);
        }
        const std::span group(m_waiting.begin() + static_cast<std::ptrdiff_t>(begin), end - begin);
        const bool isNew = first.request.inputs.empty()
            && std::ranges::none_of(group, [](const piece_task &job) { return job.admitted; });
        if (isNew)
            roomWait =
                std::chrono::duration_cast<std::chrono::microseconds>(roomWait * NewRoomWaitFactor);
        auto callStart = now + std::max(serverWait, roomWait);
        if (isNew)
            callStart += std::chrono::duration_cast<std::chrono::microseconds>(
                expectedTime(m_capacity.maxPiecesPerCall) * AdmissionSlackCalls);
        const bool late = std::ranges::any_of(
            group, [&](const piece_task &job) { return isLate(job, callStart); });
        for (auto &job : group)
            job.admitted = job.admitted || !late;
        found.insert(found.end(), group.size(), {late, late && roomWait > serverWait});
        if (!late) {
            ahead += group.size();
            bytesAhead += groupBytes;
        }
        begin = end;
    }
    return found;
}

// While servers have time for all pieces, late ones are served after the others. Where the storage
// for their results makes them late, they could only begin after their soft deadline.
std::vector<piece_outcome> stage_pool::expire(double servers)
{
    std::vector<piece_outcome> out;
    const auto now = m_clock.now();
    m_serverCount = servers;
    m_room.dropExpired();
    const auto forecasts = findLatePieces(servers);
    const auto inTime =
        static_cast<double>(std::ranges::count(forecasts, false, &piece_forecast::late));
    m_crowded = inTime > servers * m_capacity.maxPiecesPerCall;
    std::vector<bool> drops;
    drops.reserve(m_waiting.size());
    std::set<group_key> droppedGroups;
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        const auto &job = m_waiting[i];
        const bool isPromised = job.reserved && !isLate(job, now);
        drops.push_back(
            job.deadline <= now
            || (!isPromised && ((m_crowded && forecasts[i].late) || forecasts[i].lacksRoom)));
        if (drops.back() && m_usesResultRoom)
            droppedGroups.insert(groupOf(job));
    }
    if (std::ranges::find(drops, true) == drops.end())
        return out;
    std::vector<piece_task> left;
    left.reserve(m_waiting.size());
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        auto &job = m_waiting[i];
        if (!drops[i] && !droppedGroups.contains(groupOf(job))) {
            left.push_back(std::move(job));
            continue;
        }
        ++m_summary.ranks[job.rank.priority].dropped;
        out.push_back({job.token, piece_failure::Late});
    }
    m_waiting = std::move(left);
    return out;
}

std::vector<piece_outcome> stage_pool::failAll(piece_failure reason)
{
    std::vector<piece_outcome> out;
    for (const auto &job : std::exchange(m_waiting, {}))
        out.push_back({job.token, reason});
    return out;
}

std::vector<piece_outcome> stage_pool::failUnreached(const std::vector<server_ptr> &servers)
{
    std::vector<piece_outcome> out;
    const auto pausesAfterFailure = [&](const server_ptr &each) {
        const auto found = m_servers.find(each->record.start());
        return found != m_servers.end() && found->second.consecutiveFailures > 0
            && found->second.pausedUntil > m_clock.now();
    };
    if (!std::ranges::all_of(servers, pausesAfterFailure))
        return out;
    std::erase_if(m_waiting, [&](const piece_task &job) {
        if (!job.mayChangePool)
            return false;
        out.push_back({job.token, piece_failure::ServersUnreachable});
        return true;
    });
    return out;
}

std::vector<piece_outcome> stage_pool::failWithInputsIn(const data_center_id &dataCenter)
{
    std::vector<piece_outcome> out;
    std::erase_if(m_waiting, [&](const piece_task &job) {
        if (job.request.inputs.empty() || job.preferredDataCenter != dataCenter)
            return false;
        out.push_back({job.token, piece_failure::InputGone});
        return true;
    });
    return out;
}

std::optional<steady_time> stage_pool::wakeAt() const
{
    if (m_waiting.empty())
        return std::nullopt;
    std::optional<steady_time> earliest;
    const auto now = m_clock.now();
    for (const auto &[id, state] : m_servers) {
        if (state.calls == 0 && state.pausedUntil > now
            && (!earliest || state.pausedUntil < *earliest))
            earliest = state.pausedUntil;
    }
    if (const auto change = m_room.nextChangeAt(); m_usesResultRoom && change && *change > now)
        earliest = std::min(earliest.value_or(*change), *change);
    // When pieces that wait for a server in their inputs' data centre may go to another one.
    for (const auto &job : m_waiting) {
        const auto until = localWaitEnd(job);
        if (job.inputBytes >= MinLocalWaitBytes && until > now && (!earliest || until < *earliest))
            earliest = until;
    }
    return earliest;
}

} // namespace orchidlead::gateway
