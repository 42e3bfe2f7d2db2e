#pragma once

#include "ctl/console.h"
#include "ctl/table.h"

#include <json/value.h>

#include <span>
#include <string>
#include <string_view>

namespace orchidlead::ctl {

/// How a member of a JSON object is written in a cell.
enum class cell_format {
    Text,
    Number,
    OptionalNumber, ///< 0: none
    Duration, ///< milliseconds
    OptionalDuration, ///< 0: none
    Boolean,
    List, ///< of texts or numbers
};

/// One column or line: a heading, and where its value stands (`requests.answered`).
struct column_spec
{
    std::string_view heading;
    std::string_view member;
    cell_format format = cell_format::Text;
};

/// Writes one member; `-` where it is absent, null or of another type.
[[nodiscard]] std::string cellText(const Json::Value &object, const column_spec &column);

/// Writes a list of objects as a table.
void printRows(const Json::Value &rows, std::span<const column_spec> columns, const console &to);

/// Writes one object with a line for each member.
void printFields(const Json::Value &object, std::span<const column_spec> fields, const console &to);

} // namespace orchidlead::ctl
