#pragma once

#include <orchidlead/result.h>

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace orchidlead::standins {

/// Says why a process couldn't be started.
struct process_error
{
    std::string what;
};

/// Starts processes, and ends those that it started and no others.
///
/// Each process writes to a log file of its own and is killed by the system when the starter dies.
class process_group
{
public:
    /// Log files are written to `directory`.
    explicit process_group(std::string directory)
        : m_directory(std::move(directory))
    { }
    /// Kills whatever still runs.
    ~process_group();
    process_group(const process_group &) = delete;
    process_group &operator=(const process_group &) = delete;

    /// Starts `command[0]`; the name must not be that of a running process.
    result<pid_t, process_error> start(const std::string &name,
                                       const std::vector<std::string> &command);
    /// Sends a signal; false where no such process runs.
    bool signal(const std::string &name, int number);
    [[nodiscard]] bool running(const std::string &name);
    /// Asks all to stop, and kills those that have not ended by then.
    void stopAll(std::chrono::milliseconds patience);

    [[nodiscard]] std::string logFile(const std::string &name) const;
    [[nodiscard]] const std::string &directory() const { return m_directory; }

private:
    struct child
    {
        std::string name;
        pid_t pid = 0;
        bool ended = false;
    };

    [[nodiscard]] child *find(const std::string &name);
    static void reap(child &one);
    [[nodiscard]] bool anyRunning();

    std::string m_directory;
    std::vector<child> m_children;
};

/// Finds TCP ports on which nothing listens, free for UDP too, all different. They lie below those
/// that the system gives to outgoing connections, so that none is taken before it is used.
[[nodiscard]] std::vector<std::uint16_t> findFreePorts(std::size_t count);

} // namespace orchidlead::standins
