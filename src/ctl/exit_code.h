#pragma once

namespace orchidlead::ctl {

/// Exit status of orchidctl; docs/ORCHIDCTL.md has the table.
enum class exit_code {
    Success = 0,
    Invalid = 1, ///< a file was checked and is wrong, or can't be read
    Usage = 2, ///< unknown command or flag, or a wrong value
    Unreachable = 3, ///< no whole answer from the node
    Refused = 4, ///< the node answered that it can't
    NotRun = 10, ///< `send`: the outcome
    Failed = 11,
    Unknown = 12,
    Expired = 13,
};

} // namespace orchidlead::ctl
