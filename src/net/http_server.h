#pragma once

#include "net/event_loop.h"

#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::net {

/// One header field; names are in lower case.
struct http_header
{
    std::string name;
    std::string value;
};

using header_list = std::vector<http_header>;

/// Returns the value of the first header field with this (lower case) name.
[[nodiscard]] std::optional<std::string_view> findHeader(const header_list &headers,
                                                         std::string_view name);

/// A whole request, body included.
struct http_request
{
    std::string method;
    std::string path;
    std::string query; ///< without the question mark
    header_list headers; ///< registered ones and `customHeaders`
    std::string body;
};

/// Writes one response. Writes after the connection has ended have no effect.
///
/// If the writer is destroyed before the response is finished, the connection is closed after the
/// bytes written so far have been sent.
class response_writer
{
public:
    virtual ~response_writer() = default;

    /// Sends a whole response.
    virtual void respond(int status, const header_list &headers, std::string body) = 0;

    /// Starts a response that `write` and `finish` continue. A `content-length` among the headers
    /// declares its length; if fewer bytes are written, the connection is closed. Without one, the
    /// response is sent with chunked transfer coding.
    virtual void begin(int status, const header_list &headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void finish() = 0;

    /// False once the client has disconnected or the response has been sent.
    [[nodiscard]] virtual bool open() const = 0;
    /// Bytes accepted by `write` and not yet passed to the kernel.
    [[nodiscard]] virtual std::size_t queuedBytes() const = 0;
    /// Sets the handler that is called each time the send queue becomes empty.
    virtual void onDrained(std::function<void()> handler) = 0;
    /// Sets the handler that is called once if the connection ends before the whole response has
    /// been sent.
    virtual void onClosed(std::function<void()> handler) = 0;
};

using response_ptr = std::shared_ptr<response_writer>;
using http_handler = std::function<void(http_request &&, response_ptr)>;

/// Limits of a server; the comments give the HTTP status of a request that exceeds the limit.
struct http_server_options
{
    socket_address listen; ///< port 0: chosen by the system
    std::size_t maxBodyBytes = 16U << 20U; ///< 413
    /// Of all bodies being received together; 503.
    std::size_t maxBufferedBodyBytes = 256U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U; ///< 431; above 60 KiB: closed
    std::size_t maxConnections = 4096; ///< 503, then closed
    std::chrono::milliseconds requestTimeout{15000}; ///< to receive a whole request; 408
    std::chrono::milliseconds idleTimeout{60000}; ///< of connections without a request
    /// A client that reads so slowly that more bytes are queued is disconnected.
    std::size_t maxQueuedResponseBytes = 64U << 20U;
    std::string tlsCertificateFile; ///< PEM; empty: no TLS
    std::string tlsKeyFile;
    /// Whether HTTP/2 is offered over TLS. HTTP/2 requests have no `customHeaders`: libwebsockets
    /// drops header fields that it does not recognise.
    bool offerHttp2 = false;
    /// Header fields (lower case) to keep in addition to the registered ones, which are all kept.
    std::vector<std::string> customHeaders{"x-request-id", "idempotency-key"};
};

/// Serves HTTP/1.1, with or without TLS, and HTTP/2 if offered. Several servers may share one loop.
///
/// The destructor closes all sockets at once; no event is reported afterwards. The server must not
/// be destroyed inside its handler.
class http_server
{
public:
    [[nodiscard]] static result<std::unique_ptr<http_server>, net_error>
    create(event_loop &loop, const http_server_options &options, http_handler handler);
    virtual ~http_server() = default;

    /// The port that the server listens on.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Number of open connections.
    [[nodiscard]] virtual std::size_t connections() const = 0;
    /// Sends `connection: close` with all further responses; still accepts new connections.
    virtual void stopKeepAlive() = 0;
    /// Closes the listening socket; open connections are kept.
    virtual void stopListening() = 0;
};

} // namespace orchidlead::net
