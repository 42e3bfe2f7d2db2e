#include "standins/socket_owner.h"

#include <arpa/inet.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace orchidlead::standins {

namespace {

// The kernel writes addresses in hex, the number in the machine's byte order.
std::string toKernelText(const socket_address &address)
{
    in_addr number{};
    ::inet_pton(AF_INET, address.ip.c_str(), &number);
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08X:%04X", number.s_addr, unsigned{address.port});
    return text.data();
}

/// One line of the kernel's table of sockets.
struct socket_line
{
    std::string slot, local, remote, state, queues, timer, retransmits, user, timeout, inode;
};

std::istream &operator>>(std::istream &in, socket_line &line)
{
    return in >> line.slot >> line.local >> line.remote >> line.state >> line.queues >> line.timer
        >> line.retransmits >> line.user >> line.timeout >> line.inode;
}

} // namespace

std::optional<std::string> findSocket(const socket_address &local, const socket_address &remote)
{
    const std::string localText = toKernelText(local);
    const std::string remoteText = toKernelText(remote);
    std::ifstream table("/proc/net/tcp");
    std::string text;
    while (std::getline(table, text)) {
        std::istringstream row(text);
        socket_line line;
        if (row >> line && line.local == localText && line.remote == remoteText)
            return line.inode;
    }
    return std::nullopt;
}

bool hasSocket(pid_t pid, const std::string &socket)
{
    const std::string wanted = "socket:[" + socket + "]";
    std::error_code error;
    const std::filesystem::path directory = "/proc/" + std::to_string(pid) + "/fd";
    for (const auto &entry : std::filesystem::directory_iterator(directory, error)) {
        const auto target = std::filesystem::read_symlink(entry.path(), error);
        if (!error && target == wanted)
            return true;
    }
    return false;
}

} // namespace orchidlead::standins
