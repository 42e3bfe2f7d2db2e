#pragma once

#include "gateway/codec.h"
#include "gateway/servers/server_transport.h"
#include "http/io_loop.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace orchidlead::gateway {

/// What a server shows of its start when it is asked.
enum class start_evidence : std::uint8_t {
    Published, ///< it is of the start that is published
    NotStated, ///< its report states no start, or it has no report
    Other, ///< another process than the published one answers
    Silent, ///< no answer in time
    None, ///< the call failed
};

/// Asks servers whether they are the processes that are published under their ids.
///
/// A server may start again with another version, under its id and at its address, and this node's
/// list may be late. No answer to a request tells the start of its server, but its report does: the
/// server runs the published version if it is of the published start.
template <gateway_codec Codec>
class server_start_reader
{
public:
    using question_id = std::uint64_t;
    using handler = std::function<void(start_evidence)>;

    server_start_reader(http::io_loop &loop, server_transport &transport);

    /// Asks a server; `done` is called once, within `StartTimeout`, unless the question is
    /// cancelled.
    question_id ask(const server_ptr &server, const handler &done);
    /// Drops a question; unknown ones are ignored.
    void cancel(question_id question);

private:
    struct open_question
    {
        server_ptr server;
        handler done;
        std::optional<server_transport::call_id> call;
        http::timer_id timer = 0;
        int status = 0;
        std::string body;
    };

    void end(question_id question, start_evidence shown);
    [[nodiscard]] static start_evidence read(const open_question &answered);

    http::io_loop &m_loop;
    server_transport &m_transport;
    std::unordered_map<question_id, std::shared_ptr<open_question>> m_questions;
    question_id m_lastQuestion = 0;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::start_evidence>{
    orchidlead::enum_name<orchidlead::gateway::start_evidence>{
        orchidlead::gateway::start_evidence::Published, "published"},
    orchidlead::enum_name<orchidlead::gateway::start_evidence>{
        orchidlead::gateway::start_evidence::NotStated, "not_stated"},
    orchidlead::enum_name<orchidlead::gateway::start_evidence>{
        orchidlead::gateway::start_evidence::Other, "other"},
    orchidlead::enum_name<orchidlead::gateway::start_evidence>{
        orchidlead::gateway::start_evidence::Silent, "silent"},
    orchidlead::enum_name<orchidlead::gateway::start_evidence>{
        orchidlead::gateway::start_evidence::None, "none"},
};

#include "gateway/servers/server_start_reader_impl.h"
