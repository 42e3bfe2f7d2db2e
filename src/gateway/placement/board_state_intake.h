#pragma once

#include "gateway/servers/pool_key.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <map>

namespace orchidlead::gateway {

/// Decides, as the host of pools, which nodes report the parts of their recent prompts.
///
/// A node that asks a host for the first time offers its report with the request. Offers are
/// accepted in the order of their arrival until they contain `MaxParts` parts, so the cost of a new
/// host doesn't depend on the number of nodes.
class board_state_intake
{
public:
    /// Most parts of a pool that are accepted within the lifetime of a report; the last report may
    /// exceed it. With two shared parts in a prompt, they are those of 1,024 recent requests: a
    /// part of 1 in 100 requests is missing from them with a probability of 0.00004. A part that is
    /// missing has a low rate, and goes to its home engine.
    static constexpr std::size_t MaxParts = 2048;

    explicit board_state_intake(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Returns whether a node that offers a report of `parts` parts is to send it.
    [[nodiscard]] bool accept(const pool_key &pool, std::size_t parts);

private:
    struct window
    {
        steady_time beganAt{};
        std::size_t parts = 0; ///< of the reports accepted since then
    };

    const clock_source &m_clock;
    std::map<pool_key, window> m_windows;
};

} // namespace orchidlead::gateway
