#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orchidlead::standins {

/// What a model engine tells about its prefix cache.
struct cache_event
{
    std::uint64_t sequence = 0;
    std::string prefix; ///< digest of the first bytes of the prompt, as hex
    bool stored = true; ///< else evicted
};

/// Remembers prompts block by block, each block named by everything before it; when memory is full
/// the block that was used longest ago goes.
class prefix_cache
{
public:
    static constexpr std::size_t BlockBytes = 256;

    explicit prefix_cache(std::size_t capacityBlocks)
        : m_capacity(capacityBlocks)
    { }

    /// Counts the leading bytes of the prompt that are remembered, and remembers all whole blocks.
    std::size_t use(std::string_view prompt);

    /// Events after that sequence number, oldest first; old ones are forgotten.
    [[nodiscard]] std::vector<cache_event> eventsAfter(std::uint64_t sequence) const;
    [[nodiscard]] std::uint64_t lastSequence() const { return m_lastSequence; }

private:
    struct block
    {
        std::uint64_t hash = 0;
        bool first = false; ///< the first block of a prompt; these are reported
    };

    void touch(std::uint64_t hash, bool first);
    void evictOldest();
    void report(std::uint64_t hash, bool stored);

    std::size_t m_capacity;
    std::list<block> m_blocks; // most recently used first
    std::unordered_map<std::uint64_t, std::list<block>::iterator> m_index;
    std::deque<cache_event> m_events;
    std::uint64_t m_lastSequence = 0;
};

} // namespace orchidlead::standins
