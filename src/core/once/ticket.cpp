#include <orchidlead/ticket.h>

#include <charconv>

namespace orchidlead {

namespace {

constexpr std::string_view Prefix = "t.";
constexpr int Hexadecimal = 16;
constexpr int Decimal = 10;

bool isNameCharacter(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == ':' || c == '.';
}

bool isVmName(std::string_view text)
{
    for (const char c : text) {
        if (!isNameCharacter(c))
            return false;
    }
    return !text.empty();
}

// Rejects texts that std::from_chars accepts but toText() does not write, so that each value has
// only one text.
bool parseNumber(std::string_view text, int base, std::uint64_t &out)
{
    if (text.empty() || (text.size() > 1 && text.front() == '0'))
        return false;
    for (const char c : text) {
        if (c >= 'A' && c <= 'F')
            return false;
    }
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
    return error == std::errc{} && end == text.data() + text.size();
}

// Removes the part after the last dot from `text` and returns it.
std::string_view takeLastPart(std::string_view &text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return {};
    const auto part = text.substr(dot + 1);
    text = text.substr(0, dot);
    return part;
}

} // namespace

std::string toText(const ticket &value)
{
    std::array<char, Hexadecimal> hex{};
    const auto end =
        std::to_chars(hex.data(), hex.data() + hex.size(), value.incarnation, Hexadecimal).ptr;
    std::string text{Prefix};
    text += value.vm.value;
    text += '.';
    text.append(hex.data(), end);
    text += '.';
    text += std::to_string(value.sequence);
    return text;
}

// Parses from the right, since the name of a VM may contain dots.
result<ticket, ticket_error> parseTicket(std::string_view text)
{
    if (text.size() > MaxTicketLength)
        return ticket_error::TooLong;
    if (!text.starts_with(Prefix))
        return ticket_error::BadPrefix;
    text.remove_prefix(Prefix.size());
    ticket parsed;
    if (!parseNumber(takeLastPart(text), Decimal, parsed.sequence))
        return ticket_error::BadSequence;
    if (!parseNumber(takeLastPart(text), Hexadecimal, parsed.incarnation))
        return ticket_error::BadIncarnation;
    if (!isVmName(text))
        return ticket_error::BadVm;
    parsed.vm = vm_id{std::string{text}};
    return parsed;
}

} // namespace orchidlead
