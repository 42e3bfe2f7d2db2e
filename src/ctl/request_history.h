#pragma once

#include "wire/log_entry.h"

#include <cstddef>
#include <string>
#include <vector>

namespace orchidlead::ctl {

/// A line of the log that tells something about one request.
struct history_line
{
    wire::log_entry entry;
    bool aboutRequest = false; ///< else about something that the request met
    milliseconds at{0}; ///< since the first line about the request
};

/// What the logs tell about one request.
struct request_history
{
    std::string request;
    std::vector<history_line> lines; ///< by time
    std::string outcome; ///< empty: there is no line about its end
    std::string cause; ///< one sentence
};

/// Finds one request in the log lines of any number of nodes.
///
/// Lines are taken one by one and in any order. Of those that aren't about the request only events
/// are kept that may explain it: the state of servers, services, hosts, and of the nodes.
class history_finder
{
public:
    explicit history_finder(std::string request);

    /// Takes a line of text; what can't be read is counted.
    void add(const std::string &text);
    [[nodiscard]] std::size_t unreadable() const { return m_unreadable; }
    /// Puts the history together; without lines where nothing names the request.
    [[nodiscard]] request_history finish();

private:
    std::string m_request;
    std::vector<wire::log_entry> m_own;
    std::vector<wire::log_entry> m_others;
    std::size_t m_unreadable = 0;
};

} // namespace orchidlead::ctl
