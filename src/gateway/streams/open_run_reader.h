#pragma once

#include "gateway/codec.h"
#include "gateway/servers/server_transport.h"
#include "http/io_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Reads once, after the start of a node, which requests servers are running.
///
/// A node that lost power closes no connection, so servers go on with its streams for some time.
/// Their reports name streams of which no node has a record any more.
template <gateway_codec Codec>
class open_run_reader
{
public:
    using run_handler = std::function<void(const server_record &server, const open_run &run)>;

    open_run_reader(http::io_loop &loop, server_transport &transport);

    /// Reads the reports of these servers. Calls `onRun` for each run that has made events, and
    /// `onEnd` once, when all servers have answered or failed or took too long. Must not be called
    /// again before that.
    void read(const std::vector<server_ptr> &servers, run_handler onRun,
              std::function<void()> onEnd);
    /// Number of servers whose reports could be read.
    [[nodiscard]] std::size_t answered() const { return m_answered; }

private:
    struct open_read
    {
        server_record server; ///< as published when it was asked
        int status = 0;
        std::string body;
    };

    void ask(const server_ptr &server);
    void onBody(server_transport::call_id call, std::string_view bytes);
    void onEnd(server_transport::call_id call);
    void handleReport(const open_read &read, const server_report &report);
    void finish();

    http::io_loop &m_loop;
    server_transport &m_transport;
    run_handler m_onRun;
    std::function<void()> m_onEnd;
    std::unordered_map<server_transport::call_id, std::shared_ptr<open_read>> m_reads;
    http::timer_id m_timer = 0;
    std::size_t m_answered = 0;
};

/// Returns the servers whose reports a node reads: those nearest to it, drawn by its name, so that
/// the nodes of a data centre read the servers there several times over without knowing each other.
[[nodiscard]] std::vector<server_ptr> serversToReport(const std::vector<server_ptr> &servers,
                                                      const vm_id &self,
                                                      const data_center_id &dataCenter);

} // namespace orchidlead::gateway

#include "gateway/streams/open_run_reader_impl.h"
