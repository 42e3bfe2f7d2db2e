#include "gateway/streams/stream_origin_table.h"

#include <algorithm>
#include <chrono>

namespace orchidlead::gateway {

namespace {

// Longest time for which a record is kept, whatever the timeout of the client that sent it.
constexpr milliseconds MaxLifetime{std::chrono::minutes{5}};

} // namespace

stream_origin_table::stream_origin_table(const clock_source &clock)
    : m_clock(clock)
{ }

void stream_origin_table::add(const stream_origin_record &record)
{
    if (record.lifetime <= milliseconds{0} || m_entries.contains(record.stream))
        return;
    if (m_entries.size() >= MaxRecords) {
        m_entries.erase(m_byExpiry.begin()->second);
        m_byExpiry.erase(m_byExpiry.begin());
    }
    const auto expiresAt = m_clock.now() + std::min(record.lifetime, MaxLifetime);
    m_entries.emplace(record.stream, entry{record.origin, expiresAt});
    m_byExpiry.emplace(expiresAt, record.stream);
}

std::optional<stream_origin> stream_origin_table::find(const request_digest &stream) const
{
    const auto record = recordOf(stream);
    return record ? std::optional(record->origin) : std::nullopt;
}

std::optional<stream_origin_record>
stream_origin_table::recordOf(const request_digest &stream) const
{
    const auto found = m_entries.find(stream);
    if (found == m_entries.end() || found->second.expiresAt <= m_clock.now())
        return std::nullopt;
    const auto left =
        std::chrono::duration_cast<milliseconds>(found->second.expiresAt - m_clock.now());
    return stream_origin_record{stream, found->second.origin, left};
}

void stream_origin_table::removeExpired()
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= m_clock.now()) {
        m_entries.erase(m_byExpiry.begin()->second);
        m_byExpiry.erase(m_byExpiry.begin());
    }
}

} // namespace orchidlead::gateway
