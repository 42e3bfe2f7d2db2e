#include "gateway/stages/stage_pool.h"

#include <algorithm>
#include <span>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Number of calls to unreachable servers after which a piece may change to another pool: the data
// centre of this pool may be cut off.
constexpr std::uint32_t TriesBeforePoolChange = 2;
// Fixed cost of an answer: how long results are assumed to be held after their call before the
// first one was freed.
constexpr milliseconds InitialAnswerTime{300};
// A call times out after `TimeoutFactor` times its expected duration at this server, plus
// `TimeoutSlack`. A server behind a network partition delays its pieces until then.
constexpr double TimeoutFactor = 2.5;
constexpr milliseconds TimeoutSlack{300};
// Spare time, in full calls, that a new piece must have before its `softDeadline`. The figures for
// this value are beside `UrgentArrivalWeight`.
constexpr double AdmissionSlackCalls = 0.5;
// Factor on the wait for storage of a new piece. Storage is split among servers and the pieces of a
// request wait for a common call, so it is used less well than the estimate assumes. In an emulated
// burst of 2.4 times, 813 of 1148 requests are answered in time with 1.5, 783 with 1 and 800 with
// 2; with 1, half of the refusals come after more than 450 ms.
constexpr double NewRoomWaitFactor = 1.5;
// Weight of the latest call in the moving average of a server's slowness.
constexpr double SlownessWeight = 0.3;

} // namespace

stage_pool::stage_pool(const clock_source &clock, service_id service,
                       service_retry_budget &retryBudget)
    : m_clock(clock)
    , m_service(std::move(service))
    , m_retryBudget(retryBudget)
    , m_hedges(clock)
    , m_servers(clock)
    , m_room(clock)
    , m_waits(clock, m_room)
    , m_selector(clock, m_order, m_room, m_waits)
{ }

void stage_pool::setCapacity(const stage_capacity &capacity)
{
    m_capacity = capacity;
    m_waits.setCapacity(capacity);
    m_order.setCapacity(capacity);
    m_selector.setMaxPieces(capacity.maxPiecesPerCall);
    m_room.setLimits(capacity.resultMemoryBytes, capacity.resultLifetime);
    m_room.setInitialHold(fullCallTime() + InitialAnswerTime);
}

void stage_pool::setUsesResultRoom(bool uses)
{
    m_usesResultRoom = uses;
    m_waits.setUsesResultRoom(uses);
    m_selector.setUsesResultRoom(uses);
    m_room.setLearnsSizes(uses);
}

void stage_pool::submit(piece_task job)
{
    job.submittedAt = m_clock.now();
    m_waits.onArrival(job.rank, job.resultBytes);
    m_waiting.push_back(std::move(job));
}

void stage_pool::withdraw(piece_token token)
{
    std::erase_if(m_waiting, [&](const piece_task &job) { return job.token == token; });
    m_calls.withdraw(token);
}

std::optional<stage_call> stage_pool::nextCall(const std::vector<server_ptr> &servers)
{
    auto call = nextWaitingCall(servers);
    return call ? std::move(call) : nextHedgedCall(servers);
}

std::optional<stage_call> stage_pool::nextWaitingCall(const std::vector<server_ptr> &servers)
{
    if (m_waiting.empty())
        return std::nullopt;
    m_room.dropExpired();
    const auto now = m_clock.now();
    const auto callEnd = m_order.nextCallEnd(m_waiting.size(), now);
    const auto first =
        std::ranges::min_element(m_waiting, [&](const piece_task &a, const piece_task &b) {
            return m_order.precedes(a, b, {}, now, callEnd);
        });
    // When more pieces wait than all servers take at once, none waits for a local server, so that
    // no server is idle in a burst.
    const bool mayWait =
        m_waitsForLocalServer && m_waiting.size() <= servers.size() * m_capacity.maxPiecesPerCall;
    m_serverCount = std::max(m_serverCount, static_cast<double>(servers.size()));
    const auto idle = m_servers.idle(servers, first->preferredDataCenter);
    const call_conditions conditions{mayWait, idle.size() > 1, m_crowded, m_serverCount, servers};
    for (const auto &each : idle) {
        auto jobs = m_selector.take(m_waiting, *each, conditions);
        if (!jobs.empty())
            return makeCall(each, std::move(jobs));
    }
    return std::nullopt;
}

stage_call stage_pool::makeCall(const server_ptr &chosen, std::vector<piece_task> jobs)
{
    const auto now = m_clock.now();
    m_hedges.onCall();
    for (const auto &job : jobs) {
        auto &rank = m_summary.ranks[job.rank.priority];
        ++rank.pieces;
        rank.totalWait += std::chrono::duration_cast<milliseconds>(now - job.submittedAt);
    }
    return startCall(chosen, std::move(jobs), now);
}

stage_call stage_pool::startCall(const server_ptr &chosen, std::vector<piece_task> jobs,
                                 steady_time waitEnd)
{
    active_call call;
    call.server = chosen;
    call.startedAt = m_clock.now();
    call.expected = m_waits.callTime(jobs.size());
    call.jobs = std::move(jobs);
    m_servers.onCallStart(*chosen);
    ++m_summary.calls;

    stage_call stageCall;
    stageCall.server = chosen;
    for (auto &job : call.jobs) {
        ++job.tries;
        stageCall.longestWait =
            std::max(stageCall.longestWait,
                     std::chrono::duration_cast<milliseconds>(waitEnd - job.submittedAt));
        m_room.reserve(chosen->record.start(), job.resultBytes);
        stageCall.pieces.push_back(job.request);
        stageCall.pieces.back().clientTimeout =
            std::chrono::duration_cast<milliseconds>(job.deadline - call.startedAt);
    }
    const double slow = std::max(1.0, chosen->latencyRatio);
    stageCall.timeout =
        std::chrono::duration_cast<milliseconds>(call.expected * (TimeoutFactor * slow))
        + TimeoutSlack;
    call.timeoutAt = call.startedAt + stageCall.timeout;
    call.overdueAt = m_hedges.overdueAt(chosen->record.start(), call.expected);
    setHedgeTime(call);
    stageCall.id = m_calls.add(std::move(call));
    return stageCall;
}

double stage_pool::ratioOf(const active_call &call) const
{
    const auto took = std::chrono::duration<double>(m_clock.now() - call.startedAt);
    const auto expected = std::chrono::duration<double>(call.expected);
    return expected.count() > 0 ? took / expected : 1.0;
}

void stage_pool::updateSlowness(const active_call &call, double ratio)
{
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
    if (job.deadline <= m_clock.now())
        out.push_back({job.token, piece_failure::Late});
    else if (callEnd == stage_call_end::NotSent && job.tries >= tries)
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
    auto taken = m_calls.take(id);
    if (!taken)
        return out;
    auto &call = *taken;
    std::map<piece_token, group_key> groups;
    for (const auto &job : call.jobs)
        groups.emplace(job.token, groupOf(job));
    m_servers.onCallEnd(*call.server, callEnd);
    // The time until a broken call ended is a lower bound of its duration. Including it gives a
    // slow server a longer timeout for its next call.
    if (callEnd == stage_call_end::Broken)
        updateSlowness(call, ratioOf(call));
    const auto version = call.server->record.version;
    if (callEnd == stage_call_end::Answered && results.size() == call.jobs.size())
        handleResults(std::move(call), results, out);
    else
        handleNoResults(std::move(call), callEnd, out);
    for (auto &each : out)
        each.version = version;
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
        countHedge(call, job, piece_failure::Error);
        // The other call is the piece's only one now.
        if (!m_calls.copyOf(call, job.token))
            retryOrFail(std::move(job), callEnd, out);
    }
}

void stage_pool::handleResults(active_call call, const std::vector<piece_result> &results,
                               std::vector<piece_outcome> &out)
{
    const double ratio = ratioOf(call);
    updateSlowness(call, ratio);
    const auto server = call.server->record.start();
    m_hedges.onAnswered(server, ratio);
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
        countHedge(call, job, results[i]);
        if (auto *copy = m_calls.copyOf(call, job.token)) {
            // The first result counts; the other one is freed when it arrives. After a failure the
            // other call is the piece's only one.
            if (!failure) {
                copy->token = 0;
                out.push_back({job.token, results[i]});
            }
            continue;
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
        m_servers.pauseWithoutRoom(server);
    else
        m_room.onRefusals(server, refused);
}

milliseconds stage_pool::expectedWait(const stage_rank &rank, double servers,
                                      std::uint64_t resultBytes) const
{
    const auto now = m_clock.now();
    std::size_t ahead = 0;
    std::uint64_t bytes = resultBytes;
    const auto callEnd = m_order.nextCallEnd(m_waiting.size(), now);
    for (const auto &job : m_waiting) {
        if (rank < job.rank || m_order.isLate(job, now) || piece_order::missesPlace(job, callEnd))
            continue;
        ++ahead;
        bytes += m_waits.needsRoom(job.resultBytes) ? job.resultBytes : 0;
    }
    auto wait = m_waits.serverWait(ahead, rank, servers);
    if (m_waits.needsRoom(resultBytes))
        wait = std::max(wait, m_waits.roomWait(m_room.forecast(servers, resultBytes), bytes, rank));
    return std::chrono::duration_cast<milliseconds>(wait);
}

// Sorts the waiting pieces and returns for each whether it would be late, counting only pieces in
// time as ahead of it. The pieces of one stage of a request are late if the last of them is. A new
// piece without inputs, as in the first stages of a request, needs spare time: otherwise pieces
// that were admitted earlier would be dropped as late after all.
std::vector<stage_pool::piece_forecast> stage_pool::findLatePieces(double servers)
{
    const auto now = m_clock.now();
    m_order.sort(m_waiting, {}, now);
    std::size_t ahead = 0;
    std::uint64_t bytesAhead = 0;
    std::map<std::uint64_t, room_forecast> forecasts; // by size of a result
    std::vector<piece_forecast> found;
    found.reserve(m_waiting.size());
    for (std::size_t begin = 0; begin < m_waiting.size();) {
        const auto end = m_usesResultRoom ? groupEnd(m_waiting, begin) : begin + 1;
        const auto &first = m_waiting[begin];
        const auto groupBytes =
            m_waits.needsRoom(first.resultBytes) ? first.resultBytes * (end - begin) : 0;
        const auto serverWait = m_waits.serverWait(ahead + end - begin - 1, first.rank, servers);
        std::chrono::microseconds roomWait{0};
        if (groupBytes > 0) {
            auto known = forecasts.find(first.resultBytes);
            if (known == forecasts.end())
                known = forecasts
                            .emplace(first.resultBytes, m_room.forecast(servers, first.resultBytes))
                            .first;
            roomWait = m_waits.roomWait(known->second, bytesAhead + groupBytes, first.rank);
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
                fullCallTime() * AdmissionSlackCalls);
        const bool late = std::ranges::any_of(
            group, [&](const piece_task &job) { return m_order.isLate(job, callStart); });
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
        const bool isPromised = job.reserved && !m_order.isLate(job, now);
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
        return m_servers.pausesAfterFailure(each->record.start());
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

std::vector<piece_outcome> stage_pool::failWithoutVersion(const std::vector<server_ptr> &servers)
{
    std::vector<piece_outcome> out;
    std::erase_if(m_waiting, [&](const piece_task &job) {
        const auto fits = [&](const server_ptr &each) { return each->hasVersion(job.version); };
        if (!job.version || std::ranges::any_of(servers, fits))
            return false;
        out.push_back({job.token, piece_failure::NoServerOfVersion});
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
        return m_hedges.enabled() ? m_calls.nextHedgeAt(m_clock.now()) : std::nullopt;
    auto earliest = m_servers.firstPauseEnd();
    const auto now = m_clock.now();
    if (const auto change = m_room.nextChangeAt(); m_usesResultRoom && change && *change > now)
        earliest = std::min(earliest.value_or(*change), *change);
    const auto wakeIfLater = [&](steady_time at) {
        if (at > now)
            earliest = std::min(earliest.value_or(at), at);
    };
    for (const auto &job : m_waiting) {
        // When a piece that waits for a server in its inputs' data centre may go to another one.
        wakeIfLater(m_selector.localWaitEnd(job));
        // When it can no longer begin in time, and when it is of no use any more: `expire` drops
        // it.
        wakeIfLater(m_order.latestStart(job) + std::chrono::microseconds{1});
        wakeIfLater(job.deadline);
    }
    return earliest;
}

} // namespace orchidlead::gateway
