#include "bench/capacity_table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace orchidlead::bench {

namespace {

constexpr std::size_t Columns = 11;
using line = std::array<std::string, Columns>;

line toLine(const capacity_row &row)
{
    const std::string fits = !row.budget ? "-" : row.fits() ? "yes" : "NO: " + row.answer;
    return {row.role,
            row.quantity,
            row.per,
            shortNumber(row.fit.slope),
            shortNumber(row.fit.intercept),
            shortNumber(100 * row.fit.residual) + " %",
            shortNumber(row.today),
            shortNumber(row.future),
            row.budget ? shortNumber(*row.budget) : "-",
            fits,
            row.source};
}

} // namespace

std::string shortNumber(double value)
{
    std::array<char, 32> text{};
    const double size = std::abs(value);
    const char *format = "%.3g";
    if (size >= 1000)
        format = "%.0f";
    else if (size > 0 && size < 1e-12)
        return "0";
    std::snprintf(text.data(), text.size(), format, value);
    return text.data();
}

void printTable(const std::vector<capacity_row> &rows)
{
    std::vector<line> lines{{"role", "quantity", "per", "slope", "intercept", "residual", "at 8",
                             "at 350", "budget", "fits", "source"}};
    for (const auto &row : rows)
        lines.push_back(toLine(row));
    std::array<std::size_t, Columns> widths{};
    for (const auto &one : lines) {
        for (std::size_t i = 0; i < Columns; ++i)
            widths[i] = std::max(widths[i], one[i].size());
    }
    for (const auto &one : lines) {
        std::string text;
        for (std::size_t i = 0; i < Columns; ++i)
            text += one[i] + std::string(widths[i] - one[i].size() + 2, ' ');
        text.erase(text.find_last_not_of(' ') + 1);
        std::printf("%s\n", text.c_str());
    }
}

} // namespace orchidlead::bench
