#include "gateway/placement/board_state_intake.h"

#include "gateway/placement/recent_prompt_parts.h"

#include <algorithm>

namespace orchidlead::gateway {

// The sender states the number of parts before it sends them, so reports that are on their way
// count. A node that fails in between leaves a gap of one report.
bool board_state_intake::accept(const pool_key &pool, std::size_t parts)
{
    if (parts == 0)
        return false;
    const auto now = m_clock.now();
    const auto [entry, isFirst] = m_windows.try_emplace(pool, window{now});
    auto &current = entry->second;
    if (!isFirst && now - current.beganAt > recent_prompt_parts::Lifetime)
        current = {now};
    if (current.parts >= MaxParts)
        return false;
    current.parts += std::min(parts, recent_prompt_parts::MaxParts);
    return true;
}

} // namespace orchidlead::gateway
