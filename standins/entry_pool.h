#pragma once

#include "net/http_client.h"

#include <orchidlead/ids.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace orchidlead::standins {

/// Chooses entry VMs as the platform's balancer does: asks each for its readiness, and spreads
/// requests over those that are ready.
class entry_pool
{
public:
    entry_pool(net::event_loop &loop, net::http_client &client,
               const std::vector<socket_address> &entries);
    ~entry_pool();
    entry_pool(const entry_pool &) = delete;
    entry_pool &operator=(const entry_pool &) = delete;

    /// Gives the next ready entry VM, another than `avoid` where there is another.
    [[nodiscard]] std::optional<socket_address>
    pick(const std::optional<socket_address> &avoid = std::nullopt);

    [[nodiscard]] std::size_t ready() const;

    /// Adds an entry VM, as when one replaces another.
    void add(const socket_address &entry);

private:
    struct entry
    {
        socket_address address;
        bool ready = false;
        net::call_id probe = 0;
    };

    void probeAll();
    void probe(std::size_t index);

    net::event_loop &m_loop;
    net::http_client &m_client;
    std::vector<entry> m_entries;
    std::size_t m_next = 0;
    net::timer_id m_timer = 0;
};

} // namespace orchidlead::standins
