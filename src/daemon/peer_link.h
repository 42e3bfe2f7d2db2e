#pragma once

#include "core/node/node_actions.h"
#include "core/node/node_control.h"
#include "daemon/caller_request_json.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "wire/peer_client.h"
#include "wire/peer_server.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::daemon {

/// A peer's call for a request that it doesn't decide about itself.
using peer_answer = std::function<void(const final_answer &answer)>;

/// What the calls of peers, and the answers to own calls, are handed to.
struct peer_link_events
{
    std::function<std::optional<wire::configuration_content>(std::uint64_t version)>
        fetchConfiguration;
    std::function<void(const vm_id &from, const std::string &bytes)> onAtMostOnceMessage;
    /// Runs a peer's request; `onEnd` is to be called once.
    std::function<void(caller_request request, peer_answer onEnd)> onForwarded;
    std::function<void(const request_id &request, final_answer answer)> onForwardAnswer;
    std::function<void(const request_id &request, const std::string &detail)> onForwardFailed;
    std::function<void(const vm_id &vm, std::uint64_t version, std::string content)> onContent;
    std::function<void(const vm_id &vm)> onContentFailed;
};

/// Talks to the other nodes over TCP: configuration contents, forwarded requests, and those
/// messages of the at-most-once gate (`at_most_once`) that don't fit a datagram.
class peer_link
{
public:
    peer_link(net::event_loop &loop, net::http_client &client, const clock_source &clock,
              vm_id self, const caller_bounds &bounds, peer_link_events events);

    [[nodiscard]] result<void, net::net_error> listen(const net::http_server_options &options);

    void forward(const forward_call &call);
    void fetchConfiguration(const socket_address &peer, const fetch_from_peer &fetch);
    void sendGateMessage(const socket_address &peer, const std::string &bytes);

    [[nodiscard]] const wire::peer_client &client() const { return m_client; }
    [[nodiscard]] const wire::peer_counts &served() const { return m_server.counts(); }

private:
    [[nodiscard]] wire::peer_handlers handlers();
    void onForward(const wire::forward_request &request,
                   const std::shared_ptr<wire::forward_reply> &reply);

    net::event_loop &m_loop;
    const clock_source &m_clock;
    vm_id m_self;
    caller_bounds m_bounds;
    peer_link_events m_events;
    wire::peer_client m_client;
    wire::peer_server m_server;
    std::unique_ptr<net::http_server> m_listener;
};

} // namespace orchidlead::daemon
