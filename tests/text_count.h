#pragma once

#include <cstddef>
#include <string>

namespace orchidlead {

/// Counts how often a part stands in a text.
inline std::size_t countIn(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace orchidlead
