#include "core/settings/yaml_reader.h"

#include "core/settings/socket_address_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <tuple>
#include <unordered_set>

namespace orchidlead {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxTextLength = 1024;
constexpr std::size_t MaxDisplayLength = 60;
constexpr std::string_view NameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
constexpr std::size_t FirstPunctuation = 62; // index in NameCharacters
constexpr std::string_view Digits = "0123456789";

struct duration_unit
{
    std::string_view name;
    std::int64_t milliseconds;
};

// "ms" precedes "s": the first unit that matches the end of the text is used.
constexpr std::array DurationUnits{
    duration_unit{"ms", 1},
    duration_unit{"s", 1000},
    duration_unit{"m", std::int64_t{60} * 1000},
    duration_unit{"h", std::int64_t{60} * 60 * 1000},
};

struct byte_unit
{
    std::string_view name;
    std::int64_t bytes;
};

constexpr std::array ByteUnits{
    byte_unit{"KiB", std::int64_t{1} << 10},
    byte_unit{"MiB", std::int64_t{1} << 20},
    byte_unit{"GiB", std::int64_t{1} << 30},
};

std::string truncated(std::string_view text)
{
    if (text.size() <= MaxDisplayLength)
        return std::string(text);
    return std::string(text.substr(0, MaxDisplayLength)) + "…";
}

std::string displayText(const yaml_value &value)
{
    switch (value.kind) {
    case yaml_kind::Null:
        return "null";
    case yaml_kind::Scalar:
        return truncated(value.scalar);
    case yaml_kind::Sequence:
        return "[…]";
    case yaml_kind::Mapping:
        return "{…}";
    }
    return "";
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > MaxNameLength)
        return false;
    if (text.find_first_not_of(NameCharacters) != std::string_view::npos)
        return false;
    return NameCharacters.substr(0, FirstPunctuation).find(text.front()) != std::string_view::npos;
}

bool isDigits(std::string_view text)
{
    return !text.empty() && text.find_first_not_of(Digits) == std::string_view::npos;
}

std::string rangeText(std::int64_t minimum, std::int64_t maximum,
                      std::string (*format)(std::int64_t))
{
    if (maximum == std::numeric_limits<std::int64_t>::max())
        return minimum == std::numeric_limits<std::int64_t>::min()
            ? ""
            : " of at least " + format(minimum);
    if (minimum == std::numeric_limits<std::int64_t>::min())
        return " of at most " + format(maximum);
    return " from " + format(minimum) + " to " + format(maximum);
}

std::string formatInteger(std::int64_t number)
{
    return std::to_string(number);
}

std::string formatBytes(std::int64_t count)
{
    for (auto unit = ByteUnits.rbegin(); unit != ByteUnits.rend(); ++unit) {
        if (count != 0 && count % unit->bytes == 0)
            return std::to_string(count / unit->bytes) + std::string(unit->name);
    }
    return std::to_string(count);
}

std::string formatMilliseconds(std::int64_t count)
{
    return formatDuration(milliseconds(count));
}

// Multiplies `digits`.`fraction` by the unit. Integer arithmetic gives the same result on every
// machine.
std::optional<milliseconds> scaled(std::string_view digits, std::string_view fraction,
                                   std::int64_t unit)
{
    constexpr std::int64_t MaxWhole = 1'000'000'000;
    constexpr std::size_t MaxFractionDigits = 6;
    const auto whole = parseInteger(digits);
    if (!whole || *whole > MaxWhole || fraction.size() > MaxFractionDigits)
        return std::nullopt;
    std::int64_t part = fraction.empty() ? 0 : *parseInteger(fraction);
    std::int64_t divisor = 1;
    for (std::size_t i = 0; i < fraction.size(); ++i)
        divisor *= 10;
    part *= unit;
    if (part % divisor != 0)
        return std::nullopt;
    return milliseconds(*whole * unit + part / divisor);
}

std::optional<milliseconds> parseAmount(std::string_view amount, std::int64_t unit)
{
    const auto point = amount.find('.');
    if (point == std::string_view::npos)
        return isDigits(amount) ? scaled(amount, "", unit) : std::nullopt;
    const std::string_view digits = amount.substr(0, point);
    const std::string_view fraction = amount.substr(point + 1);
    return isDigits(digits) && isDigits(fraction) ? scaled(digits, fraction, unit) : std::nullopt;
}

} // namespace

void error_list::add(const yaml_value &value, std::string key, std::string text,
                     std::string expected)
{
    if (full())
        return;
    m_errors.push_back(configuration_error{m_file, value.line, value.column, std::move(key),
                                           std::move(text), std::move(expected)});
}

std::vector<configuration_error> error_list::takeSorted()
{
    std::stable_sort(m_errors.begin(), m_errors.end(),
                     [](const configuration_error &left, const configuration_error &right) {
                         return std::tie(left.line, left.column)
                             < std::tie(right.line, right.column);
                     });
    return std::move(m_errors);
}

std::optional<milliseconds> parseDuration(std::string_view text)
{
    for (const auto &unit : DurationUnits) {
        if (text.ends_with(unit.name))
            return parseAmount(text.substr(0, text.size() - unit.name.size()), unit.milliseconds);
    }
    return std::nullopt;
}

std::string formatDuration(milliseconds duration)
{
    const duration_unit *best = &DurationUnits.front();
    for (const auto &unit : DurationUnits) {
        if (duration.count() != 0 && duration.count() % unit.milliseconds == 0)
            best = &unit;
    }
    return std::to_string(duration.count() / best->milliseconds) + std::string(best->name);
}

std::optional<std::int64_t> parseBytes(std::string_view text)
{
    constexpr std::int64_t MaxCount = std::int64_t{1} << 32;
    std::int64_t factor = 1;
    for (const auto &unit : ByteUnits) {
        if (!text.ends_with(unit.name))
            continue;
        factor = unit.bytes;
        text.remove_suffix(unit.name.size());
        break;
    }
    const auto count = parseInteger(text);
    if (!count || *count < 0 || *count > MaxCount)
        return std::nullopt;
    return *count * factor;
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string value_reader::path() const
{
    if (m_parent == nullptr)
        return "";
    const std::string parent = m_parent->path();
    if (m_key.empty())
        return parent + '[' + std::to_string(m_index) + ']';
    return parent.empty() ? std::string(m_key) : parent + '.' + std::string(m_key);
}

void value_reader::fail(std::string expected) const
{
    m_errors->add(*m_value, path(), displayText(*m_value), std::move(expected));
}

std::optional<std::string> value_reader::text() const
{
    const bool valid = m_value->kind == yaml_kind::Scalar && !m_value->scalar.empty()
        && m_value->scalar.size() <= MaxTextLength;
    if (valid)
        return m_value->scalar;
    fail("a string of 1 to " + std::to_string(MaxTextLength) + " bytes");
    return std::nullopt;
}

std::optional<std::string> value_reader::name() const
{
    if (m_value->kind == yaml_kind::Scalar && isName(m_value->scalar))
        return m_value->scalar;
    fail("a name of at most " + std::to_string(MaxNameLength)
         + " letters, digits, '.', '_' or '-', starting with a letter or digit");
    return std::nullopt;
}

std::optional<bool> value_reader::boolean() const
{
    if (m_value->kind == yaml_kind::Scalar && !m_value->quoted) {
        if (m_value->scalar == "true")
            return true;
        if (m_value->scalar == "false")
            return false;
    }
    fail("true or false");
    return std::nullopt;
}

std::optional<std::int64_t> value_reader::integer(integer_range range) const
{
    if (m_value->kind == yaml_kind::Scalar && !m_value->quoted) {
        const auto number = parseInteger(m_value->scalar);
        if (number && *number >= range.minimum && *number <= range.maximum)
            return number;
    }
    fail("a whole number" + rangeText(range.minimum, range.maximum, formatInteger));
    return std::nullopt;
}

std::optional<std::int64_t> value_reader::bytes(integer_range range) const
{
    if (m_value->kind == yaml_kind::Scalar) {
        const auto read = parseBytes(m_value->scalar);
        if (read && *read >= range.minimum && *read <= range.maximum)
            return read;
    }
    fail("a number of bytes such as 65536, 64KiB or 16MiB"
         + rangeText(range.minimum, range.maximum, formatBytes));
    return std::nullopt;
}

std::optional<milliseconds> value_reader::duration(duration_range range) const
{
    if (m_value->kind == yaml_kind::Scalar) {
        const auto read = parseDuration(m_value->scalar);
        if (read && *read >= range.minimum && *read <= range.maximum)
            return read;
    }
    fail("a duration such as 200ms, 1.5s or 2m"
         + rangeText(range.minimum.count(), range.maximum.count(), formatMilliseconds));
    return std::nullopt;
}

std::optional<socket_address> value_reader::address() const
{
    if (m_value->kind == yaml_kind::Scalar) {
        if (auto read = parseSocketAddress(m_value->scalar))
            return read;
    }
    fail("an IP address with a port, such as 127.0.0.1:8080 or [::1]:8080");
    return std::nullopt;
}

bool value_reader::isList(std::size_t minimum, std::size_t maximum) const
{
    const bool valid = m_value->kind == yaml_kind::Sequence && m_value->items.size() >= minimum
        && m_value->items.size() <= maximum;
    if (!valid)
        fail("a list of " + std::to_string(minimum) + " to " + std::to_string(maximum) + " items");
    return valid;
}

mapping_reader::mapping_reader(const value_reader &reader)
    : m_reader(reader)
{
    if (reader.value().kind == yaml_kind::Mapping)
        checkKeys();
    else
        reader.fail("a mapping (`key: value`)");
}

mapping_reader::~mapping_reader()
{
    const yaml_value &value = m_reader.value();
    if (value.kind != yaml_kind::Mapping)
        return;
    for (std::size_t i = 0; i < value.items.size(); i += 2) {
        const yaml_value &key = value.items[i];
        if (std::find(m_requestedKeys.begin(), m_requestedKeys.end(), key.scalar)
            != m_requestedKeys.end())
            continue;
        std::string requestedKeys;
        for (const std::string_view each : m_requestedKeys)
            requestedKeys += (requestedKeys.empty() ? "" : ", ") + std::string(each);
        value_reader(key, m_reader, key.scalar).fail("a known key: " + requestedKeys);
    }
}

std::optional<value_reader> mapping_reader::find(std::string_view key, presence requirement)
{
    m_requestedKeys.push_back(key);
    const yaml_value &value = m_reader.value();
    if (value.kind != yaml_kind::Mapping)
        return std::nullopt;
    for (std::size_t i = 0; i + 1 < value.items.size(); i += 2) {
        if (value.items[i].scalar == key)
            return value_reader(value.items[i + 1], m_reader, key);
    }
    if (requirement == presence::Required) {
        const value_reader missing(value, m_reader, key);
        m_reader.errors().add(value, missing.path(), "", "this key");
    }
    return std::nullopt;
}

void mapping_reader::checkKeys()
{
    const auto &items = m_reader.value().items;
    std::unordered_set<std::string_view> seen;
    for (std::size_t i = 0; i < items.size(); i += 2) {
        const yaml_value &key = items[i];
        if (key.kind != yaml_kind::Scalar || key.scalar.empty())
            value_reader(key, m_reader, "?").fail("a string as the key");
        else if (!seen.insert(key.scalar).second)
            value_reader(key, m_reader, key.scalar).fail("each key once");
    }
}

} // namespace orchidlead
