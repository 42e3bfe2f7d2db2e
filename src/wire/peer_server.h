#pragma once

#include "net/http_server.h"
#include "wire/peer_messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::wire {

/// Takes the answer to a forwarded request, whenever it is known.
class forward_reply
{
public:
    explicit forward_reply(net::response_ptr response)
        : m_response(std::move(response))
    { }

    /// To be called once; nothing happens where the peer has gone.
    void answer(const forward_answer &answer);
    [[nodiscard]] bool open() const { return m_response->open(); }
    /// Called once when the peer goes before it was answered.
    void onClosed(std::function<void()> handler) { m_response->onClosed(std::move(handler)); }

private:
    net::response_ptr m_response;
};

/// What a node does for its peers. None of these may block.
struct peer_handlers
{
    /// Gives nothing where the node has no such version.
    std::function<std::optional<configuration_content>(const configuration_fetch &)>
        fetchConfiguration;
    std::function<void(const gate_message &)> onAtMostOnceMessage;
    std::function<void(forward_request, std::shared_ptr<forward_reply>)> onForward;
};

/// What the peers asked of this node.
struct peer_counts
{
    std::uint64_t messages = 0;
    std::uint64_t refused = 0; ///< malformed or of an unknown method
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

/// Serves the peers' calls: JSON-RPC at `/rpc`, forwarded requests at `/forward`.
class peer_server
{
public:
    explicit peer_server(peer_handlers handlers);
    ~peer_server();
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;

    /// Takes one request of the HTTP server.
    void handle(net::http_request &&request, const net::response_ptr &response);

    [[nodiscard]] const peer_counts &counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace orchidlead::wire
