#pragma once

#include "gateway/peers/peer_process.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// What the membership knows of a process.
struct process_knowledge
{
    bool hasEnded = false; ///< the node is dead, or has started again
    std::optional<socket_address> address; ///< at which the process listens; empty: unknown
    steady_time lastReceivedAt{}; ///< last datagram from the node
};

/// Result of an attempt to connect to the address of a process.
enum class connect_result : std::uint8_t {
    Refused, ///< no process listens at the address
    Opened, ///< also if the process is stopped or slow: the kernel accepts connections for it
    Unclear, ///< no answer in time, or the address could not be reached
};

/// Finds out whether the process at the other end of a closed link has ended. A link also closes
/// while the process lives, for example if one side is slow or a data centre is partitioned.
///
/// A process has ended if the membership says so, or if it refuses connections and does not answer
/// a datagram either. The datagram detects a firewall that refuses TCP connections on behalf of a
/// live process. Does no I/O.
class process_end_detector
{
public:
    using lookup_function = std::function<process_knowledge(const peer_process &)>;

    /// Maximum number of connection attempts after a link closed.
    static constexpr std::size_t MaxAttempts = 4;
    /// Maximum number of simultaneous connection attempts. All links to a data centre may close at
    /// once; each attempt needs a file descriptor for up to `connection_trial::Timeout`.
    static constexpr std::size_t MaxOpenAttempts = 256;
    /// Time between two attempts. A process that is being killed may still accept connections
    /// after its links have closed. All attempts fit into the second within which storage is to be
    /// freed.
    static constexpr milliseconds AttemptInterval{150};
    /// Time to answer the datagram. Nodes in other data centres answer within 40 ms.
    static constexpr milliseconds ConfirmationTime{150};
    /// Time after which the answer no longer matters: servers have dropped the results.
    static constexpr milliseconds MaxWatchTime{10'000};

    struct connect_attempt
    {
        peer_process process;
        socket_address address;
    };
    /// What the caller is to do.
    struct actions
    {
        std::vector<connect_attempt> connects; ///< report the results with `onConnectResult`
        std::vector<socket_address> pings; ///< addresses to send a datagram to
        std::vector<peer_process> ended;
        std::vector<peer_process> undecided; ///< not known to have ended within `MaxWatchTime`
    };

    process_end_detector(const clock_source &clock, lookup_function lookup);

    void onLinkClosed(const peer_process &process);
    /// Call `tick` afterwards. A result that arrives after the decision is ignored.
    void onConnectResult(const peer_process &process, connect_result result);
    /// Call after each event and about every 100 ms.
    [[nodiscard]] actions tick();

private:
    struct watch
    {
        steady_time until;
        std::size_t attempts = 0; ///< since the last link closed
        steady_time nextAttempt;
        bool isConnecting = false;
        std::optional<steady_time> refusedAt;
        bool isPinged = false; ///< since `refusedAt`
    };

    /// Returns whether the process has ended.
    [[nodiscard]] bool hasEnded(watch &entry, const process_knowledge &known) const;
    void addActions(const peer_process &process, watch &entry, const process_knowledge &known,
                    actions &out);

    void forget(const peer_process &process);

    const clock_source &m_clock;
    lookup_function m_lookup;
    std::map<peer_process, watch> m_watches;
    std::size_t m_openAttempts = 0;
};

} // namespace orchidlead::gateway
