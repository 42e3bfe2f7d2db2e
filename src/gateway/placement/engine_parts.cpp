#include "gateway/placement/engine_parts.h"

#include <algorithm>

namespace orchidlead::gateway {

std::span<const prompt_part> sharedParts(const std::vector<prompt_part> &prompt)
{
    return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
}

std::uint64_t tokensOf(std::span<const prompt_part> parts)
{
    std::uint64_t tokens = 0;
    for (const auto &each : parts)
        tokens += each.tokens;
    return tokens;
}

std::uint64_t engine_parts::keptTokens(std::span<const prompt_part> parts) const
{
    std::uint64_t tokens = 0;
    for (const auto &each : parts) {
        if (!m_parts.contains(each.id))
            break;
        tokens += each.tokens;
    }
    return tokens;
}

void engine_parts::keep(const prompt_part &part, steady_time lastUsed)
{
    const auto [entry, isNew] = m_parts.try_emplace(part.id);
    if (isNew)
        m_tokens += part.tokens;
    else
        lastUsed = std::max(lastUsed, entry->second.lastUsed);
    entry->second = {isNew ? part.tokens : entry->second.tokens, lastUsed};
}

std::vector<std::string> engine_parts::keep(std::span<const prompt_part> parts, std::uint64_t limit,
                                            steady_time now)
{
    for (const auto &each : parts)
        keep(each, now);
    std::vector<std::string> evicted;
    while (m_tokens > limit && !m_parts.empty()) {
        const auto oldest = std::ranges::min_element(
            m_parts, {}, [](const auto &entry) { return entry.second.lastUsed; });
        m_tokens -= oldest->second.tokens;
        evicted.push_back(oldest->first);
        m_parts.erase(oldest);
    }
    return evicted;
}

} // namespace orchidlead::gateway
