#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orchidlead {

/// State of a member in the view of one node.
enum class member_state {
    Alive,
    /// Did not answer probes, but may only be slow; becomes dead unless it refutes this in time.
    Suspect,
    /// Announced so by the member itself or by the VM list: finishes its work, takes no new role.
    Leaving,
    Dead,
};

template <>
inline constexpr std::array enumNames<member_state>{
    enum_name<member_state>{member_state::Alive, "alive"},
    enum_name<member_state>{member_state::Suspect, "suspect"},
    enum_name<member_state>{member_state::Leaving, "leaving"},
    enum_name<member_state>{member_state::Dead, "dead"},
};

/// An entry of the platform's VM list.
struct listed_vm
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    socket_address peerAddress; ///< one port number for UDP gossip and TCP JSON-RPC
    bool leaving = false;
    std::uint32_t capacity = 0; ///< in thousandths of a core; 0: unknown

    friend auto operator<=>(const listed_vm &, const listed_vm &) = default;
};

/// A VM in the view of this node.
struct member
{
    listed_vm vm;
    orchidlead::incarnation incarnation = 0; ///< 0: nothing received yet
    member_state state = member_state::Suspect;
    steady_time lastReceivedAt; ///< last datagram from the member itself
    bool listed = false; ///< on the platform's VM list; other members take no roles
};

/// Identifies a published configuration. Stamps are ordered by version, then by hash.
struct configuration_stamp
{
    std::uint64_t version = 0; ///< 0: none
    std::uint64_t hash = 0; ///< of the content

    // NOLINTNEXTLINE(modernize-use-nullptr): mistaken for a comparison with a null pointer
    friend auto operator<=>(const configuration_stamp &, const configuration_stamp &) = default;
};

/// Action: send a datagram to a peer's gossip port.
struct gossip_datagram
{
    socket_address to;
    std::string bytes;
};

/// Action: a member was added, or its state, incarnation or list entry changed to `now`.
struct member_changed
{
    member now;
    member_state before = member_state::Suspect;
};

/// Action: an unlisted member was removed, since it is dead or was never reached.
struct member_removed
{
    vm_id vm;
};

/// Action: a peer reported the configuration that it uses.
struct peer_report
{
    vm_id vm;
    configuration_stamp configuration;
    std::optional<steady_time> probeSentAt; ///< when the probe that this answers was sent
    std::string application; ///< opaque application data of the peer
};

/// Action: the process did not run for this time, so its state may be outdated. It must confirm its
/// configuration before it routes requests or issues orders again.
struct paused
{
    std::chrono::nanoseconds duration{0};
};

/// Action: a later process runs under the name of this VM. This process must stop.
struct superseded
{
    incarnation by = 0;
};

using membership_action =
    std::variant<gossip_datagram, member_changed, member_removed, peer_report, paused, superseded>;
using membership_actions = std::vector<membership_action>;

/// Signs and verifies datagrams with a key shared by all nodes. Implemented by the embedding
/// program.
class datagram_authenticator
{
public:
    virtual ~datagram_authenticator() = default;
    /// Returns the bytes with their authentication tag.
    [[nodiscard]] virtual std::string seal(std::string bytes) const = 0;
    /// Returns the bytes without their tag, or nothing if the tag is wrong.
    [[nodiscard]] virtual std::optional<std::string_view> open(std::string_view bytes) const = 0;
};

/// Settings of `membership`.
struct membership_options
{
    listed_vm self;
    orchidlead::incarnation incarnation = 0;
    std::uint64_t seed = 0;

    milliseconds probeInterval{1000}; ///< for members in the same data centre
    milliseconds remoteProbeInterval{2000}; ///< for members in other data centres
    /// With more members than this in other data centres, `remoteProbeInterval` is multiplied by
    /// the ratio, since each of them is probed by more nodes.
    std::size_t fullRateRemoteMembers = 1024;
    std::uint32_t maxRemoteIntervalFactor = 5; ///< bound on that factor
    milliseconds probeTimeout{300}; ///< until indirect probes are sent
    std::size_t indirectProbes = 3; ///< members that probe the target on request
    milliseconds suspicionMin{3000}; ///< from suspect to dead with all `confirmations`
    milliseconds suspicionMax{6000}; ///< from suspect to dead with one
    std::size_t confirmations = 3; ///< suspecting nodes for which `suspicionMin` applies
    /// Bound on `localHealthScore`: timeouts are at most this many plus one times as long.
    std::uint32_t maxHealthScore = 4;
    milliseconds gossipInterval{250}; ///< while updates are queued
    std::size_t gossipFanout = 2;
    std::size_t maxUpdates = 8; ///< queued updates per datagram
    std::size_t gossipBytesPerSecond = 1536; ///< for updates; excludes probes
    std::size_t gossipBurstBytes = 6144;
    /// For table synchronisation while tables differ. Doubled, up to 16 times as long, while it
    /// brings no change.
    milliseconds syncInterval{2000};
    std::size_t syncBytesPerSecond = 1536;
    /// When 350 nodes start at once, each sends about the whole table, 25 KB. A first contact sends
    /// ten times that within a second, since it is the only peer that the others have.
    std::size_t syncBurstBytes = 262144;
    std::size_t maxDatagramBytes = 1200;
    std::size_t maxMembers = 1024;
    std::size_t maxUnlisted = 512; ///< members that are not on the platform's VM list
    milliseconds deadRetention{60000}; ///< for dead unlisted members
    milliseconds pauseThreshold{1000}; ///< longer gaps between inputs are pauses
    /// For this time after its start, a process overrides updates of other processes of its VM.
    milliseconds joinWindow{10000};
    std::size_t maxApplicationBytes = 64;
    const datagram_authenticator *authenticator = nullptr; ///< must outlive the object
};

/// Counters of a `membership`, for metrics.
struct membership_counters
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t malformed = 0; ///< dropped: invalid, from a wrong address or badly signed
    std::uint64_t probes = 0;
    std::uint64_t failedProbes = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
    std::uint64_t rateLimited = 0; ///< gossip and synchronisations delayed by a byte rate limit
};

/// Tracks the members of the cluster with a SWIM-style protocol: probes, suspicion with refutation
/// and gossip.
///
/// Starts from the platform's VM list and corrects it by the observations of the nodes. Inputs
/// append actions to `out`. Datagrams and ticks first detect a pause of the process.
class membership
{
public:
    membership(const clock_source &clock, membership_options options);
    ~membership();
    membership(membership &&) noexcept;
    membership &operator=(membership &&) noexcept = delete;

    /// Sets the platform's VM list. Version 0 is a list of first contacts from the settings and
    /// does not count as a confirmation. Versions older than the current one are ignored.
    void setVmList(std::uint64_t version, const std::vector<listed_vm> &vms,
                   membership_actions &out);
    /// Records that the platform reported its VM list as unchanged.
    void confirmVmList(std::uint64_t version);
    /// Returns when the platform last confirmed this node's VM list, to this node or to a peer with
    /// the same list; never later than the true time. Empty: never confirmed.
    [[nodiscard]] std::optional<steady_time> vmListConfirmedAt() const;
    void onDatagram(const socket_address &from, std::string_view bytes, membership_actions &out);
    /// Runs timers; call every 50 to 100 ms.
    void tick(membership_actions &out);
    /// Detects a pause of the process, that is, a time in which it did not run; call before acting
    /// on earlier state.
    void detectPause(membership_actions &out);

    /// Sets the stamp that every datagram carries.
    void setConfiguration(const configuration_stamp &stamp);
    /// Sets the opaque application data of probes and acks; truncated to `maxApplicationBytes`.
    void setApplication(std::string bytes);
    /// Sends the stamp to every member of this data centre that is not dead.
    void announce(membership_actions &out);
    /// Probes up to `count` members now, those of this data centre first. Each answer is reported
    /// as a `peer_report`.
    void probeNow(std::size_t count, membership_actions &out);
    /// Pings addresses of unknown or dead members and sends them the description of this node. The
    /// nodes that answer become members. For platforms without a VM list.
    void contact(const std::vector<socket_address> &addresses, membership_actions &out);
    /// Announces that this VM is leaving; it still answers.
    void announceLeaving(membership_actions &out);
    /// Announces that this VM has stopped. Must be the last call.
    void announceStopped(membership_actions &out);

    /// Returns all members, this node included, ordered by VM.
    [[nodiscard]] std::vector<member> members() const;
    /// Returns the number of members, this node included.
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::optional<member> find(const vm_id &vm) const;
    /// Returns when the last detected pause began.
    [[nodiscard]] std::optional<steady_time> lastPauseStart() const;
    [[nodiscard]] const membership_counters &counters() const;
    /// Returns 0 if healthy; timeouts grow with the score.
    [[nodiscard]] std::uint32_t localHealthScore() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace orchidlead
