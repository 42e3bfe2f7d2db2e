#pragma once

#include "http/message_reader.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace orchidlead::gateway {

/// Searches a body that ends with its connection for a second answer: the head of an answer that
/// names its attempt. Nothing else separates the two.
///
/// The bytes of a possible head are held back up to the limit for heads. The time is linear in the
/// length of the body, whatever it contains. `Codec` is a `gateway_codec`.
template <class Codec>
class second_answer_scanner
{
public:
    /// Takes the next bytes of the body and returns those that can be forwarded.
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// Returns the bytes that are still held back when the body has ended.
    [[nodiscard]] std::string finish();
    /// Whether a second answer was found. No further bytes are returned then.
    [[nodiscard]] bool found() const { return m_found; }

private:
    /// Returns whether a text is a status line or, if it isn't `complete`, may become one.
    [[nodiscard]] static bool isStatusLine(std::string_view text, bool complete);
    /// Returns where a status line begins in a line; the size of the line if none does.
    [[nodiscard]] static std::size_t statusLineIn(std::string_view line, bool complete);
    /// Returns whether a line is a header field, and records whether it names an attempt.
    [[nodiscard]] bool readField(std::string_view line);
    void readLine(std::string_view line, std::string &released);
    void releaseUnneeded(std::string &released);

    std::string m_line; ///< the last line, which has not arrived completely
    std::size_t m_searched = 0; ///< bytes of `m_line` in which no line ends
    bool m_inHead = false; ///< the lines read last may be a head
    std::string m_head; ///< those lines, as far as they are held back
    bool m_namesAttempt = false; ///< one of them does
    bool m_found = false;
};

template <class Codec>
bool second_answer_scanner<Codec>::isStatusLine(std::string_view text, bool complete)
{
    constexpr std::string_view Pattern = "HTTP/1.0 000"; // 0: any digit
    for (std::size_t i = 0; i < std::min(text.size(), Pattern.size()); ++i) {
        const bool fits =
            Pattern[i] == '0' ? text[i] >= '0' && text[i] <= '9' : text[i] == Pattern[i];
        if (!fits)
            return false;
    }
    if (text.size() <= Pattern.size())
        return !complete || text.size() == Pattern.size();
    return text[Pattern.size()] == ' ';
}

template <class Codec>
std::size_t second_answer_scanner<Codec>::statusLineIn(std::string_view line, bool complete)
{
    auto at = line.find('H');
    while (at != std::string_view::npos && !isStatusLine(line.substr(at), complete))
        at = line.find('H', at + 1);
    return std::min(at, line.size());
}

template <class Codec>
bool second_answer_scanner<Codec>::readField(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    auto value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    http::response_head head;
    head.fields.push_back({std::string(line.substr(0, colon)), std::string(value)});
    m_namesAttempt = m_namesAttempt || !Codec::readAnswer(head).attempt.empty();
    return true;
}

// A status line within a field of a possible head is not read as the begin of another one: the
// fields behind it are those of both.
template <class Codec>
void second_answer_scanner<Codec>::readLine(std::string_view line, std::string &released)
{
    constexpr std::string_view LineEnd = "\r\n";
    if (m_inHead) {
        m_found = line.empty() && m_namesAttempt;
        if (!line.empty() && readField(line)) {
            m_head.append(line).append(LineEnd);
            return;
        }
        m_inHead = false;
        if (m_found)
            return;
    }
    released.append(std::exchange(m_head, {}));
    const auto begin = statusLineIn(line, true);
    released.append(line.substr(0, begin));
    m_inHead = begin < line.size();
    m_namesAttempt = false;
    (m_inHead ? m_head : released).append(line.substr(begin)).append(LineEnd);
}

template <class Codec>
void second_answer_scanner<Codec>::releaseUnneeded(std::string &released)
{
    if (m_inHead && m_head.size() + m_line.size() > http::MaxResponseHeadBytes)
        released.append(std::exchange(m_head, {}));
    const bool tooLong = m_line.size() > http::MaxResponseHeadBytes;
    m_inHead = m_inHead && !tooLong;
    if (m_inHead)
        return;
    const auto begin = tooLong ? m_line.size() : statusLineIn(m_line, false);
    released.append(m_line, 0, begin);
    m_line.erase(0, begin);
    m_searched = 0;
}

template <class Codec>
std::string second_answer_scanner<Codec>::feed(std::string_view bytes)
{
    std::string released;
    m_line.append(bytes);
    std::size_t lineAt = 0;
    for (auto end = m_line.find("\r\n", m_searched); end != std::string::npos && !m_found;
         end = m_line.find("\r\n", lineAt)) {
        readLine(std::string_view(m_line).substr(lineAt, end - lineAt), released);
        lineAt = end + 2;
    }
    if (m_found) {
        m_line.clear();
        m_head.clear();
        return released;
    }
    m_line.erase(0, lineAt);
    m_searched = m_line.empty() ? 0 : m_line.size() - 1;
    releaseUnneeded(released);
    return released;
}

template <class Codec>
std::string second_answer_scanner<Codec>::finish()
{
    return std::exchange(m_head, {}) + std::exchange(m_line, {});
}

} // namespace orchidlead::gateway
