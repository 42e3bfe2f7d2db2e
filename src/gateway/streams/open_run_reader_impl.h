#pragma once

#include "gateway/streams/open_run_reader.h"

#include <utility>

namespace orchidlead::gateway {

/// Longest time for reading the reports. A server keeps a run for as long as it takes to detect
/// that the connection is gone.
inline constexpr milliseconds ReportsTimeout{500};

template <gateway_codec Codec>
open_run_reader<Codec>::open_run_reader(http::io_loop &loop, server_transport &transport)
    : m_loop(loop)
    , m_transport(transport)
{ }

template <gateway_codec Codec>
void open_run_reader<Codec>::read(const std::vector<server_ptr> &servers, run_handler onRun,
                                  std::function<void()> onEnd)
{
    m_onRun = std::move(onRun);
    m_onEnd = std::move(onEnd);
    m_timer = m_loop.callAfter(ReportsTimeout, [this] {
        m_timer = 0;
        finish();
    });
    for (const auto &each : servers)
        ask(each);
    if (m_reads.empty())
        finish();
}

template <gateway_codec Codec>
void open_run_reader<Codec>::ask(const server_ptr &server)
{
    const auto read = std::make_shared<open_read>();
    read->server = server->record;
    const auto id = std::make_shared<server_transport::call_id>(0);
    server_call made;
    made.server = server;
    made.repeatable = true;
    made.call.maxBodyBytes = MaxReportBytes;
    made.call.writeHead = [host = server->record.address.ip, id = server->record.id] {
        http::request_head head;
        head.method = "GET";
        head.target = Codec::reportPath();
        head.fields = Codec::stageFields(id);
        head.fields.push_back({"Host", host});
        return std::optional(http::formatHead(head));
    };
    made.call.onHead = [read](const http::response_head &head) { read->status = head.status; };
    made.call.onBody = [this, id](std::string_view bytes) { onBody(*id, bytes); };
    made.call.onEnd = [this, id](http::call_end /*how*/) { onEnd(*id); };
    *id = m_transport.startDirect(std::move(made));
    m_reads.emplace(*id, read);
}

// The connection isn't kept: an idle one hides from this node that it can't open others.
template <gateway_codec Codec>
void open_run_reader<Codec>::onBody(server_transport::call_id call, std::string_view bytes)
{
    constexpr int Ok = 200;
    const auto found = m_reads.find(call);
    if (found == m_reads.end())
        return;
    const auto read = found->second;
    read->body.append(bytes);
    const auto last = read->body.find_last_not_of(" \t\r\n");
    if (read->status != Ok || last == std::string::npos || read->body[last] != '}')
        return;
    const auto report = Codec::readReport(read->body);
    if (!report)
        return;
    m_transport.abandon(call);
    handleReport(*read, report.value());
    onEnd(call);
}

// The address of a server that has ended may belong to another one, or to another start of it. A
// report that states its start must be of the start that was published.
template <gateway_codec Codec>
void open_run_reader<Codec>::handleReport(const open_read &read, const server_report &report)
{
    const auto &published = read.server.startedAt;
    if (published && report.startedAt != published)
        return;
    ++m_answered;
    for (const auto &each : report.runs) {
        if (each.events > 0)
            m_onRun(read.server, each);
    }
}

template <gateway_codec Codec>
void open_run_reader<Codec>::onEnd(server_transport::call_id call)
{
    if (m_reads.erase(call) > 0 && m_reads.empty())
        finish();
}

template <gateway_codec Codec>
void open_run_reader<Codec>::finish()
{
    for (const auto &[call, read] : std::exchange(m_reads, {}))
        m_transport.abandon(call);
    m_loop.cancelTimer(std::exchange(m_timer, 0));
    if (const auto onEnd = std::exchange(m_onEnd, {}))
        onEnd();
}

} // namespace orchidlead::gateway
