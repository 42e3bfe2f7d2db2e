#pragma once

#include "gateway/codec.h"
#include "gateway/servers/pool_key.h"

#include <orchidlead/clock.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// A shared part of a prompt that was sent to an engine.
struct placed_part
{
    server_start engine;
    std::string id;
    std::uint32_t tokens = 0;
    milliseconds ago{0}; ///< since the last request with the part was sent to the engine

    friend bool operator==(const placed_part &, const placed_part &) = default;
};

/// Remembers which engines this node sent the shared parts of its prompts to, so that a new host of
/// a pool can be informed. Keeps the last `MaxParts` parts of a pool that were sent within
/// `Lifetime`.
class recent_prompt_parts
{
public:
    static constexpr std::size_t MaxParts = 64;
    static constexpr std::chrono::seconds Lifetime{10};

    explicit recent_prompt_parts(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Records that a request of a pool was sent to an engine.
    void onPlaced(const pool_key &pool, const server_start &engine,
                  const std::vector<prompt_part> &prompt);
    /// Returns the parts of a pool, the latest first.
    [[nodiscard]] std::vector<placed_part> partsOf(const pool_key &pool) const;

private:
    struct sent_part
    {
        placed_part part;
        steady_time at;
    };

    const clock_source &m_clock;
    std::map<pool_key, std::deque<sent_part>> m_parts; ///< latest first
};

} // namespace orchidlead::gateway
