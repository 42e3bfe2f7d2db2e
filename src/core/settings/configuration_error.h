#pragma once

#include <string>

namespace orchidlead {

/// Says what is wrong with a YAML document and where.
struct configuration_error
{
    std::string file;
    int line = 0; ///< from 1; 0 where there is none
    int column = 0; ///< from 1
    std::string key; ///< path to the value, such as `services[2].servers[0].address`
    std::string value; ///< the offending text, shortened
    std::string expected; ///< what would have been accepted

    /// One line: `file:line:column: key: "value": expected …`.
    [[nodiscard]] std::string message() const;
};

} // namespace orchidlead
