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

/// Why bytes can't be read as a message.
enum class read_error {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Takes the parts of one message as they are read. The reader must outlive each of the calls.
template <class Head>
class message_sink
{
public:
    virtual ~message_sink() = default;
    virtual void onHead(Head head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onComplete() = 0; ///< the message is whole
};

using request_sink = message_sink<request_head>;
using response_sink = message_sink<response_head>;

/// What reading some bytes came to.
struct read_progress
{
    std::size_t used = 0; ///< of the bytes given; the rest must be given again, with more
    std::optional<read_error> error;
};

/// Reads one request. Strict where leniency would let two programs see different messages:
/// doubled or conflicting lengths, other codings than `chunked` and bare line feeds are refused.
class request_reader
{
public:
    request_reader(request_sink &sink, std::size_t maxHeadBytes, std::size_t maxBodyBytes);
    ~request_reader();

    /// Takes bytes up to the end of the message.
    [[nodiscard]] read_progress read(std::string_view bytes);
    [[nodiscard]] bool headDone() const;
    [[nodiscard]] bool done() const;

private:
    class parser;
    request_sink &m_sink;
    std::unique_ptr<parser> m_parser;
};

/// Reads one answer, interim ones (1xx) skipped.
class response_reader
{
public:
    response_reader(response_sink &sink, bool toHeadRequest);
    ~response_reader();

    [[nodiscard]] read_progress read(std::string_view bytes);
    /// Tells that the connection has ended in order; false where the answer isn't whole.
    [[nodiscard]] bool finishAtEnd();
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
