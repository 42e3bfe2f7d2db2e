#pragma once

#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace orchidlead::standins {

/// Says which system call failed.
struct relay_error
{
    std::string what;
};

/// One process that others reach through the relay.
struct relay_node
{
    std::string name;
    socket_address real; ///< where it listens
    socket_address listed; ///< where others find it; filled by the relay
};

/// Stands on the links between processes, so that a link can be cut.
///
/// Each node has a listed address, UDP and TCP, that the relay holds. A datagram that arrives
/// there is told by its source, which is the sender's real address, and is forwarded from the
/// sender's listed address, so that the receiver sees the address that it knows. A connection is
/// told by the process that owns its other end. What goes over a cut link vanishes: datagrams are
/// dropped, connections hang. Connections that were open when a link was cut hang until it is
/// whole again, and are then closed.
///
/// Runs a thread of its own, so that what the prover does meanwhile adds no delay.
class peer_relay
{
public:
    [[nodiscard]] static result<std::unique_ptr<peer_relay>, relay_error>
    create(std::vector<relay_node> nodes);
    ~peer_relay();
    peer_relay(const peer_relay &) = delete;
    peer_relay &operator=(const peer_relay &) = delete;

    [[nodiscard]] socket_address listed(const std::string &name) const;

    /// Tells which process a node is, after each start of it.
    void setProcess(const std::string &name, pid_t pid);
    /// Cuts the link between two nodes, both ways.
    void cut(const std::string &one, const std::string &other);
    /// Makes all links whole.
    void heal();

    /// Datagrams and connections that were forwarded or vanished.
    struct counts
    {
        std::uint64_t datagrams = 0;
        std::uint64_t connections = 0;
        std::uint64_t dropped = 0;
        std::uint64_t unknownSenders = 0;
    };
    [[nodiscard]] counts counted() const;

private:
    struct endpoint;
    struct link;

    peer_relay();

    result<void, relay_error> open(std::vector<relay_node> nodes);
    void run();
    void waitForInput() const;
    [[nodiscard]] bool stopping() const;
    void forwardDatagrams(endpoint &to);
    void acceptLink(endpoint &to);
    void pump(link &one);
    [[nodiscard]] endpoint *findByReal(const socket_address &address);
    [[nodiscard]] std::string ownerOf(const socket_address &source, const socket_address &target);
    [[nodiscard]] bool isCut(const std::string &one, const std::string &other) const;

    std::vector<std::unique_ptr<endpoint>> m_endpoints;
    std::vector<std::unique_ptr<link>> m_links;
    mutable std::mutex m_mutex; // guards what follows
    std::map<std::string, pid_t> m_processes;
    std::set<std::pair<std::string, std::string>> m_cuts; // each pair in order
    std::uint64_t m_heals = 0;
    counts m_counts;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace orchidlead::standins
