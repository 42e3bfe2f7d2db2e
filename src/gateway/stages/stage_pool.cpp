#include "gateway/stages/stage_pool.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

// How often one piece is tried. Beyond, its request would miss its aim anyway.
constexpr std::uint32_t MaxTries = 5;
// So many servers that can't be reached show that their data centre may be cut off.
constexpr std::uint32_t TriesBeforeMove = 2;
// A server that refused is asked again after this: a part of the shortest call.
constexpr milliseconds RefusedPause{60};
// How long a server without room for results is left alone: results are freed within a second.
constexpr milliseconds NoRoomPause{150};
// A call is given up after this many times the time that it should take at this server, plus the
// constant part. A server behind a network cut holds its pieces up until then; a server that has
// just turned slow loses one call.
constexpr double TimeoutFactor = 2.5;
constexpr milliseconds TimeoutSlack{300};
// How long a server is left alone whose calls fail: doubled by each further failure.
constexpr milliseconds FailedPause{300};
constexpr std::uint32_t MaxFailedDoublings = 3;
// Cost of a server that is avoided, and of one elsewhere than the inputs, in slownesses.
constexpr double AvoidedCost = 100.0;
constexpr double RemoteCost = 0.1;
// A piece whose inputs lie elsewhere gives way to pieces that are due this much later: about a
// call.
constexpr milliseconds AwayPenalty{250};
// How long the pieces of a request wait to go together: about a call.
constexpr milliseconds GroupPatience{300};
// How long a piece waits at most for a server beside its inputs where another one is free: two to
// three calls, so that a data centre with one server ends one in between. It waits only while its
// aim leaves time for a full call, so that nobody is late for it. Only pieces that have so much to
// fetch wait: each piece fetches all results of the stages before it. On a deployment of six nodes
// this halves the results that cross between data centres.
constexpr milliseconds NearPatience{700};
constexpr std::uint64_t NearBytes = 100'000;
// Calls that a piece which has just come must have to spare, and the weight of the more urgent
// pieces that keep coming while it waits. In an emulated burst of 1.8 times a pool's capacity half
// the refusals are told within a call so, and after two to three without them; with twice as much
// the least urgent lose a fifteenth of their answers in time on a deployment of six nodes.
constexpr double AdmissionCalls = 0.5;
constexpr double UrgentWeight = 0.5;
// Part of a pool that the least urgent are taken to get at least, whatever else comes.
constexpr double LeastShare = 0.05;
// Weight of the newest call in the average of a server's slowness.
constexpr double LearnWeight = 0.3;

} // namespace

stage_pool::stage_pool(const clock_source &clock, service_id service, retry_allowance &allowance)
    : m_clock(clock)
    , m_service(std::move(service))
    , m_allowance(allowance)
{ }

void stage_pool::submit(piece_job job)
{
    job.since = m_clock.now();
    m_arrivals[job.rank].onEvent(job.since);
    m_waiting.push_back(std::move(job));
}

void stage_pool::withdraw(piece_token token)
{
    std::erase_if(m_waiting, [&](const piece_job &job) { return job.token == token; });
    for (auto &[id, call] : m_calls) {
        for (auto &job : call.jobs) {
            if (job.token == token)
                job.token = 0;
        }
    }
}

// A call that begins now ends too late for it.
bool stage_pool::isLate(const piece_job &job, steady_time now) const
{
    return job.aim < now + m_capacity.callTime;
}

bool stage_pool::before(const piece_job &a, const piece_job &b, const data_center_id &at,
                        steady_time now) const
{
    const auto due = [&](const piece_job &job) {
        const bool away = !at.empty() && !job.near.empty() && job.near != at;
        return job.aim + (away ? AwayPenalty : milliseconds{0});
    };
    const bool lateA = isLate(a, now);
    const bool lateB = isLate(b, now);
    if (lateA != lateB)
        return lateB;
    if (a.rank != b.rank)
        return a.rank < b.rank;
    return due(a) < due(b);
}

std::chrono::microseconds stage_pool::expectedTime(std::size_t pieces) const
{
    return m_capacity.callTime + m_capacity.pieceTime * static_cast<int>(pieces);
}

std::vector<server_ptr> stage_pool::freeServers(const std::vector<server_ptr> &servers,
                                                const data_center_id &near)
{
    const auto now = m_clock.now();
    std::vector<std::pair<double, server_ptr>> ranked;
    for (const auto &each : servers) {
        const auto &state = m_servers[each->record.start()];
        if (state.calls > 0 || state.busyUntil > now)
            continue;
        double cost = each->slowness;
        if (each->avoidUntil > now)
            cost += AvoidedCost;
        if (!near.empty() && each->record.dataCenter != near)
            cost += RemoteCost;
        ranked.emplace_back(cost, each);
    }
    std::ranges::stable_sort(ranked, {}, [](const auto &each) { return each.first; });
    std::vector<server_ptr> free;
    free.reserve(ranked.size());
    for (const auto &[cost, each] : ranked)
        free.push_back(each);
    return free;
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

// The results of a request's pieces lie at their servers until the last piece is done, and room is
// scarce. So the pieces of a stage of one request go together where they fit; a group that has
// waited long goes in parts. What doesn't fit is passed by smaller groups.
std::vector<piece_job> stage_pool::takeFitting(const server &chosen, bool mayWait)
{
    // One moment for the whole sort: an order that changes meanwhile makes it leave its bounds.
    const auto now = m_clock.now();
    std::ranges::stable_sort(m_waiting, [&](const piece_job &a, const piece_job &b) {
        return before(a, b, chosen.record.dataCenter, now);
    });
    const auto held = m_servers[chosen.record.start()].held;
    const bool bounded = m_capacity.roomBytes > 0;
    std::uint64_t room = m_capacity.roomBytes > held ? m_capacity.roomBytes - held : 0;
    std::size_t places = std::max(1U, m_capacity.batch);
    std::vector<piece_job> taken;
    std::vector<piece_job> left;
    for (std::size_t begin = 0; begin < m_waiting.size();) {
        const auto end = groupEnd(begin);
        const auto bytes = m_waiting[begin].resultBytes;
        std::size_t fitting = std::min(end - begin, places);
        if (bounded && bytes > 0)
            fitting = std::min<std::size_t>(fitting, room / bytes);
        if (mayWait && waitsForNear(m_waiting[begin], chosen, now))
            fitting = 0;
        const bool patient = m_clock.now() - m_waiting[begin].since < GroupPatience;
        if (fitting < end - begin && patient && end - begin <= m_capacity.batch)
            fitting = 0;
        places -= fitting;
        room -= std::min<std::uint64_t>(room, bytes * fitting);
        for (std::size_t i = begin; i < end; ++i)
            (i - begin < fitting ? taken : left).push_back(std::move(m_waiting[i]));
        begin = end;
    }
    m_waiting = std::move(left);
    return taken;
}

steady_time stage_pool::nearUntil(const piece_job &job) const
{
    return std::min(job.since + NearPatience, job.aim - expectedTime(m_capacity.batch));
}

bool stage_pool::waitsForNear(const piece_job &job, const server &chosen, steady_time now) const
{
    return job.inputBytes >= NearBytes && job.near != chosen.record.dataCenter
        && m_dataCenters.contains(job.near) && now < nearUntil(job);
}

std::optional<stage_call> stage_pool::next(const std::vector<server_ptr> &servers)
{
    if (m_waiting.empty())
        return std::nullopt;
    dropLapsed();
    const auto now = m_clock.now();
    const auto first = std::ranges::min_element(
        m_waiting, [&](const piece_job &a, const piece_job &b) { return before(a, b, {}, now); });
    m_dataCenters.clear();
    for (const auto &each : servers)
        m_dataCenters.insert(each->record.dataCenter);
    // In a burst no server is left idle.
    const bool mayWait = m_waitsForNear && m_waiting.size() <= servers.size() * m_capacity.batch;
    for (const auto &each : freeServers(servers, first->near)) {
        auto jobs = takeFitting(*each, mayWait);
        if (!jobs.empty())
            return makeCall(each, std::move(jobs));
    }
    return std::nullopt;
}

stage_call stage_pool::makeCall(const server_ptr &chosen, std::vector<piece_job> jobs)
{
    open_call call;
    call.server = chosen;
    call.began = m_clock.now();
    call.expected = expectedTime(jobs.size());
    call.jobs = std::move(jobs);
    auto &state = m_servers[chosen->record.start()];
    ++state.calls;
    ++m_summary.calls;

    stage_call made;
    made.id = ++m_lastCall;
    made.server = chosen;
    for (auto &job : call.jobs) {
        ++job.tries;
        auto &rank = m_summary.ranks[job.rank.priority];
        ++rank.pieces;
        const auto waited = std::chrono::duration_cast<milliseconds>(call.began - job.since);
        rank.waited += waited;
        made.longestWait = std::max(made.longestWait, waited);
        state.held += job.resultBytes;
        made.pieces.push_back(job.request);
        made.pieces.back().patience =
            std::chrono::duration_cast<milliseconds>(job.deadline - call.began);
    }
    const double slow = std::max(1.0, chosen->slowness);
    made.timeout = std::chrono::duration_cast<milliseconds>(call.expected * (TimeoutFactor * slow))
        + TimeoutSlack;
    m_calls.emplace(made.id, std::move(call));
    return made;
}

void stage_pool::hold(const server_start &server, const std::string &handle, std::uint64_t bytes)
{
    m_results[handle] = {server, bytes, m_clock.now() + m_capacity.resultLifetime};
}

void stage_pool::release(const server_start &server, std::uint64_t bytes)
{
    auto &state = m_servers[server];
    state.held -= std::min(state.held, bytes);
}

void stage_pool::onFreed(const std::string &handle)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end())
        return;
    release(found->second.server, found->second.bytes);
    m_results.erase(found);
}

std::uint64_t stage_pool::heldAt(const server_start &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : found->second.held;
}

void stage_pool::dropLapsed()
{
    const auto now = m_clock.now();
    std::erase_if(m_results, [&](const auto &entry) {
        if (entry.second.lapses > now)
            return false;
        release(entry.second.server, entry.second.bytes);
        return true;
    });
}

void stage_pool::learn(const open_call &call)
{
    const auto took = std::chrono::duration<double>(m_clock.now() - call.began);
    const auto expected = std::chrono::duration<double>(call.expected);
    const double ratio = expected.count() > 0 ? took / expected : 1.0;
    call.server->slowness += LearnWeight * (ratio - call.server->slowness);
}

void stage_pool::again(piece_job job, stage_call_end how, std::vector<piece_outcome> &out)
{
    if (job.token == 0)
        return;
    const bool free = how == stage_call_end::NotSent || how == stage_call_end::Withheld;
    const bool suspected =
        how == stage_call_end::Broken && m_mayRepeat && !m_mayRepeat(job.request.digest);
    const auto tries = job.mayMove ? TriesBeforeMove : MaxTries;
    if (how == stage_call_end::NotSent && job.tries >= tries)
        out.push_back({job.token, piece_failure::Unreached});
    else if (suspected || job.tries >= MaxTries || !(free || m_allowance.tryTake(m_service)))
        out.push_back({job.token, piece_failure::Error});
    else
        m_waiting.push_back(std::move(job));
}

std::vector<piece_outcome> stage_pool::onEnd(stage_call_id id, stage_call_end how,
                                             const std::vector<piece_result> &results)
{
    std::vector<piece_outcome> out;
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return out;
    auto call = std::move(found->second);
    m_calls.erase(found);
    auto &state = m_servers[call.server->record.start()];
    --state.calls;
    if (how == stage_call_end::NotRun)
        state.busyUntil = std::max(m_clock.now() + RefusedPause, call.server->avoidUntil);
    if (how == stage_call_end::Answered)
        state.failures = 0;
    else if (how != stage_call_end::NotRun && how != stage_call_end::Withheld)
        state.busyUntil =
            m_clock.now() + FailedPause * (1U << std::min(state.failures++, MaxFailedDoublings));
    // A call that was given up took at least so long: a slow server gets more time for the next.
    if (how == stage_call_end::Broken)
        learn(call);
    const auto server = call.server->record.start();
    if (how != stage_call_end::Answered || results.size() != call.jobs.size()) {
        for (auto &job : call.jobs) {
            // What a lost answer held may be there all the same.
            if (how == stage_call_end::Broken)
                hold(server, "unnamed-" + std::to_string(++m_unnamed), job.resultBytes);
            else
                release(server, job.resultBytes);
            again(std::move(job), how, out);
        }
        return out;
    }
    learn(call);
    for (std::size_t i = 0; i < call.jobs.size(); ++i) {
        auto &job = call.jobs[i];
        const auto *failure = std::get_if<piece_failure>(&results[i]);
        const bool retry =
            failure && (*failure == piece_failure::NoRoom || *failure == piece_failure::Error);
        if (failure)
            release(server, job.resultBytes);
        else
            hold(server, std::get<std::string>(results[i]), job.resultBytes);
        if (failure && *failure == piece_failure::NoRoom) {
            ++m_summary.withoutRoom;
            state.busyUntil = m_clock.now() + NoRoomPause;
        }
        if (retry)
            again(std::move(job), how, out);
        else
            out.push_back({job.token, results[i]});
    }
    return out;
}

std::chrono::microseconds stage_pool::waitBehind(std::size_t pieces, const stage_rank &rank,
                                                 double servers) const
{
    const auto now = m_clock.now();
    const std::chrono::duration<double> round = fullCall();
    const double capacity = std::max(1.0, servers * m_capacity.batch) / round.count();
    double left = capacity;
    for (const auto &[other, arrivals] : m_arrivals)
        left -= other < rank ? UrgentWeight * arrivals.perSecond(now) : 0.0;
    left = std::max(left, LeastShare * capacity);
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(static_cast<double>(pieces) / left));
}

milliseconds stage_pool::waitOf(const stage_rank &rank, double servers) const
{
    const auto now = m_clock.now();
    const auto ahead = std::ranges::count_if(
        m_waiting, [&](const piece_job &job) { return job.rank <= rank && !isLate(job, now); });
    return std::chrono::duration_cast<milliseconds>(
        waitBehind(static_cast<std::size_t>(ahead), rank, servers));
}

// Tells which waiting pieces can't be done in time, each behind those that go first and can be. The
// first piece of a request needs some time to spare when it comes: or those that were let in before
// would be told later that they are late after all.
std::vector<bool> stage_pool::foreseenLate(double servers)
{
    const auto now = m_clock.now();
    std::ranges::stable_sort(
        m_waiting, [&](const piece_job &a, const piece_job &b) { return before(a, b, {}, now); });
    std::size_t ahead = 0;
    std::vector<bool> late;
    late.reserve(m_waiting.size());
    for (auto &job : m_waiting) {
        auto begins = now + waitBehind(ahead, job.rank, servers);
        if (job.request.inputs.empty() && !job.admitted)
            begins += std::chrono::duration_cast<std::chrono::microseconds>(
                expectedTime(m_capacity.batch) * AdmissionCalls);
        late.push_back(isLate(job, begins));
        job.admitted = job.admitted || !late.back();
        ahead += late.back() ? 0 : 1;
    }
    return late;
}

std::vector<piece_outcome> stage_pool::expire(double servers)
{
    std::vector<piece_outcome> out;
    const auto now = m_clock.now();
    const auto late = foreseenLate(servers);
    const auto inTime = static_cast<double>(std::ranges::count(late, false));
    const bool crowded = inTime > servers * m_capacity.batch;
    std::vector<piece_job> left;
    left.reserve(m_waiting.size());
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        auto &job = m_waiting[i];
        if (job.deadline > now && !(crowded && late[i])) {
            left.push_back(std::move(job));
            continue;
        }
        ++m_summary.ranks[job.rank.priority].dropped;
        out.push_back({job.token, piece_failure::Late});
    }
    m_waiting = std::move(left);
    return out;
}

std::vector<piece_outcome> stage_pool::giveUpAll(piece_failure why)
{
    std::vector<piece_outcome> out;
    for (const auto &job : std::exchange(m_waiting, {}))
        out.push_back({job.token, why});
    return out;
}

std::vector<piece_outcome> stage_pool::giveUpUnreached(const std::vector<server_ptr> &servers)
{
    std::vector<piece_outcome> out;
    const auto pausesAfterFailure = [&](const server_ptr &each) {
        const auto found = m_servers.find(each->record.start());
        return found != m_servers.end() && found->second.failures > 0
            && found->second.busyUntil > m_clock.now();
    };
    if (!std::ranges::all_of(servers, pausesAfterFailure))
        return out;
    std::erase_if(m_waiting, [&](const piece_job &job) {
        if (!job.mayMove)
            return false;
        out.push_back({job.token, piece_failure::Unreached});
        return true;
    });
    return out;
}

std::vector<piece_outcome> stage_pool::dropInputsIn(const data_center_id &dataCenter)
{
    std::vector<piece_outcome> out;
    std::erase_if(m_waiting, [&](const piece_job &job) {
        if (job.request.inputs.empty() || job.near != dataCenter)
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
        if (state.calls == 0 && state.busyUntil > now && (!earliest || state.busyUntil < *earliest))
            earliest = state.busyUntil;
    }
    // When those that wait for a server beside their inputs go elsewhere.
    for (const auto &job : m_waiting) {
        const auto until = nearUntil(job);
        if (job.inputBytes >= NearBytes && until > now && (!earliest || until < *earliest))
            earliest = until;
    }
    return earliest;
}

} // namespace orchidlead::gateway
