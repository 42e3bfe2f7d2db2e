#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// What a backend server said of itself to one node, for the others to hear.
struct server_news
{
    backend_server_id server;
    bool leaving = false; ///< false: it takes work again

    friend bool operator==(const server_news &, const server_news &) = default;
};

/// Knows which backend servers said that they are leaving, so that each change is told once.
class leaving_news
{
public:
    explicit leaving_news(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Takes what a server told this node or a peer; true where it is new here. What is new from
    /// the server itself is for the peers to hear; what a peer passed on, it has told everyone.
    [[nodiscard]] bool note(const server_news &news);

    /// Gives all that are leaving, for a peer that has just come.
    [[nodiscard]] std::vector<server_news> all() const;

private:
    const clock_source &m_clock;
    std::unordered_map<backend_server_id, steady_time> m_leaving; ///< since when it is known
};

} // namespace orchidlead
