#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// A change of a backend server's leaving state, which the node that receives it from the server
/// sends to its peers.
struct leaving_update
{
    backend_server_id server;
    bool leaving = false; ///< false: the server accepts work again

    friend bool operator==(const leaving_update &, const leaving_update &) = default;
};

/// The set of backend servers that are leaving. Detects changes, so that each is sent only once.
class leaving_server_set
{
public:
    explicit leaving_server_set(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Applies a change received from a server or a peer; returns whether it is new. A new change
    /// from the server itself must be sent to the peers. A peer sends its changes to all nodes, so
    /// those aren't forwarded.
    [[nodiscard]] bool apply(const leaving_update &update);

    /// All leaving servers, to be sent to a new peer.
    [[nodiscard]] std::vector<leaving_update> all() const;

private:
    const clock_source &m_clock;
    /// The leaving servers, each with the time at which its change was received.
    std::unordered_map<backend_server_id, steady_time> m_leaving;
};

} // namespace orchidlead
