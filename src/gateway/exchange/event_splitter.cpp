#include "gateway/exchange/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace orchidlead::gateway {

namespace {

constexpr std::string_view EventDelimiter = "\n\n";

/// Calls `visit` with each line of an event, without its end.
template <class Visitor>
void forEachLine(std::string_view event, Visitor visit)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        visit(event.substr(0, end));
        event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
    }
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' ') || text.ends_with('\r'))
        text.remove_suffix(1);
    std::uint64_t number = 0;
    const auto end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return number;
}

/// Returns the number in the `id` line of an event. As in the standard on server-sent events, the
/// last one counts.
std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    constexpr std::string_view Key = "id:";
    std::optional<std::uint64_t> eventId;
    forEachLine(event, [&](std::string_view line) {
        if (line.starts_with(Key))
            eventId = parseNumber(line.substr(Key.size()));
    });
    return eventId;
}

/// Returns whether an event has other lines than comments.
bool hasContent(std::string_view event)
{
    bool found = false;
    forEachLine(event, [&](std::string_view line) {
        found = found || (!line.empty() && !line.starts_with(':'));
    });
    return found;
}

// A server may send another answer behind a stream that ends with its connection. Its head would
// become the beginning of an event.
bool beginsWithAnswer(std::string_view event)
{
    constexpr std::string_view Protocol = "HTTP/";
    return event.starts_with(Protocol);
}

} // namespace

std::string_view event_splitter::feed(std::string_view bytes)
{
    m_completed.clear();
    m_partial.append(bytes);
    std::size_t begin = 0;
    for (;;) {
        const auto end = m_partial.find(EventDelimiter, begin);
        if (end == std::string::npos)
            break;
        processEvent(
            std::string_view(m_partial).substr(begin, end + EventDelimiter.size() - begin));
        begin = end + EventDelimiter.size();
    }
    m_partial.erase(0, begin);
    if (m_partial.size() > m_maxEventBytes)
        setDefect(stream_defect::EventTooLarge);
    return m_completed;
}

void event_splitter::setDefect(stream_defect found)
{
    if (!m_defect)
        m_defect = found;
}

// A stream that continues on another server may repeat events that were already returned.
void event_splitter::processEvent(std::string_view event)
{
    if (beginsWithAnswer(event))
        setDefect(stream_defect::OtherAnswer);
    const auto eventId = parseEventId(event);
    const bool repeated = eventId && m_lastOfStream && *eventId <= *m_lastOfStream;
    m_repeatedEvents += repeated ? 1 : 0;
    m_eventsInOrder += repeated ? 0 : 1;
    if (m_repeatedEvents > MaxRepeatedEvents)
        setDefect(stream_defect::RepeatedEvents);
    if (eventId && !m_firstOfStream)
        m_firstOfStream = eventId;
    if (eventId)
        m_lastOfStream = std::max(m_lastOfStream.value_or(0), *eventId);
    // Events without a number belong to the one before them.
    const bool known = eventId ? m_lastEvent && *eventId <= *m_lastEvent
                               : m_lastOfStream && m_lastEvent && *m_lastOfStream < *m_lastEvent;
    if (known) {
        ++m_leftOut;
        return;
    }
    if (eventId && m_lastEvent && *eventId != *m_lastEvent + 1)
        setDefect(stream_defect::MissingEvents);
    if (m_defect)
        return;
    if (eventId)
        m_lastEvent = eventId;
    m_continuable = eventId || (m_continuable && !hasContent(event));
    ++m_eventCount;
    m_completed.append(event);
}

void event_splitter::restart()
{
    m_partial.clear();
    m_firstOfStream.reset();
    m_lastOfStream.reset();
    m_repeatedEvents = 0;
    m_leftOut = 0;
    m_defect.reset();
}

} // namespace orchidlead::gateway
