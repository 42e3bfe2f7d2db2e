#include "ctl/json_table.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace orchidlead::ctl {

namespace {

constexpr std::string_view Absent = "-";
constexpr std::string_view NoFraction = ".0";

const Json::Value *findPath(const Json::Value &object, std::string_view path)
{
    const Json::Value *value = &object;
    while (!path.empty()) {
        const auto dot = path.find('.');
        const std::string_view name = path.substr(0, dot);
        if (!value->isObject())
            return nullptr;
        value = value->find(name.data(), name.data() + name.size());
        if (value == nullptr)
            return nullptr;
        path = dot == std::string_view::npos ? "" : path.substr(dot + 1);
    }
    return value;
}

std::string durationText(double count)
{
    struct unit
    {
        std::string_view name;
        double milliseconds;
    };
    constexpr std::array Units{unit{"d", 86'400'000}, unit{"h", 3'600'000}, unit{"m", 60'000},
                               unit{"s", 1'000}};
    for (const auto &each : Units) {
        if (count < each.milliseconds)
            continue;
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.1f", count / each.milliseconds);
        std::string amount = text.data();
        if (amount.ends_with(NoFraction))
            amount.resize(amount.size() - NoFraction.size());
        return amount + std::string(each.name);
    }
    return std::to_string(static_cast<long long>(count)) + "ms";
}

std::string listText(const Json::Value &list)
{
    std::string text;
    for (const auto &item : list)
        text += (text.empty() ? "" : ",")
            + (item.isConvertibleTo(Json::stringValue) ? item.asString() : "?");
    return text.empty() ? std::string(Absent) : text;
}

bool isShownNumber(const Json::Value &value, cell_format format)
{
    const bool optional =
        format == cell_format::OptionalNumber || format == cell_format::OptionalDuration;
    return value.isNumeric() && (!optional || value.asDouble() > 0);
}

alignment alignmentOf(cell_format format)
{
    const bool text = format == cell_format::Text || format == cell_format::Boolean
        || format == cell_format::List;
    return text ? alignment::Left : alignment::Right;
}

} // namespace

std::string cellText(const Json::Value &object, const column_spec &column)
{
    const Json::Value *value = findPath(object, column.member);
    if (value == nullptr || value->isNull())
        return std::string(Absent);
    switch (column.format) {
    case cell_format::Text:
        if (value->isString() && !value->asString().empty())
            return value->asString();
        break;
    case cell_format::Boolean:
        if (value->isBool())
            return value->asBool() ? "yes" : "no";
        break;
    case cell_format::Duration:
    case cell_format::OptionalDuration:
        if (isShownNumber(*value, column.format))
            return durationText(value->asDouble());
        break;
    case cell_format::List:
        if (value->isArray())
            return listText(*value);
        break;
    case cell_format::Number:
    case cell_format::OptionalNumber:
        if (isShownNumber(*value, column.format))
            return value->asString();
        break;
    }
    return std::string(Absent);
}

void printRows(const Json::Value &rows, std::span<const column_spec> columns, const console &to)
{
    table lines;
    for (const auto &column : columns)
        lines.addColumn(std::string(column.heading), alignmentOf(column.format));
    for (const auto &row : rows) {
        std::vector<std::string> cells;
        for (const auto &column : columns)
            cells.push_back(cellText(row, column));
        lines.addRow(std::move(cells));
    }
    lines.print(to);
}

void printFields(const Json::Value &object, std::span<const column_spec> fields, const console &to)
{
    std::size_t width = 0;
    for (const auto &field : fields)
        width = std::max(width, field.heading.size());
    for (const auto &field : fields) {
        const std::string text = printable(cellText(object, field));
        to.out << field.heading << std::string(width - field.heading.size(), ' ') << "  "
               << to.styled(text, styleOf(text)) << '\n';
    }
}

} // namespace orchidlead::ctl
