#pragma once

#include <orchidlead/clock.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orchidlead::wire {

/// A line of the log, read back; either format of `log_line`.
struct log_entry
{
    wall_time time{};
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< in their order, without the time

    /// The value of a field; empty where there is none.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// Reads a line. What stands before the line's own begin, as a collector of logs may put there, is
/// passed over. Nothing where the rest isn't a whole line of the log.
[[nodiscard]] std::optional<log_entry> parseLogLine(std::string_view text);

} // namespace orchidlead::wire
