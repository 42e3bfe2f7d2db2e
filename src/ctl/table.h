#pragma once

#include "ctl/console.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::ctl {

enum class alignment { Left, Right };

/// Lines up rows of text under headings.
class table
{
public:
    void addColumn(std::string heading, alignment align = alignment::Left);
    /// Adds a row; has to have as many cells as there are columns.
    void addRow(std::vector<std::string> cells);
    [[nodiscard]] std::size_t rows() const { return m_rows.size(); }

    void print(const console &to) const;

private:
    struct column
    {
        std::string heading;
        alignment align = alignment::Left;
        std::size_t width = 0; ///< characters
    };

    [[nodiscard]] std::string padded(std::size_t index, std::string_view text,
                                     std::string_view shown) const;

    std::vector<column> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

/// Replaces what a terminal would act on, so that a name from outside can't steer it.
[[nodiscard]] std::string printable(std::string_view text);

} // namespace orchidlead::ctl
