#pragma once

#include "http/head.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace orchidlead::http {

/// Limit for the head of a server's answer. Backend servers send less than a tenth of it.
inline constexpr std::uint32_t MaxResponseHeadBytes = 64U << 10U;

/// Why a message was rejected.
enum class read_error {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Receives the parts of one message from a reader. The reader must not be destroyed during a call.
template <class Head>
class message_sink
{
public:
    virtual ~message_sink() = default;
    virtual void onHead(Head head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onComplete() = 0;
};

using request_sink = message_sink<request_head>;
using response_sink = message_sink<response_head>;

/// Result of reading some bytes.
struct read_progress
{
    /// Number of bytes consumed. The caller passes the others again, followed by new ones.
    std::size_t used = 0;
    std::optional<read_error> error;
};

/// Parses one request. Rejects repeated or conflicting lengths, transfer codings other than
/// `chunked`, and bare line feeds: with lenient parsing, two programs could see different messages
/// (request smuggling).
class request_reader
{
public:
    request_reader(request_sink &sink, std::size_t maxHeadBytes, std::size_t maxBodyBytes);
    ~request_reader();

    /// Consumes bytes up to the end of the message.
    [[nodiscard]] read_progress read(std::string_view bytes);
    [[nodiscard]] bool headDone() const;
    [[nodiscard]] bool done() const;

private:
    class parser;
    request_sink &m_sink;
    std::unique_ptr<parser> m_parser;
};

/// Parses one answer; skips interim answers (1xx) and rejects statuses outside 100 to 599.
class response_reader
{
public:
    response_reader(response_sink &sink, bool toHeadRequest);
    ~response_reader();

    [[nodiscard]] read_progress read(std::string_view bytes);
    /// To be called when the server has closed the connection in an orderly way. Returns false if
    /// the answer is incomplete.
    [[nodiscard]] bool finishAtEndOfStream();
    [[nodiscard]] bool headDone() const;
    [[nodiscard]] bool done() const;

private:
    class parser;
    void restart();

    response_sink &m_sink;
    bool m_toHeadRequest;
    std::unique_ptr<parser> m_parser;
};

} // namespace orchidlead::http

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::http::read_error>{
    orchidlead::enum_name<orchidlead::http::read_error>{orchidlead::http::read_error::Malformed,
                                                        "malformed"},
    orchidlead::enum_name<orchidlead::http::read_error>{orchidlead::http::read_error::HeadTooLarge,
                                                        "head_too_large"},
    orchidlead::enum_name<orchidlead::http::read_error>{orchidlead::http::read_error::BodyTooLarge,
                                                        "body_too_large"},
};
