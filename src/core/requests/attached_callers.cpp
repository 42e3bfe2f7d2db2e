#include "core/requests/attached_callers.h"

#include <algorithm>
#include <utility>

namespace orchidlead {

namespace {
constexpr std::size_t MaxCallersPerCall = 16;
} // namespace

bool attached_callers::add(record_handle record, const request_id &request, steady_time deadline)
{
    auto &callers = m_records[record];
    if (callers.size() >= MaxCallersPerCall)
        return false;
    callers.push_back(request);
    m_callers.emplace(request, caller{record, deadline});
    m_deadlines.emplace(deadline, request);
    return true;
}

bool attached_callers::remove(const request_id &request)
{
    const auto found = m_callers.find(request);
    if (found == m_callers.end())
        return false;
    const auto record = m_records.find(found->second.record);
    std::erase(record->second, request);
    if (record->second.empty())
        m_records.erase(record);
    const auto [begin, end] = m_deadlines.equal_range(found->second.deadline);
    m_deadlines.erase(
        std::find_if(begin, end, [&](const auto &entry) { return entry.second == request; }));
    m_callers.erase(found);
    return true;
}

std::vector<request_id> attached_callers::take(record_handle record)
{
    const auto found = m_records.find(record);
    if (found == m_records.end())
        return {};
    std::vector<request_id> callers = found->second;
    for (const auto &request : callers)
        remove(request);
    return callers;
}

std::vector<request_id> attached_callers::takeExpired(steady_time now)
{
    std::vector<request_id> expired;
    for (auto entry = m_deadlines.begin(); entry != m_deadlines.end() && entry->first <= now;
         ++entry)
        expired.push_back(entry->second);
    for (const auto &request : expired)
        remove(request);
    return expired;
}

std::optional<steady_time> attached_callers::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

} // namespace orchidlead
