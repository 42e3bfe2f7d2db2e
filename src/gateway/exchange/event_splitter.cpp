#include "gateway/exchange/event_splitter.h"

#include <charconv>

namespace orchidlead::gateway {

namespace {

constexpr std::string_view EventEnd = "\n\n";

/// Reads the number in an event's `id` line.
std::optional<std::uint64_t> readNumber(std::string_view event)
{
    constexpr std::string_view Key = "id:";
    std::size_t line = 0;
    while (line < event.size()) {
        const auto end = event.find('\n', line);
        auto text = event.substr(line, end - line);
        if (text.starts_with(Key)) {
            text.remove_prefix(Key.size());
            while (text.starts_with(' '))
                text.remove_prefix(1);
            std::uint64_t number = 0;
            const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
            if (parsed.ec == std::errc{})
                return number;
            return std::nullopt;
        }
        if (end == std::string_view::npos)
            break;
        line = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::string_view event_splitter::feed(std::string_view bytes)
{
    m_out.clear();
    m_rest.append(bytes);
    std::size_t begin = 0;
    for (;;) {
        const auto end = m_rest.find(EventEnd, begin);
        if (end == std::string::npos)
            break;
        take(std::string_view(m_rest).substr(begin, end + EventEnd.size() - begin));
        begin = end + EventEnd.size();
    }
    m_rest.erase(0, begin);
    m_broken = m_broken || m_rest.size() > m_maxEventBytes;
    return m_out;
}

// A run that goes on somewhere else may begin with events that were given already.
void event_splitter::take(std::string_view event)
{
    const auto number = readNumber(event);
    if (number && m_last && *number <= *m_last)
        return;
    if (number && m_last && *number != *m_last + 1)
        m_broken = true;
    if (m_broken)
        return;
    if (number)
        m_last = number;
    ++m_events;
    m_out.append(event);
}

void event_splitter::restart()
{
    m_rest.clear();
    m_broken = false;
}

} // namespace orchidlead::gateway
