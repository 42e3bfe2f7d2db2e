#include "standins/socket_owner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <filesystem>

namespace orchidlead::standins {

namespace {

/// The question for one socket, as the kernel reads it.
struct socket_question
{
    nlmsghdr header{};
    inet_diag_req_v2 request{};
};

std::uint32_t toNumber(const std::string &ip)
{
    in_addr number{};
    ::inet_pton(AF_INET, ip.c_str(), &number);
    return number.s_addr;
}

socket_question makeQuestion(const socket_address &local, const socket_address &remote)
{
    socket_question question;
    question.header.nlmsg_len = sizeof question;
    question.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    question.header.nlmsg_flags = NLM_F_REQUEST;
    question.request.sdiag_family = AF_INET;
    question.request.sdiag_protocol = IPPROTO_TCP;
    question.request.idiag_states = ~0U;
    inet_diag_sockid &id = question.request.id;
    id.idiag_sport = htons(local.port);
    id.idiag_dport = htons(remote.port);
    id.idiag_src[0] = toNumber(local.ip);
    id.idiag_dst[0] = toNumber(remote.ip);
    id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return question;
}

std::optional<std::string> readAnswer(int netlink)
{
    alignas(nlmsghdr) std::array<char, 4096> buffer{};
    const ssize_t size = ::recv(netlink, buffer.data(), buffer.size(), 0);
    nlmsghdr header{};
    inet_diag_msg answer{};
    if (size < static_cast<ssize_t>(NLMSG_LENGTH(sizeof answer)))
        return std::nullopt;
    std::memcpy(&header, buffer.data(), sizeof header);
    if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
        return std::nullopt;
    std::memcpy(&answer, buffer.data() + NLMSG_HDRLEN, sizeof answer);
    return std::to_string(answer.idiag_inode);
}

} // namespace

// Asks for the one socket: reading the table of all of them takes long on a busy machine.
std::optional<std::string> findSocket(const socket_address &local, const socket_address &remote)
{
    const int netlink = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (netlink < 0)
        return std::nullopt;
    const socket_question question = makeQuestion(local, remote);
    std::optional<std::string> inode;
    if (::send(netlink, &question, sizeof question, 0) == ssize_t{sizeof question})
        inode = readAnswer(netlink);
    ::close(netlink);
    return inode;
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
