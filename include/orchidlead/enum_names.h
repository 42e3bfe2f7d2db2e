#pragma once

#include <optional>
#include <string_view>

namespace orchidlead {

/// Entry of the table of names of an `enum class`.
template <class Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Table of names of `Enum`, specialised next to each enumeration:
/// `template <> inline constexpr std::array enumNames<my_enum>{enum_name<my_enum>{...}, ...};`
template <class Enum>
inline constexpr int enumNames = 0;

/// Returns the name of a value, or "?" if the table has no entry for it.
template <class Enum>
[[nodiscard]] constexpr std::string_view toName(Enum value)
{
    for (const auto &row : enumNames<Enum>) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

/// Returns the value with the given name, if there is one.
template <class Enum>
[[nodiscard]] constexpr std::optional<Enum> fromName(std::string_view name)
{
    for (const auto &row : enumNames<Enum>) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace orchidlead
