#include "http/message_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>
#include <string>

namespace orchidlead::http {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;

constexpr int FirstStatus = 100;
constexpr int FirstFinalStatus = 200;
constexpr int LastStatus = 599;

std::string toString(beast::string_view text)
{
    return {text.data(), text.size()};
}

read_error toReadError(const error_code &error)
{
    if (error == beast::http::error::header_limit)
        return read_error::HeadTooLarge;
    if (error == beast::http::error::body_limit)
        return read_error::BodyTooLarge;
    return read_error::Malformed;
}

/// Collects the framing fields of a head, so that ambiguous framing can be rejected.
struct framing_check
{
    int lengths = 0;
    int transferCodings = 0;
    bool unsupportedCoding = false;
    /// For example a list of lengths, which Beast accepts if all its numbers are equal.
    bool invalidLength = false;

    void add(beast::http::field name, beast::string_view value)
    {
        if (name == beast::http::field::content_length) {
            ++lengths;
            invalidLength = value.find_first_not_of("0123456789") != beast::string_view::npos;
        }
        if (name != beast::http::field::transfer_encoding)
            return;
        ++transferCodings;
        unsupportedCoding = unsupportedCoding || !beast::iequals(value, "chunked");
    }
    [[nodiscard]] bool ambiguous() const
    {
        return lengths + transferCodings > 1 || unsupportedCoding || invalidLength;
    }
};

/// Passes the events of Beast's parser to a sink. In eager mode, `put` parses until it needs more
/// bytes or the message is complete.
template <bool IsRequest, class Head>
class sink_parser : public beast::http::basic_parser<IsRequest>
{
public:
    sink_parser(message_sink<Head> &target, std::size_t limit)
        : sink(target)
        , maxHeadBytes(limit)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(limit));
    }

    read_progress feed(std::string_view bytes)
    {
        error_code error;
        const std::size_t used = this->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        read_progress progress{used, std::nullopt};
        if (error && error != beast::http::error::need_more)
            progress.error = toReadError(error);
        // Beast doesn't limit the head of a chunk or the trailers, of which it consumes nothing
        // until they are complete.
        else if (!m_complete && bytes.size() - used > maxHeadBytes)
            progress.error = read_error::HeadTooLarge;
        return progress;
    }

protected:
    // NOLINTBEGIN(readability-identifier-naming): names of the overridden functions
    void on_field_impl(beast::http::field name, beast::string_view text, beast::string_view value,
                       error_code & /*error*/) override
    {
        // Trailer fields after a chunked body are dropped.
        if (this->is_header_done())
            return;
        framing.add(name, value);
        head.fields.push_back({toString(text), toString(value)});
    }
    void on_header_impl(error_code &error) override
    {
        if (framing.ambiguous()) {
            error = beast::http::error::bad_content_length;
            return;
        }
        finishHead();
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           error_code & /*error*/) override
    { }
    std::size_t on_body_impl(beast::string_view body, error_code & /*error*/) override
    {
        sink.onBody({body.data(), body.size()});
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              error_code & /*error*/) override
    { }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view body,
                                   error_code & /*error*/) override
    {
        sink.onBody({body.data(), body.size()});
        return body.size();
    }
    void on_finish_impl(error_code & /*error*/) override { m_complete = true; }
    // NOLINTEND(readability-identifier-naming)

    virtual void finishHead() = 0;

    message_sink<Head> &sink;
    std::size_t maxHeadBytes;
    Head head;
    framing_check framing;

public:
    [[nodiscard]] bool complete() const { return m_complete; }

private:
    bool m_complete = false;
};

} // namespace

class request_reader::parser final : public sink_parser<true, request_head>
{
public:
    using sink_parser::sink_parser;

private:
    // NOLINTBEGIN(readability-identifier-naming): names of the overridden functions
    void on_request_impl(beast::http::verb /*verb*/, beast::string_view method,
                         beast::string_view target, int version, error_code & /*error*/) override
    {
        head.method = toString(method);
        head.target = toString(target);
        head.http10 = version == 10;
    }
    void on_response_impl(int /*status*/, beast::string_view /*reason*/, int /*version*/,
                          error_code & /*error*/) override
    { }
    // NOLINTEND(readability-identifier-naming)
    void finishHead() override
    {
        head.keepAlive = keep_alive();
        sink.onHead(std::move(head));
    }
};

request_reader::request_reader(request_sink &sink, std::size_t maxHeadBytes,
                               std::size_t maxBodyBytes)
    : m_sink(sink)
    , m_parser(std::make_unique<parser>(sink, maxHeadBytes))
{
    m_parser->body_limit(maxBodyBytes);
}

request_reader::~request_reader() = default;

read_progress request_reader::read(std::string_view bytes)
{
    const bool before = done();
    const auto progress = m_parser->feed(bytes);
    if (!progress.error && !before && done())
        m_sink.onComplete();
    return progress;
}

bool request_reader::headDone() const
{
    return m_parser->is_header_done();
}

bool request_reader::done() const
{
    return m_parser->complete();
}

class response_reader::parser final : public sink_parser<false, response_head>
{
public:
    using sink_parser::sink_parser;
    [[nodiscard]] bool interim() const { return m_interim; }

private:
    // NOLINTBEGIN(readability-identifier-naming): names of the overridden functions
    void on_request_impl(beast::http::verb /*verb*/, beast::string_view /*method*/,
                         beast::string_view /*target*/, int /*version*/,
                         error_code & /*error*/) override
    { }
    void on_response_impl(int status, beast::string_view reason, int /*version*/,
                          error_code &error) override
    {
        if (status < FirstStatus || status > LastStatus) {
            error = beast::http::error::bad_status;
            return;
        }
        head.status = status;
        head.reason = toString(reason);
        m_interim = status < FirstFinalStatus;
    }
    // NOLINTEND(readability-identifier-naming)
    void finishHead() override
    {
        if (m_interim)
            return;
        head.keepAlive = keep_alive();
        head.chunked = chunked();
        if (const auto length = content_length())
            head.length = static_cast<std::size_t>(*length);
        sink.onHead(std::move(head));
    }

    bool m_interim = false;
};

response_reader::response_reader(response_sink &sink, bool toHeadRequest)
    : m_sink(sink)
    , m_toHeadRequest(toHeadRequest)
{
    restart();
}

response_reader::~response_reader() = default;

void response_reader::restart()
{
    m_parser = std::make_unique<parser>(m_sink, MaxResponseHeadBytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_toHeadRequest);
}

read_progress response_reader::read(std::string_view bytes)
{
    read_progress total;
    for (;;) {
        const auto progress = m_parser->feed(bytes.substr(total.used));
        total.used += progress.used;
        total.error = progress.error;
        if (progress.error || !m_parser->complete() || !m_parser->interim())
            break;
        restart();
    }
    if (!total.error && done())
        m_sink.onComplete();
    return total;
}

bool response_reader::finishAtEndOfStream()
{
    if (!m_parser->got_some() || !m_parser->is_header_done())
        return false;
    error_code error;
    m_parser->put_eof(error);
    if (error || !done())
        return false;
    m_sink.onComplete();
    return true;
}

bool response_reader::headDone() const
{
    return m_parser->is_header_done() && !m_parser->interim();
}

bool response_reader::done() const
{
    return m_parser->complete() && !m_parser->interim();
}

} // namespace orchidlead::http
