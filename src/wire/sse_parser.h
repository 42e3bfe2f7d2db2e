#pragma once

#include <orchidlead/result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::wire {

/// One server-sent event.
struct sse_event
{
    std::string type; ///< empty: "message"
    std::string data; ///< lines joined by a line feed
};

enum class sse_error {
    TooLarge, ///< one event passed the bound
};

/// Takes a stream of server-sent events apart, in pieces of any size.
///
/// Only `data` and `event` fields are kept; an event that the stream ends within is never given.
class sse_parser
{
public:
    /// `maxEventBytes` bounds the data of one event and the length of one line.
    explicit sse_parser(std::size_t maxEventBytes)
        : m_maxEventBytes(maxEventBytes)
    { }

    /// Takes the next bytes and returns the events that they complete. After an error the stream
    /// can't be read on.
    [[nodiscard]] result<std::vector<sse_event>, sse_error> feed(std::string_view bytes);

private:
    [[nodiscard]] result<void, sse_error> takeLinePart(std::string_view part);
    void endLine(std::vector<sse_event> &events);
    void takeField(std::string_view name, std::string_view value);

    std::size_t m_maxEventBytes;
    std::string m_line;
    sse_event m_event;
    bool m_hasData = false;
    bool m_skipLineFeed = false; ///< the last byte was a carriage return
};

} // namespace orchidlead::wire
