#include "core/requests/call_records.h"

#include <utility>
#include <vector>

namespace orchidlead {

call_records::call_records(std::size_t maxRecords, std::size_t maxAnswerBytes)
    : m_maxRecords(maxRecords)
    , m_maxAnswerBytes(maxAnswerBytes)
{ }

call_record *call_records::add(call_record record)
{
    if (m_records.size() >= m_maxRecords)
        return nullptr;
    record.handle = record_handle{m_nextHandle++};
    const std::uint64_t handle = record.handle.value;
    if (!record.id.empty())
        m_byId[record.id] = handle;
    m_byExpiry.emplace(record.keepUntil, handle);
    return &m_records.emplace(handle, std::move(record)).first->second;
}

call_record *call_records::find(std::string_view id)
{
    const auto found = m_byId.find(std::string{id});
    return found == m_byId.end() ? nullptr : find(record_handle{found->second});
}

call_record *call_records::find(record_handle handle)
{
    const auto found = m_records.find(handle.value);
    return found == m_records.end() ? nullptr : &found->second;
}

const call_record *call_records::find(record_handle handle) const
{
    const auto found = m_records.find(handle.value);
    return found == m_records.end() ? nullptr : &found->second;
}

void call_records::finish(call_record &record, const final_answer &answer)
{
    if (record.state == call_state::Finished)
        return;
    record.state = call_state::Finished;
    record.answer = answer;
    if (!record.answer.output)
        return;
    m_answerBytes += record.answer.output->size();
    m_finished.push_back(record.handle.value);
    evictOutputs();
}

void call_records::evictOutputs()
{
    while (m_answerBytes > m_maxAnswerBytes && !m_finished.empty()) {
        if (call_record *oldest = find(record_handle{m_finished.front()}))
            releaseOutput(*oldest);
        m_finished.pop_front();
    }
}

void call_records::releaseOutput(call_record &record)
{
    if (!record.answer.output)
        return;
    m_answerBytes -= record.answer.output->size();
    record.answer.output.reset();
}

void call_records::drop(record_handle handle)
{
    const auto found = m_records.find(handle.value);
    if (found == m_records.end())
        return;
    releaseOutput(found->second);
    const auto named = m_byId.find(found->second.id);
    if (named != m_byId.end() && named->second == handle.value)
        m_byId.erase(named);
    m_records.erase(found);
}

// Expired records of calls in flight are kept, since the answer may still arrive. They are checked
// again after one second.
void call_records::expire(steady_time now)
{
    std::vector<std::uint64_t> inFlight;
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        const std::uint64_t handle = m_byExpiry.begin()->second;
        m_byExpiry.erase(m_byExpiry.begin());
        const call_record *record = find(record_handle{handle});
        if (record == nullptr)
            continue;
        const bool running =
            record->state == call_state::Accepted || record->state == call_state::Dispatched;
        if (running)
            inFlight.push_back(handle);
        else
            drop(record_handle{handle});
    }
    for (const auto handle : inFlight)
        m_byExpiry.emplace(now + std::chrono::seconds{1}, handle);
    while (!m_finished.empty() && find(record_handle{m_finished.front()}) == nullptr)
        m_finished.pop_front();
}

void call_records::forEach(const std::function<void(const call_record &)> &visit) const
{
    for (const auto &[handle, record] : m_records)
        visit(record);
}

} // namespace orchidlead
