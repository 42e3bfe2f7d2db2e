#include "standins/prefix_cache.h"

#include "standins/proof_marker.h"

#include <xxhash.h>

namespace orchidlead::standins {

namespace {

constexpr std::size_t MaxEvents = 4096;

} // namespace

std::size_t prefix_cache::use(std::string_view prompt)
{
    std::size_t hits = 0;
    bool hitting = true;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + BlockBytes <= prompt.size(); at += BlockBytes) {
        hash = XXH64(prompt.data() + at, BlockBytes, hash);
        hitting = hitting && m_index.contains(hash);
        if (hitting)
            hits += BlockBytes;
        touch(hash, at == 0);
    }
    return hits;
}

void prefix_cache::touch(std::uint64_t hash, bool first)
{
    if (const auto found = m_index.find(hash); found != m_index.end()) {
        m_blocks.splice(m_blocks.begin(), m_blocks, found->second);
        return;
    }
    if (m_capacity == 0)
        return;
    if (m_blocks.size() >= m_capacity)
        evictOldest();
    m_blocks.push_front({hash, first});
    m_index[hash] = m_blocks.begin();
    if (first)
        report(hash, true);
}

void prefix_cache::evictOldest()
{
    const block oldest = m_blocks.back();
    m_index.erase(oldest.hash);
    m_blocks.pop_back();
    if (oldest.first)
        report(oldest.hash, false);
}

void prefix_cache::report(std::uint64_t hash, bool stored)
{
    m_events.push_back({++m_lastSequence, toHex(hash), stored});
    if (m_events.size() > MaxEvents)
        m_events.pop_front();
}

std::vector<cache_event> prefix_cache::eventsAfter(std::uint64_t sequence) const
{
    std::vector<cache_event> events;
    for (const cache_event &event : m_events) {
        if (event.sequence > sequence)
            events.push_back(event);
    }
    return events;
}

} // namespace orchidlead::standins
