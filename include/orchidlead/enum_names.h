#pragma once

#include <optional>
#include <string_view>

namespace orchidlead {

/// One row of the table that names the values of an `enum class`.
template <class Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Gives the table of names of `Enum`; specialised beside each enumeration as
/// `template <> inline constexpr std::array enumNames<my_enum>{enum_name<my_enum>{...}, ...};`
template <class Enum>
inline constexpr int enumNames = 0;

/// Gives the name of a value, or "?" where the table has no such row.
template <class Enum>
[[nodiscard]] constexpr std::string_view toName(Enum value)
{
    for (const auto &row : enumNames<Enum>) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

/// Finds the value with that name.
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
