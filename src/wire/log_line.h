#pragma once

#include "core/settings/settings.h"

#include <orchidlead/clock.h>

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

namespace orchidlead::wire {

using orchidlead::log_format;
using orchidlead::log_level;

/// One line of the log, built up field by field.
///
/// Whatever a field's value holds, the line stays one line and its fields stay apart: control
/// characters and line separators are escaped, long values are cut.
class log_line
{
public:
    log_line(log_format format, wall_time time, log_level level, std::string_view event);

    log_line &add(std::string_view name, std::string_view value);
    log_line &add(std::string_view name, const char *value)
    {
        return add(name, std::string_view{value});
    }
    template <std::integral Number>
    log_line &add(std::string_view name, Number value)
    {
        return addRaw(name, std::to_string(value));
    }
    log_line &add(std::string_view name, bool value)
    {
        return addRaw(name, value ? "true" : "false");
    }
    /// Adds a list as one field: a JSON array, or values with commas between.
    template <class Range, class Projection>
    log_line &addList(std::string_view name, const Range &values, Projection projection)
    {
        beginList(name);
        for (const auto &value : values)
            addListItem(projection(value));
        endList();
        return *this;
    }

    /// Ends the line and returns it, without a line feed.
    [[nodiscard]] std::string finish();

private:
    log_line &addRaw(std::string_view name, std::string_view text);
    void beginField(std::string_view name);
    void beginList(std::string_view name);
    void addListItem(std::string_view value);
    void endList();

    log_format m_format;
    std::string m_text;
    std::string m_list; ///< of the key-value format, quoted when it is whole
    std::size_t m_listItems = 0;
};

/// Longest value of a field, in bytes before escaping.
inline constexpr std::size_t MaxLogValueBytes = 1024;
/// Most items of a list that are written.
inline constexpr std::size_t MaxLogListItems = 16;

} // namespace orchidlead::wire
