#pragma once

#include "core/settings/configuration_error.h"
#include "core/settings/yaml_document.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orchidlead {

/// Collects the errors in a document, up to a limit.
class error_list
{
public:
    explicit error_list(std::string file)
        : m_file(std::move(file))
    { }

    /// Adds an error at the position of `value`; dropped if there are already `MaxErrors`.
    void add(const yaml_value &value, std::string key, std::string text, std::string expected);

    [[nodiscard]] bool empty() const { return m_errors.empty(); }
    [[nodiscard]] std::size_t size() const { return m_errors.size(); }
    [[nodiscard]] bool full() const { return m_errors.size() >= MaxErrors; }
    /// Returns the errors in document order.
    [[nodiscard]] std::vector<configuration_error> takeSorted();

    static constexpr std::size_t MaxErrors = 50;

private:
    std::string m_file;
    std::vector<configuration_error> m_errors;
};

/// Inclusive bounds of an integer.
struct integer_range
{
    std::int64_t minimum = std::numeric_limits<std::int64_t>::min();
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

/// Inclusive bounds of a duration.
struct duration_range
{
    milliseconds minimum{0};
    milliseconds maximum{std::chrono::hours{24}};
};

/// Parses a duration such as `200ms`, `1.5s`, `2m` or `1h`. Returns nullopt if the text is not a
/// duration or not a whole number of milliseconds.
[[nodiscard]] std::optional<milliseconds> parseDuration(std::string_view text);

/// Formats a duration as a whole number of the largest possible unit.
[[nodiscard]] std::string formatDuration(milliseconds duration);

/// Parses a number of bytes: `65536`, `64KiB`, `16MiB` or `1GiB`.
[[nodiscard]] std::optional<std::int64_t> parseBytes(std::string_view text);

/// Parses a decimal integer.
[[nodiscard]] std::optional<std::int64_t> parseInteger(std::string_view text);

/// Reads one value of a document as a given type.
///
/// A read of an invalid value adds an error and returns nullopt. A reader refers to its parent,
/// which must outlive it; the path is built only when an error is reported.
class value_reader
{
public:
    value_reader(const yaml_value &value, error_list &errors)
        : m_value(&value)
        , m_errors(&errors)
    { }

    value_reader(const yaml_value &value, const value_reader &parent, std::string_view key)
        : m_value(&value)
        , m_errors(parent.m_errors)
        , m_parent(&parent)
        , m_key(key)
    { }

    value_reader(const yaml_value &value, const value_reader &parent, std::size_t index)
        : m_value(&value)
        , m_errors(parent.m_errors)
        , m_parent(&parent)
        , m_index(index)
    { }

    [[nodiscard]] const yaml_value &value() const { return *m_value; }
    [[nodiscard]] error_list &errors() const { return *m_errors; }
    [[nodiscard]] std::string path() const;

    /// Adds an error at this value.
    void fail(std::string expected) const;

    /// A non-empty string.
    [[nodiscard]] std::optional<std::string> text() const;
    /// A name of at most 64 letters, digits, `.`, `_` and `-`, starting with a letter or digit.
    [[nodiscard]] std::optional<std::string> name() const;
    [[nodiscard]] std::optional<bool> boolean() const;
    [[nodiscard]] std::optional<std::int64_t> integer(integer_range range = {}) const;
    [[nodiscard]] std::optional<std::int64_t> bytes(integer_range range) const;
    [[nodiscard]] std::optional<milliseconds> duration(duration_range range = {}) const;
    [[nodiscard]] std::optional<socket_address> address() const;

    template <class Enum>
    [[nodiscard]] std::optional<Enum> enumerator() const
    {
        if (m_value->kind == yaml_kind::Scalar) {
            if (const auto found = fromName<Enum>(m_value->scalar))
                return found;
        }
        std::string names;
        for (const auto &row : enumNames<Enum>)
            names += (names.empty() ? "" : ", ") + std::string(row.name);
        fail("one of " + names);
        return std::nullopt;
    }

    /// Calls `each` with a reader for every item of a list of `minimum` to `maximum` items; stops
    /// when the error list is full.
    template <class Each>
    void forEach(std::size_t minimum, std::size_t maximum, Each each) const
    {
        if (!isList(minimum, maximum))
            return;
        for (std::size_t i = 0; i < m_value->items.size() && !m_errors->full(); ++i)
            each(value_reader(m_value->items[i], *this, i));
    }

private:
    [[nodiscard]] bool isList(std::size_t minimum, std::size_t maximum) const;

    const yaml_value *m_value;
    error_list *m_errors;
    const value_reader *m_parent = nullptr;
    std::string_view m_key;
    std::size_t m_index = 0;
};

enum class presence { Optional, Required };

/// Reads a mapping key by key and detects keys that were not requested.
class mapping_reader
{
public:
    /// Adds errors if the value is not a mapping or has duplicate keys.
    explicit mapping_reader(const value_reader &reader);
    mapping_reader(const mapping_reader &) = delete;
    mapping_reader &operator=(const mapping_reader &) = delete;

    /// Adds an error for each key that was not requested.
    ~mapping_reader();

    [[nodiscard]] const value_reader &reader() const { return m_reader; }

    /// Returns a reader for the value of `key`; adds an error if a required key is missing.
    [[nodiscard]] std::optional<value_reader> find(std::string_view key,
                                                   presence requirement = presence::Optional);

    /// Sets `target` to the value that `parse` reads; `target` stays unchanged if the key is absent
    /// or its value invalid.
    template <class Target, class Parse>
    void read(std::string_view key, presence requirement, Target &target, Parse parse)
    {
        const auto found = find(key, requirement);
        if (!found)
            return;
        if (auto value = std::invoke(parse, *found))
            target = Target(std::move(*value));
    }

    template <class Integer>
    void readInteger(std::string_view key, Integer &target, integer_range range)
    {
        read(key, presence::Optional, target, [&](const value_reader &each) {
            const auto number = each.integer(range);
            return number ? std::optional(static_cast<Integer>(*number)) : std::nullopt;
        });
    }

    void readBytes(std::string_view key, std::size_t &target, integer_range range)
    {
        read(key, presence::Optional, target,
             [&](const value_reader &each) { return each.bytes(range); });
    }

    void readDuration(std::string_view key, milliseconds &target, duration_range range)
    {
        read(key, presence::Optional, target,
             [&](const value_reader &each) { return each.duration(range); });
    }

private:
    void checkKeys();

    value_reader m_reader;
    std::vector<std::string_view> m_requestedKeys;
};

} // namespace orchidlead
