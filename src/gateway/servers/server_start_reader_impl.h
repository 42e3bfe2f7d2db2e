#pragma once

#include "gateway/servers/server_head.h"
#include "gateway/servers/server_start_reader.h"

#include <utility>

namespace orchidlead::gateway {

/// Longest wait for an answer; a client may wait meanwhile. A server that responds answers within
/// milliseconds.
inline constexpr milliseconds StartTimeout{200};

template <gateway_codec Codec>
server_start_reader<Codec>::server_start_reader(http::io_loop &loop, server_transport &transport)
    : m_loop(loop)
    , m_transport(transport)
{ }

template <gateway_codec Codec>
typename server_start_reader<Codec>::question_id
server_start_reader<Codec>::ask(const server_ptr &server, const handler &done)
{
    const auto id = ++m_lastQuestion;
    const auto open = std::make_shared<open_question>();
    m_questions.emplace(id, open);
    open->server = server;
    open->done = done;
    open->timer = m_loop.callAfter(StartTimeout, [this, id] { end(id, start_evidence::Silent); });
    http::outbound_call call;
    call.maxBodyBytes = MaxReportBytes;
    call.writeHead = [open]() -> std::optional<std::string> {
        return http::formatHead(
            makeServerHead<Codec>("GET", Codec::reportPath(), open->server->record));
    };
    call.ownerOf = [](const http::response_head &head) {
        return Codec::readAnswer(head).attempt.empty() ? http::answer_owner::Unnamed
                                                       : http::answer_owner::OtherCall;
    };
    call.onHead = [open](const http::response_head &head) { open->status = head.status; };
    call.onBody = [open](std::string_view bytes) { open->body.append(bytes); };
    call.onEnd = [this, id, open](http::call_end how) {
        open->call.reset();
        end(id, how == http::call_end::Complete ? read(*open) : start_evidence::None);
    };
    open->call = m_transport.start({server, std::move(call), {}, true});
    return id;
}

template <gateway_codec Codec>
void server_start_reader<Codec>::cancel(question_id question)
{
    const auto node = m_questions.extract(question);
    if (node.empty())
        return;
    m_loop.cancelTimer(node.mapped()->timer);
    if (node.mapped()->call)
        m_transport.abandon(*node.mapped()->call);
}

template <gateway_codec Codec>
void server_start_reader<Codec>::end(question_id question, start_evidence shown)
{
    const auto found = m_questions.find(question);
    if (found == m_questions.end())
        return;
    const auto open = found->second;
    cancel(question);
    open->done(shown);
}

template <gateway_codec Codec>
start_evidence server_start_reader<Codec>::read(const open_question &answered)
{
    constexpr int Ok = 200;
    constexpr int Misdirected = 421;
    if (answered.status == Misdirected)
        return start_evidence::Other;
    if (answered.status != Ok)
        return start_evidence::NotStated;
    const auto report = Codec::readReport(answered.body);
    if (!report || !report.value().startedAt)
        return start_evidence::NotStated;
    return report.value().startedAt == answered.server->record.startedAt ? start_evidence::Published
                                                                         : start_evidence::Other;
}

} // namespace orchidlead::gateway
