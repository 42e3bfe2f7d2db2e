#include "wire/sse_parser.h"

#include <utility>

namespace orchidlead::wire {

result<std::vector<sse_event>, sse_error> sse_parser::feed(std::string_view bytes)
{
    std::vector<sse_event> events;
    while (!bytes.empty()) {
        if (std::exchange(m_skipLineFeed, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = bytes.find_first_of("\r\n");
        BOOST_OUTCOME_TRYV(takeLinePart(bytes.substr(0, end)));
        if (end == std::string_view::npos)
            break;
        m_skipLineFeed = bytes[end] == '\r';
        endLine(events);
        bytes.remove_prefix(end + 1);
    }
    return events;
}

result<void, sse_error> sse_parser::takeLinePart(std::string_view part)
{
    if (m_line.size() + m_event.data.size() + part.size() > m_maxEventBytes)
        return failure(sse_error::TooLarge);
    m_line += part;
    return success();
}

void sse_parser::endLine(std::vector<sse_event> &events)
{
    if (m_line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = {};
        m_hasData = false;
        return;
    }
    const std::string_view line = m_line;
    const auto colon = line.find(':');
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    takeField(line.substr(0, colon), value);
    m_line.clear();
}

void sse_parser::takeField(std::string_view name, std::string_view value)
{
    if (name == "event") {
        m_event.type = value;
    } else if (name == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
    }
}

} // namespace orchidlead::wire
