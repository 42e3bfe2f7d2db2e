#include "gateway/stages/active_calls.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace orchidlead::gateway {

stage_call_id active_calls::add(active_call call)
{
    m_calls.emplace(++m_last, std::move(call));
    return m_last;
}

std::optional<active_call> active_calls::take(stage_call_id id)
{
    auto node = m_calls.extract(id);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

const active_call *active_calls::find(stage_call_id id) const
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : &found->second;
}

void active_calls::withdraw(piece_token token)
{
    for (auto &[id, call] : m_calls) {
        for (auto &job : call.jobs) {
            if (job.token == token)
                job.token = 0;
        }
    }
}

piece_task *active_calls::copyOf(const active_call &call, piece_token token)
{
    const auto found = m_calls.find(call.other);
    if (found == m_calls.end() || token == 0)
        return nullptr;
    auto &jobs = found->second.jobs;
    const auto copy = std::ranges::find(jobs, token, &piece_task::token);
    return copy == jobs.end() ? nullptr : &*copy;
}

std::vector<stage_call_id> active_calls::toHedge(steady_time now) const
{
    std::vector<std::tuple<stage_rank, steady_time, stage_call_id>> found;
    for (const auto &[id, call] : m_calls) {
        if (call.mayBeHedged && call.hedgeAt <= now)
            found.emplace_back(std::ranges::min(call.jobs, {}, &piece_task::rank).rank,
                               call.hedgeAt, id);
    }
    std::ranges::sort(found);
    std::vector<stage_call_id> ids;
    ids.reserve(found.size());
    for (const auto &[rank, since, id] : found)
        ids.push_back(id);
    return ids;
}

std::optional<steady_time> active_calls::nextHedgeAt(steady_time now) const
{
    std::optional<steady_time> next;
    for (const auto &[id, call] : m_calls) {
        if (call.mayBeHedged && call.hedgeAt > now)
            next = std::min(next.value_or(call.hedgeAt), call.hedgeAt);
    }
    return next;
}

} // namespace orchidlead::gateway
