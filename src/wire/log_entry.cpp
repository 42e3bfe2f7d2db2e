#include "wire/log_entry.h"

#include "wire/json_text.h"

#include <json/value.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <ctime>

namespace orchidlead::wire {

namespace {

constexpr std::string_view KeyValueBegin = "time=";
constexpr std::string_view JsonBegin = "{\"time\":";

std::optional<int> number(std::string_view text, std::size_t begin, std::size_t length)
{
    int value = 0;
    const char *first = text.data() + begin;
    const auto [stop, error] = std::from_chars(first, first + length, value);
    if (error != std::errc{} || stop != first + length)
        return std::nullopt;
    return value;
}

/// Reads the fixed form that `log_line` writes: 2026-12-02T18:13:52.123Z.
std::optional<wall_time> parseTime(std::string_view text)
{
    struct part
    {
        std::size_t begin;
        std::size_t length;
    };
    constexpr std::array Parts{part{0, 4},  part{5, 2},  part{8, 2}, part{11, 2},
                               part{14, 2}, part{17, 2}, part{20, 3}};
    constexpr std::size_t Length = 24;
    constexpr int FirstYear = 1900;
    if (text.size() != Length)
        return std::nullopt;
    std::array<int, Parts.size()> values{};
    for (std::size_t i = 0; i < Parts.size(); ++i) {
        const auto read = number(text, Parts[i].begin, Parts[i].length);
        if (!read)
            return std::nullopt;
        values[i] = *read;
    }
    std::tm whole{};
    whole.tm_year = values[0] - FirstYear;
    whole.tm_mon = values[1] - 1;
    whole.tm_mday = values[2];
    whole.tm_hour = values[3];
    whole.tm_min = values[4];
    whole.tm_sec = values[5];
    return std::chrono::system_clock::from_time_t(timegm(&whole)) + milliseconds{values[6]};
}

/// Takes a quoted value off the front of `rest`.
std::optional<std::string> takeQuoted(std::string_view &rest)
{
    std::size_t end = 1;
    while (end < rest.size() && rest[end] != '"')
        end += rest[end] == '\\' ? 2 : 1;
    if (end >= rest.size())
        return std::nullopt;
    std::string list{'['};
    list.append(rest.substr(0, end + 1)).push_back(']');
    const auto parsed = parseJson(list);
    if (!parsed)
        return std::nullopt;
    rest.remove_prefix(end + 1);
    return parsed.value()[0].asString();
}

std::optional<std::string> takeValue(std::string_view &rest)
{
    if (rest.starts_with('"'))
        return takeQuoted(rest);
    const auto end = std::min(rest.find(' '), rest.size());
    std::string value(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
}

std::optional<log_entry> fromFields(std::vector<std::pair<std::string, std::string>> fields)
{
    log_entry entry;
    if (fields.empty() || fields.front().first != "time")
        return std::nullopt;
    const auto time = parseTime(fields.front().second);
    if (!time)
        return std::nullopt;
    entry.time = *time;
    fields.erase(fields.begin());
    entry.fields = std::move(fields);
    entry.event = entry.field("event");
    if (entry.event.empty())
        return std::nullopt;
    return entry;
}

std::optional<log_entry> parseKeyValue(std::string_view rest)
{
    std::vector<std::pair<std::string, std::string>> fields;
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return std::nullopt;
        std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        auto value = takeValue(rest);
        if (!value || (!rest.empty() && !rest.starts_with(' ')))
            return std::nullopt;
        fields.emplace_back(std::move(name), std::move(*value));
        rest.remove_prefix(std::min<std::size_t>(rest.size(), 1));
    }
    return fromFields(std::move(fields));
}

std::optional<log_entry> parseJsonLine(std::string_view text)
{
    const auto parsed = parseJson(std::string(text));
    if (!parsed || !parsed.value().isObject())
        return std::nullopt;
    std::vector<std::pair<std::string, std::string>> fields;
    for (const auto &name : parsed.value().getMemberNames()) {
        const auto &value = parsed.value()[name];
        const bool plain = !value.isArray() && !value.isObject();
        std::string shown = plain ? value.asString() : writeJson(value);
        const auto place = name == "time" ? fields.begin() : fields.end();
        fields.emplace(place, name, std::move(shown));
    }
    return fromFields(std::move(fields));
}

} // namespace

std::string_view log_entry::field(std::string_view name) const
{
    const auto found = std::ranges::find(fields, name, [](const auto &each) { return each.first; });
    return found == fields.end() ? std::string_view{} : std::string_view{found->second};
}

std::optional<log_entry> parseLogLine(std::string_view text)
{
    while (text.ends_with('\n') || text.ends_with('\r'))
        text.remove_suffix(1);
    if (const auto begin = text.find(JsonBegin); begin != std::string_view::npos)
        return parseJsonLine(text.substr(begin));
    if (const auto begin = text.find(KeyValueBegin); begin != std::string_view::npos)
        return parseKeyValue(text.substr(begin));
    return std::nullopt;
}

} // namespace orchidlead::wire
