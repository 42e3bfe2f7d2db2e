#pragma once

#include "gateway/codec.h"

#include <orchidlead/clock.h>

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Returns the parts of a prompt that it may share with others: all but the last one.
[[nodiscard]] std::span<const prompt_part> sharedParts(const std::vector<prompt_part> &prompt);
/// Returns the number of tokens of parts of a prompt.
[[nodiscard]] std::uint64_t tokensOf(std::span<const prompt_part> parts);

/// The parts of prompts that an engine is assumed to keep.
class engine_parts
{
public:
    /// Returns the tokens of the parts that the engine keeps. A part is usable only if all parts
    /// before it are kept as well.
    [[nodiscard]] std::uint64_t keptTokens(std::span<const prompt_part> parts) const;
    /// Records that the engine reads parts. Returns the parts that it evicts for them: the least
    /// recently used ones, beyond `limit` tokens.
    std::vector<std::string> keep(std::span<const prompt_part> parts, std::uint64_t limit,
                                  steady_time now);
    /// Records that the engine read a part at `lastUsed`.
    void keep(const prompt_part &part, steady_time lastUsed);

    /// Returns the tokens of all parts that the engine keeps.
    [[nodiscard]] std::uint64_t totalTokens() const { return m_tokens; }
    /// Calls `visit` for the id of each part.
    template <class Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &[id, each] : m_parts)
            visit(id);
    }

private:
    struct kept_part
    {
        std::uint32_t tokens = 0;
        steady_time lastUsed;
    };

    std::unordered_map<std::string, kept_part> m_parts;
    std::uint64_t m_tokens = 0; ///< of all parts
};

} // namespace orchidlead::gateway
