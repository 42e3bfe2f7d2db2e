#pragma once

#include "net/http_client.h"
#include "wire/json_text.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace orchidlead::wire {

/// Why a read of what the platform publishes gave nothing.
enum class read_failure {
    Unreachable, ///< no connection, or it broke
    TimedOut,
    Refused, ///< answered with another status than 200 and 304
    Malformed,
    TooLarge,
    Stale, ///< gave a version that isn't above the one asked for
};

/// Says what went wrong with a read.
struct read_error
{
    read_failure failure = read_failure::Unreachable;
    std::string detail; ///< for people
};

/// A kind of published document: where it is, and how its answer is read.
template <class Document>
concept published_document = requires(std::string_view body, const typename Document::value &value)
{
    {
        Document::Path
        } -> std::convertible_to<std::string_view>;
    {
        Document::MaxAnswerBytes
        } -> std::convertible_to<std::size_t>;
    {
        Document::parse(body)
        } -> std::same_as<result<typename Document::value, read_error>>;
    {
        Document::version(value)
        } -> std::same_as<std::uint64_t>;
};

/// How a published document is read.
struct published_reader_options
{
    socket_address address;
    milliseconds connectTimeout{1000};
    milliseconds answerTimeout{4000}; ///< beyond the wait that was asked for
};

/// What one read asks for. A wait of zero reads at once, whatever the version.
struct read_request
{
    std::uint64_t after = 0;
    milliseconds wait{0};
};

/// Calls made and how they ended. Each call counts against the service's read rate.
struct read_counts
{
    std::uint64_t calls = 0;
    std::uint64_t changed = 0;
    std::uint64_t unchanged = 0;
    std::array<std::uint64_t, 6> failures{}; ///< indexed by `read_failure`
};

/// How a read's call ended below, as far as no answer came of it.
[[nodiscard]] std::optional<read_error> readErrorOf(net::call_end end);

/// Composes the call of a read.
[[nodiscard]] net::http_call composeRead(const published_reader_options &options,
                                         const read_request &request, std::string_view path,
                                         std::size_t maxBytes);

/// Reads one published document, one call at a time, and counts the calls.
template <published_document Document>
class published_reader
{
public:
    using value = typename Document::value;
    /// Holds nothing where no version above the one asked for came in time.
    using outcome_type = result<std::optional<value>, read_error>;
    using handler = std::function<void(outcome_type)>;

    published_reader(net::http_client &client, published_reader_options options)
        : m_client(client)
        , m_options(std::move(options))
    { }
    ~published_reader() { cancel(); }
    published_reader(const published_reader &) = delete;
    published_reader &operator=(const published_reader &) = delete;

    /// Starts a call; one that is still open is given up and reports nothing any more.
    void read(const read_request &request, handler onResult);

    /// Gives the open call up.
    void cancel();

    [[nodiscard]] bool reading() const { return m_open != nullptr; }
    [[nodiscard]] const read_counts &counts() const { return m_counts; }

private:
    struct open_read
    {
        read_request request;
        handler onResult;
        net::call_id call = 0;
        int status = 0;
        std::string body;
        bool cancelled = false;
    };
    using open_ptr = std::shared_ptr<open_read>;

    void onEnd(const open_ptr &open, net::call_end end);
    [[nodiscard]] static outcome_type evaluate(const open_read &open, net::call_end end);
    void count(const outcome_type &outcome);

    net::http_client &m_client;
    published_reader_options m_options;
    open_ptr m_open;
    read_counts m_counts;
};

template <published_document Document>
void published_reader<Document>::read(const read_request &request, handler onResult)
{
    cancel();
    auto open = std::make_shared<open_read>();
    open->request = request;
    open->onResult = std::move(onResult);
    m_open = open;
    ++m_counts.calls;
    net::call_events events;
    events.onHead = [open](int status, const net::header_list &) { open->status = status; };
    events.onBody = [open](std::string_view bytes) { open->body += bytes; };
    events.onEnd = [this, open](net::call_end end) { onEnd(open, end); };
    open->call =
        m_client.start(composeRead(m_options, request, Document::Path, Document::MaxAnswerBytes),
                       std::move(events));
}

template <published_document Document>
void published_reader<Document>::cancel()
{
    if (!m_open)
        return;
    const open_ptr open = std::exchange(m_open, nullptr);
    open->cancelled = true;
    m_client.cancel(open->call);
}

template <published_document Document>
void published_reader<Document>::onEnd(const open_ptr &open, net::call_end end)
{
    if (open->cancelled)
        return;
    m_open.reset();
    auto outcome = evaluate(*open, end);
    count(outcome);
    // The handler may start the next read, or destroy this reader.
    const handler onResult = std::move(open->onResult);
    onResult(std::move(outcome));
}

template <published_document Document>
typename published_reader<Document>::outcome_type
published_reader<Document>::evaluate(const open_read &open, net::call_end end)
{
    constexpr int StatusOk = 200;
    constexpr int StatusNotModified = 304;
    if (auto error = readErrorOf(end))
        return failure(std::move(*error));
    if (open.status == StatusNotModified)
        return std::optional<value>{};
    if (open.status != StatusOk)
        return failure(read_error{read_failure::Refused, "status " + std::to_string(open.status)});
    auto parsed = Document::parse(open.body);
    if (!parsed)
        return failure(std::move(parsed).error());
    const std::uint64_t version = Document::version(parsed.value());
    // A watch that comes back at once with an old version would be asked again at once.
    if (open.request.wait > milliseconds{0} && version <= open.request.after)
        return failure(read_error{read_failure::Stale, "version " + std::to_string(version)});
    return std::optional<value>{std::move(parsed).value()};
}

template <published_document Document>
void published_reader<Document>::count(const outcome_type &outcome)
{
    if (!outcome)
        ++m_counts.failures[static_cast<std::size_t>(outcome.error().failure)];
    else if (outcome.value())
        ++m_counts.changed;
    else
        ++m_counts.unchanged;
}

} // namespace orchidlead::wire

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::wire::read_failure>{
    orchidlead::enum_name<orchidlead::wire::read_failure>{
        orchidlead::wire::read_failure::Unreachable, "unreachable"},
    orchidlead::enum_name<orchidlead::wire::read_failure>{orchidlead::wire::read_failure::TimedOut,
                                                          "timed_out"},
    orchidlead::enum_name<orchidlead::wire::read_failure>{orchidlead::wire::read_failure::Refused,
                                                          "refused"},
    orchidlead::enum_name<orchidlead::wire::read_failure>{orchidlead::wire::read_failure::Malformed,
                                                          "malformed"},
    orchidlead::enum_name<orchidlead::wire::read_failure>{orchidlead::wire::read_failure::TooLarge,
                                                          "too_large"},
    orchidlead::enum_name<orchidlead::wire::read_failure>{orchidlead::wire::read_failure::Stale,
                                                          "stale"},
};
