#include "standins/process_group.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <random>
#include <thread>

namespace orchidlead::standins {

namespace {

constexpr int NotStarted = 127;
constexpr std::chrono::milliseconds PollInterval{20};

// Runs in the child: only what is safe after a fork.
[[noreturn]] void becomeProgram(const std::vector<char *> &arguments, int log, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(NotStarted);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments.data());
    ::_exit(NotStarted);
}

std::vector<char *> toArguments(std::vector<std::string> &command)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (std::string &word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    return arguments;
}

/// Holds a bound socket until the end of its scope.
class bound_socket
{
public:
    bound_socket(int type, std::uint16_t port)
        : m_descriptor(::socket(AF_INET, type | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        m_bound = ::bind(m_descriptor, generic, sizeof address) == 0;
    }
    bound_socket(bound_socket &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_bound(other.m_bound)
    { }
    bound_socket &operator=(bound_socket &&) = delete;
    ~bound_socket()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }

    [[nodiscard]] bool bound() const { return m_bound; }

private:
    int m_descriptor;
    bool m_bound = false;
};

} // namespace

process_group::~process_group()
{
    for (child &one : m_children) {
        reap(one);
        if (one.ended)
            continue;
        ::kill(one.pid, SIGKILL);
        ::waitpid(one.pid, nullptr, 0);
    }
}

std::string process_group::logFile(const std::string &name) const
{
    return m_directory + "/" + name + ".log";
}

result<pid_t, process_error> process_group::start(const std::string &name,
                                                  const std::vector<std::string> &command)
{
    if (running(name))
        return process_error{name + " runs already"};
    std::vector<std::string> words = command;
    const std::vector<char *> arguments = toArguments(words);
    const int log = ::open(logFile(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0)
        return process_error{"can't write " + logFile(name) + ": " + std::strerror(errno)};
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0)
        becomeProgram(arguments, log, parent);
    ::close(log);
    if (pid < 0)
        return process_error{std::string("fork: ") + std::strerror(errno)};
    std::erase_if(m_children, [&name](const child &one) { return one.name == name; });
    m_children.push_back({name, pid, false});
    return pid;
}

process_group::child *process_group::find(const std::string &name)
{
    const auto found = std::find_if(m_children.begin(), m_children.end(),
                                    [&name](const child &one) { return one.name == name; });
    return found == m_children.end() ? nullptr : &*found;
}

void process_group::reap(child &one)
{
    if (!one.ended)
        one.ended = ::waitpid(one.pid, nullptr, WNOHANG) != 0;
}

bool process_group::running(const std::string &name)
{
    child *one = find(name);
    if (one == nullptr)
        return false;
    reap(*one);
    return !one->ended;
}

bool process_group::signal(const std::string &name, int number)
{
    return running(name) && ::kill(find(name)->pid, number) == 0;
}

bool process_group::anyRunning()
{
    return std::any_of(m_children.begin(), m_children.end(),
                       [this](const child &one) { return running(one.name); });
}

void process_group::stopAll(std::chrono::milliseconds patience)
{
    for (const child &one : m_children) {
        signal(one.name, SIGCONT);
        signal(one.name, SIGTERM);
    }
    const auto end = std::chrono::steady_clock::now() + patience;
    while (anyRunning() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(PollInterval);
    for (const child &one : m_children)
        signal(one.name, SIGKILL);
    while (anyRunning())
        std::this_thread::sleep_for(PollInterval);
}

// Tries start at a drawn port, so that runs side by side seldom meet. The ports stay bound until
// all are found, so that none is found twice.
std::vector<std::uint16_t> findFreePorts(std::size_t count)
{
    constexpr std::uint16_t LowestPort = 10'000;
    constexpr std::uint16_t HighestPort = 32'000;
    std::uniform_int_distribution<std::uint16_t> draw(LowestPort, HighestPort);
    std::random_device device;
    std::uint16_t port = draw(device);
    std::vector<std::uint16_t> ports;
    std::vector<bound_socket> held;
    while (ports.size() < count) {
        port = port >= HighestPort ? LowestPort : static_cast<std::uint16_t>(port + 1);
        const bool both = held.emplace_back(SOCK_STREAM, port).bound()
            && held.emplace_back(SOCK_DGRAM, port).bound();
        if (both)
            ports.push_back(port);
    }
    return ports;
}

} // namespace orchidlead::standins
