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

/// Finds the first header of that (lower case) name.
[[nodiscard]] std::optional<std::string_view> findHeader(const header_list &headers,
                                                         std::string_view name);

/// A whole request, body included.
struct http_request
{
    std::string method;
    std::string path;
    std::string query; ///< without the question mark
    header_list headers; ///< the registered ones and `http_server_options::customHeaders`
    std::string body;
};

/// Writes one answer. Kept alive by whoever holds it; writes after the connection's end do nothing.
///
/// When the last holder lets go of an answer that isn't finished, the connection is closed after
/// what was written has been sent.
class response_writer
{
public:
    virtual ~response_writer() = default;

    /// Sends a whole answer.
    virtual void respond(int status, const header_list &headers, std::string body) = 0;

    /// Starts an answer that is written in parts; then `write`, then `finish`. With a
    /// `content-length` among the headers that is its length, and fewer bytes end in a closed
    /// connection; without, it is sent in chunks.
    virtual void begin(int status, const header_list &headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void finish() = 0;

    /// False once the caller has gone.
    [[nodiscard]] virtual bool open() const = 0;
    /// Bytes accepted by `write` and not yet handed to the kernel.
    [[nodiscard]] virtual std::size_t queuedBytes() const = 0;
    /// Called each time that the queue becomes empty.
    virtual void onDrained(std::function<void()> handler) = 0;
    /// Called once when the connection ends before `finish` or `respond` was fully sent.
    virtual void onClosed(std::function<void()> handler) = 0;
};

using response_ptr = std::shared_ptr<response_writer>;
using http_handler = std::function<void(http_request &&, response_ptr)>;

/// Bounds on what a caller may send; each has its own HTTP status when broken.
struct http_server_options
{
    socket_address listen; ///< port 0: the system picks one, see `http_server::port`
    std::size_t maxBodyBytes = 16U << 20U; ///< beyond: 413
    std::size_t maxBufferedBodyBytes = 256U << 20U; ///< of all bodies being received; beyond: 503
    std::size_t maxHeaderBytes = 16U << 10U; ///< beyond: 431; beyond 60 KiB: closed
    std::size_t maxConnections = 4096; ///< beyond: 503 and close
    std::chrono::milliseconds requestTimeout{15000}; ///< whole request must be here by then: 408
    std::chrono::milliseconds idleTimeout{60000}; ///< keep-alive connections without a request
    std::size_t maxQueuedResponseBytes = 64U << 20U; ///< a reader slower than this is cut off
    std::string tlsCertificateFile; ///< PEM; empty: no TLS
    std::string tlsKeyFile;
    /// Whether HTTP/2 is offered under TLS. It carries no `customHeaders`: libwebsockets drops
    /// header fields there that it doesn't know.
    bool offerHttp2 = false;
    /// Header fields (lower case) to keep beside the registered ones, which are all kept.
    std::vector<std::string> customHeaders{"x-request-id", "idempotency-key"};
};

/// Serves HTTP/1.1, with or without TLS, and HTTP/2 where it is offered. Several servers may share
/// one loop.
///
/// Destroying it, which must not be done inside its handler, closes its sockets at once and reports
/// nothing more.
class http_server
{
public:
    [[nodiscard]] static result<std::unique_ptr<http_server>, net_error>
    create(event_loop &loop, const http_server_options &options, http_handler handler);
    virtual ~http_server() = default;

    /// The port that is listened on.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Connections open now.
    [[nodiscard]] virtual std::size_t connections() const = 0;
    /// Answers from now on carry `connection: close`; new connections are still served.
    virtual void stopKeepAlive() = 0;
    /// Closes the listening socket; open connections go on.
    virtual void stopListening() = 0;
};

} // namespace orchidlead::net
