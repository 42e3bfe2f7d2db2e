#pragma once

#include <string>

namespace orchidlead {

/// An error in a YAML document and its position.
struct configuration_error
{
    std::string file;
    int line = 0; ///< from 1; 0: unknown
    int column = 0; ///< from 1
    std::string key; ///< path to the value, such as `services[2].servers[0].address`
    std::string value; ///< the invalid value, truncated
    std::string expected; ///< description of valid values

    /// One line: `file:line:column: key: "value": expected …`.
    [[nodiscard]] std::string message() const;
};

} // namespace orchidlead
