#include "ctl/table.h"

#include <algorithm>
#include <utility>

namespace orchidlead::ctl {

namespace {

constexpr std::string_view Gap = "  ";

bool isContinuation(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U;
}

/// Counts the characters of a UTF-8 text.
std::size_t characterCount(std::string_view text)
{
    return static_cast<std::size_t>(
        std::count_if(text.begin(), text.end(), [](char byte) { return !isContinuation(byte); }));
}

} // namespace

std::string printable(std::string_view text)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    std::string result;
    for (const char each : text) {
        const auto byte = static_cast<unsigned char>(each);
        result += byte < FirstPrintable || byte == Delete ? '?' : each;
    }
    return result;
}

void table::addColumn(std::string heading, alignment align)
{
    const std::size_t width = characterCount(heading);
    m_columns.push_back(column{std::move(heading), align, width});
}

void table::addRow(std::vector<std::string> cells)
{
    cells.resize(m_columns.size());
    for (std::size_t i = 0; i < cells.size(); ++i) {
        cells[i] = printable(cells[i]);
        m_columns[i].width = std::max(m_columns[i].width, characterCount(cells[i]));
    }
    m_rows.push_back(std::move(cells));
}

// `shown` is `text` with colours, which take no room.
std::string table::padded(std::size_t index, std::string_view text, std::string_view shown) const
{
    const column &placed = m_columns[index];
    const std::string fill(placed.width - characterCount(text), ' ');
    if (placed.align == alignment::Right)
        return fill + std::string(shown);
    const bool last = index + 1 == m_columns.size();
    return std::string(shown) + (last ? "" : fill);
}

void table::print(const console &to) const
{
    for (std::size_t i = 0; i < m_columns.size(); ++i) {
        const std::string &heading = m_columns[i].heading;
        to.out << (i == 0 ? "" : Gap)
               << padded(i, heading, to.styled(heading, text_style::Heading));
    }
    to.out << '\n';
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const std::string shown = to.styled(row[i], styleOf(row[i]));
            to.out << (i == 0 ? "" : Gap) << padded(i, row[i], shown);
        }
        to.out << '\n';
    }
}

} // namespace orchidlead::ctl
