#include "wire/log_line.h"

#include "wire/json_text.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>

namespace orchidlead::wire {

namespace {

bool isPlainByte(char byte)
{
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool digit = byte >= '0' && byte <= '9';
    return letter || digit || std::string_view{"-_.:/"}.find(byte) != std::string_view::npos;
}

bool isPlain(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isPlainByte);
}

/// Tells whether the two or three bytes at the start are a character that ends a line in some
/// viewer, or turns the direction of the text around.
std::size_t unsafeLength(std::string_view text)
{
    const auto byteAt = [&](std::size_t at) { return static_cast<unsigned char>(text[at]); };
    if (text.size() >= 2 && byteAt(0) == 0xc2 && byteAt(1) < 0xa0)
        return 2; // U+0080 to U+009F
    if (text.size() < 3 || byteAt(0) != 0xe2)
        return 0;
    const bool separator = byteAt(1) == 0x80 && byteAt(2) >= 0xa8 && byteAt(2) <= 0xae;
    const bool isolate = byteAt(1) == 0x81 && byteAt(2) >= 0xa6 && byteAt(2) <= 0xa9;
    return separator || isolate ? 3 : 0;
}

void appendCodePoint(std::string &out, std::string_view bytes)
{
    std::uint32_t code = static_cast<unsigned char>(bytes[0]) & (bytes.size() == 2 ? 0x1fU : 0xfU);
    for (const char byte : bytes.substr(1))
        code = (code << 6U) | (static_cast<unsigned char>(byte) & 0x3fU);
    std::array<char, 8> text{};
    std::snprintf(text.data(), text.size(), "\\u%04x", code);
    out += text.data();
}

void appendQuoted(std::string &out, std::string_view value)
{
    std::string quoted;
    appendJsonString(quoted, value.substr(0, MaxLogValueBytes));
    std::string_view rest = quoted;
    while (!rest.empty()) {
        const std::size_t length = unsafeLength(rest);
        if (length > 0)
            appendCodePoint(out, rest.substr(0, length));
        else
            out += rest.front();
        rest.remove_prefix(std::max<std::size_t>(length, 1));
    }
}

void appendKeyValueText(std::string &out, std::string_view value)
{
    if (isPlain(value) && value.size() <= MaxLogValueBytes)
        out += value;
    else
        appendQuoted(out, value);
}

std::string formatTime(wall_time time)
{
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch);
    const std::time_t whole = seconds.count();
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ",
                  static_cast<int>((sinceEpoch - seconds).count()));
    return text.data();
}

} // namespace

log_line::log_line(log_format format, wall_time time, log_level level, std::string_view event)
    : m_format(format)
{
    add("time", formatTime(time));
    add("level", toName(level));
    add("event", event);
}

log_line &log_line::add(std::string_view name, std::string_view value)
{
    beginField(name);
    if (m_format == log_format::Json)
        appendQuoted(m_text, value);
    else
        appendKeyValueText(m_text, value);
    return *this;
}

log_line &log_line::addRaw(std::string_view name, std::string_view text)
{
    beginField(name);
    m_text += text;
    return *this;
}

void log_line::beginField(std::string_view name)
{
    if (m_format == log_format::Json) {
        m_text += m_text.empty() ? "{\"" : ",\"";
        m_text += name;
        m_text += "\":";
    } else {
        if (!m_text.empty())
            m_text += ' ';
        m_text += name;
        m_text += '=';
    }
}

void log_line::beginList(std::string_view name)
{
    beginField(name);
    m_list.clear();
    m_listItems = 0;
    if (m_format == log_format::Json)
        m_text += '[';
}

void log_line::addListItem(std::string_view value)
{
    if (m_listItems == MaxLogListItems)
        return;
    std::string &out = m_format == log_format::Json ? m_text : m_list;
    if (m_listItems++ > 0)
        out += ',';
    if (m_format == log_format::Json)
        appendQuoted(out, value);
    else
        out += value;
}

void log_line::endList()
{
    if (m_format == log_format::Json) {
        m_text += ']';
        return;
    }
    const auto plainOrComma = [](char byte) { return byte == ',' || isPlainByte(byte); };
    if (!m_list.empty() && std::all_of(m_list.begin(), m_list.end(), plainOrComma))
        m_text += m_list.substr(0, MaxLogListItems * MaxLogValueBytes);
    else
        appendQuoted(m_text, m_list);
}

std::string log_line::finish()
{
    if (m_format == log_format::Json)
        m_text += '}';
    return std::move(m_text);
}

} // namespace orchidlead::wire
