#include "gateway/placement/recent_prompt_parts.h"

#include "gateway/placement/engine_parts.h"

namespace orchidlead::gateway {

// The parts of one prompt stay in order, and the first ones are the last to be dropped: an engine
// can use a part only if it keeps those before it.
void recent_prompt_parts::onPlaced(const pool_key &pool, const server_start &engine,
                                   const std::vector<prompt_part> &prompt)
{
    auto shared = sharedParts(prompt);
    shared = shared.first(std::min(shared.size(), MaxParts));
    if (shared.empty())
        return;
    auto &parts = m_parts[pool];
    for (auto each = shared.rbegin(); each != shared.rend(); ++each) {
        std::erase_if(parts, [&](const sent_part &known) {
            return known.part.id == each->id && known.part.engine == engine;
        });
        parts.push_front({{engine, each->id, each->tokens}, m_clock.now()});
    }
    while (parts.size() > MaxParts)
        parts.pop_back();
}

std::vector<placed_part> recent_prompt_parts::partsOf(const pool_key &pool) const
{
    std::vector<placed_part> recent;
    const auto found = m_parts.find(pool);
    if (found == m_parts.end())
        return recent;
    for (const auto &each : found->second) {
        const auto ago = m_clock.now() - each.at;
        if (ago > Lifetime)
            break;
        recent.push_back(each.part);
        recent.back().ago = std::chrono::duration_cast<milliseconds>(ago);
    }
    return recent;
}

} // namespace orchidlead::gateway
