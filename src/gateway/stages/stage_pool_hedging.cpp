#include "gateway/stages/stage_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of a pool that computes the pieces of overdue calls a second time.
namespace orchidlead::gateway {

namespace {

// Minimum age at which a call is ended whose pieces nobody waits for. A server that pauses usually
// goes on before, and the results that it names can be freed.
constexpr milliseconds MinAbandonAge{2000};

/// Returns whether a server has the version that each of these pieces requires.
bool hasVersionFor(const server &backend, const std::vector<piece_task> &jobs)
{
    return std::ranges::all_of(
        jobs, [&](const piece_task &job) { return backend.hasVersion(job.version); });
}

} // namespace

// While its pieces have time to spare, an overdue call is waited for: in the emulated slowdowns by
// 2.5 times for 0.6 s, no hedged call that began at the overdue time was sooner.
void stage_pool::setHedgeTime(active_call &call)
{
    const auto reserve = std::chrono::duration_cast<std::chrono::microseconds>(
        call.expected * hedged_calls::ReserveShare);
    std::optional<steady_time> due;
    for (const auto &job : call.jobs) {
        const auto latest = job.softDeadline - call.expected;
        if (job.token != 0 && job.mayBeHedged && latest >= call.overdueAt)
            due = std::min(due.value_or(latest), latest);
    }
    call.mayBeHedged = due.has_value();
    if (due)
        call.hedgeAt = std::max(call.overdueAt, *due - reserve);
}

// A hedged call never takes a server, or storage, from other work: none is made while any piece
// waits, even if that piece waits for something else than a server.
std::optional<stage_call> stage_pool::nextHedgedCall(const std::vector<server_ptr> &servers)
{
    if (!m_hedges.enabled() || !m_waiting.empty() || !m_hedges.allowsAnother())
        return std::nullopt;
    for (const auto id : m_calls.toHedge(m_clock.now())) {
        auto &first = m_calls.at(id);
        auto jobs = piecesToHedge(first);
        if (jobs.empty()) {
            first.mayBeHedged = false;
            continue;
        }
        const auto chosen = serverForHedge(first, jobs, servers);
        if (!chosen)
            continue;
        // One decision for each call: a budget that is used up isn't asked again.
        first.mayBeHedged = false;
        if (m_retryBudget.tryAcquire(m_service, static_cast<std::uint32_t>(jobs.size()))) {
            m_hedges.onHedgedCall();
            return makeHedgedCall(id, chosen, std::move(jobs));
        }
    }
    return std::nullopt;
}

// A piece that would be late in the second call as well isn't worth the work.
std::vector<piece_task> stage_pool::piecesToHedge(const active_call &first) const
{
    const auto end = m_clock.now() + m_waits.callTime(first.jobs.size());
    std::vector<piece_task> jobs;
    std::ranges::copy_if(first.jobs, std::back_inserter(jobs), [&](const piece_task &job) {
        return job.token != 0 && job.mayBeHedged && job.softDeadline >= end
            && (!m_mayRetry || m_mayRetry(job.request.digest));
    });
    return jobs;
}

server_ptr stage_pool::serverForHedge(const active_call &first, const std::vector<piece_task> &jobs,
                                      const std::vector<server_ptr> &servers)
{
    const auto now = m_clock.now();
    m_room.dropExpired();
    // A server whose own calls took as long as the overdue one so far would not be sooner.
    const double elapsed = std::chrono::duration<double>(now - first.startedAt)
        / std::chrono::duration<double>(first.expected);
    const auto isSuitable = [&](const server_ptr &each) {
        return each->avoidUntil <= now && !each->cold(now) && !each->effectiveRateLimit(now)
            && !each->brittleRefusals && each->latencyRatio < elapsed && hasVersionFor(*each, jobs)
            && hasRoomFor(*each, jobs);
    };
    const auto idle = m_servers.idle(servers, jobs.front().preferredDataCenter);
    const auto found = std::ranges::find_if(idle, isSuitable);
    return found == idle.end() ? nullptr : *found;
}

bool stage_pool::hasRoomFor(const server &holder, const std::vector<piece_task> &jobs) const
{
    std::uint64_t bytes = 0;
    std::uint64_t smallBytes = 0;
    for (const auto &job : jobs)
        (m_usesResultRoom && m_room.isSmall(job.resultBytes) ? smallBytes : bytes) +=
            job.resultBytes;
    const auto start = holder.record.start();
    return bytes <= m_room.freeBytesAt(start)
        && bytes + smallBytes <= m_room.freeBytesForSmallAt(start);
}

// The silent server may go on sooner than another one answers, and the other one may be silent as
// well. So the call isn't ended before all its pieces are in two later calls. A piece is in at most
// two calls: before a third one starts, the first one ends.
timeout_action stage_pool::onTimeout(stage_call_id id, const std::vector<server_ptr> &servers)
{
    const auto now = m_clock.now();
    const auto &call = m_calls.at(id);
    const auto isWanted = [&](const piece_task &job) {
        return job.token != 0 && job.deadline > now;
    };
    const auto mayRepeat = [&](const piece_task &job) {
        return isWanted(job) && job.tries < MaxTries
            && (!m_mayRetry || m_mayRetry(job.request.digest));
    };
    const auto wanted = std::ranges::count_if(call.jobs, isWanted);
    timeout_action action;
    action.ends = wanted == 0 && now - call.startedAt >= MinAbandonAge;
    std::vector<piece_task> jobs;
    std::ranges::copy_if(call.jobs, std::back_inserter(jobs), mayRepeat);
    const auto *other = m_calls.find(call.other);
    const bool isWhole = std::cmp_equal(jobs.size(), wanted);
    if (jobs.empty() || (other && !(isWhole && mayBeReplaced(*other, call))))
        return action;
    m_room.dropExpired();
    const auto idle = m_servers.idle(servers, jobs.front().preferredDataCenter);
    const auto chosen = std::ranges::find_if(idle, [&](const server_ptr &each) {
        return each->avoidUntil <= now && hasVersionFor(*each, jobs) && hasRoomFor(*each, jobs);
    });
    if (chosen == idle.end()
        || !m_retryBudget.tryAcquire(m_service, static_cast<std::uint32_t>(jobs.size())))
        return action;
    action.replaced = other ? call.other : 0;
    action.second = makeHedgedCall(id, *chosen, std::move(jobs));
    return action;
}

bool stage_pool::mayBeReplaced(const active_call &earlier, const active_call &later) const
{
    const auto isInLater = [&](const piece_task &job) {
        return job.token == 0
            || std::ranges::find(later.jobs, job.token, &piece_task::token) != later.jobs.end();
    };
    return earlier.startedAt < later.startedAt && earlier.timeoutAt <= m_clock.now()
        && std::ranges::all_of(earlier.jobs, isInLater);
}

stage_call stage_pool::makeHedgedCall(stage_call_id firstId, const server_ptr &chosen,
                                      std::vector<piece_task> jobs)
{
    const auto firstServer = m_calls.at(firstId).server;
    const auto firstStartedAt = m_calls.at(firstId).startedAt;
    auto stageCall = startCall(chosen, std::move(jobs), firstStartedAt);
    auto &hedged = m_calls.at(stageCall.id);
    hedged.isHedged = true;
    hedged.mayBeHedged = false;
    hedged.other = firstId;
    m_calls.at(firstId).other = stageCall.id;
    ++m_summary.hedgedCalls;
    stageCall.overdueServer = firstServer;
    stageCall.overdueAge = std::chrono::duration_cast<milliseconds>(m_clock.now() - firstStartedAt);
    return stageCall;
}

void stage_pool::countHedge(const active_call &call, const piece_task &job,
                            const piece_result &result)
{
    if (!call.isHedged)
        return;
    if (std::holds_alternative<piece_failure>(result))
        ++m_hedgeCounts.failed;
    else
        ++(job.token == 0 ? m_hedgeCounts.freed : m_hedgeCounts.used);
}

} // namespace orchidlead::gateway
