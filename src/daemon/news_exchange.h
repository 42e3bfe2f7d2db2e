#pragma once

#include "core/servers/leaving_server_set.h"
#include "net/event_loop.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/membership.h>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace orchidlead::daemon {

/// What the exchange of news needs from the daemon.
struct news_exchange_events
{
    std::function<const std::vector<member> &()> members;
    std::function<void(const socket_address &to, std::string_view bytes)> send; ///< may be lost
    std::function<void(const leaving_update &)> onHeard; ///< new here, from a peer
};

/// Tells the peers what backend servers say about leaving, and hears it from them.
///
/// One node hears it from the server itself; all others must within a few seconds.
class news_exchange
{
public:
    news_exchange(net::event_loop &loop, const clock_source &clock, vm_id self,
                  news_exchange_events events);

    /// Takes what a backend server told this node.
    void onTold(const leaving_update &news);
    /// Takes a peer's datagram.
    void onDatagram(std::string_view bytes);
    /// Tells a member that has just come what it missed.
    void tellNewcomer(const member &newcomer);

private:
    void tellAll(const leaving_update &news);
    void send(const std::vector<leaving_update> &news, const member &to);

    net::event_loop &m_loop;
    vm_id m_self;
    news_exchange_events m_events;
    leaving_server_set m_news;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< tells timers
};

} // namespace orchidlead::daemon
