#pragma once

#include "bench/linear_fit.h"

#include <optional>
#include <string>
#include <vector>

namespace orchidlead::bench {

/// One line of the capacity table.
struct capacity_row
{
    std::string role;
    std::string quantity; ///< with its unit
    std::string per; ///< what the slope counts
    linear_fit fit;
    double today = 0;
    double future = 0;
    std::optional<double> budget; ///< absent: counted in a total below
    std::string source; ///< measured, fitted or worked out
    std::string answer; ///< of a row that doesn't fit: which paragraph of the page answers it

    [[nodiscard]] bool fits() const { return !budget || future <= *budget; }
};

/// Prints the rows as aligned text.
void printTable(const std::vector<capacity_row> &rows);

/// Formats a number with few significant digits.
[[nodiscard]] std::string shortNumber(double value);

} // namespace orchidlead::bench
