#pragma once

#include "gateway/placement/recent_prompt_parts.h"
#include "gateway/servers/pool_key.h"

#include <vector>

namespace orchidlead::gateway {

/// Reports to a new host of a pool which engines the sender sent the shared parts of its recent
/// prompts to. Sent if the host asks for it in the answer to the first request of the pool.
struct board_state_frame
{
    pool_key pool;
    std::vector<placed_part> parts; ///< at most `recent_prompt_parts::MaxParts`
};

} // namespace orchidlead::gateway
