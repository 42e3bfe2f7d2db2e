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

/// What a node believes of another one.
enum class member_state {
    Alive,
    Suspect, ///< silent, but not yet given up: slow isn't dead
    Leaving, ///< said so itself, or the VM list did: finishes its work, takes no new role
    Dead,
};

template <>
inline constexpr std::array enumNames<member_state>{
    enum_name<member_state>{member_state::Alive, "alive"},
    enum_name<member_state>{member_state::Suspect, "suspect"},
    enum_name<member_state>{member_state::Leaving, "leaving"},
    enum_name<member_state>{member_state::Dead, "dead"},
};

/// One VM as the platform lists it.
struct listed_vm
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    socket_address peerAddress; ///< UDP gossip and TCP JSON-RPC share the number
    bool leaving = false;
    std::uint32_t capacity = 0; ///< thousandths of a core that it may use; 0: unknown

    friend auto operator<=>(const listed_vm &, const listed_vm &) = default;
};

/// One VM as this node sees it.
struct member
{
    listed_vm vm;
    orchidlead::incarnation incarnation = 0; ///< 0: never heard of
    member_state state = member_state::Suspect;
    steady_time lastHeard; ///< directly, from the member itself
    bool listed = false; ///< on the platform's list; only these may take roles
};

/// Names one published configuration; stamps are ordered, version first.
struct configuration_stamp
{
    std::uint64_t version = 0; ///< 0: none
    std::uint64_t hash = 0; ///< of the content

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const configuration_stamp &, const configuration_stamp &) = default;
};

/// Action: send these bytes to a peer's gossip port.
struct gossip_datagram
{
    socket_address to;
    std::string bytes;
};

/// Action: a member's state, incarnation or description is new; `now` is what it is from now on.
struct member_changed
{
    member now;
    member_state before = member_state::Suspect;
};

/// Action: a member has gone from the list and isn't heard of any more.
struct member_forgotten
{
    vm_id vm;
};

/// Action: a peer said which configuration it has in force.
struct peer_report
{
    vm_id vm;
    configuration_stamp configuration;
    std::optional<steady_time> askedAt; ///< when the probe that this answers was sent
    std::string application; ///< the peer's opaque bytes
};

/// Action: the process was not running for that long. Whatever it knew may be old: nothing may be
/// routed or ordered before the configuration is confirmed again.
struct paused
{
    std::chrono::nanoseconds duration{0};
};

/// Action: a later start of this VM has taken its name. The process must stop.
struct superseded
{
    incarnation by = 0;
};

using membership_action = std::variant<gossip_datagram, member_changed, member_forgotten,
                                       peer_report, paused, superseded>;
using membership_actions = std::vector<membership_action>;

/// Signs and checks datagrams with a key that the nodes share; a hook for the embedding program.
class datagram_authenticator
{
public:
    virtual ~datagram_authenticator() = default;
    /// Returns the bytes with their tag.
    [[nodiscard]] virtual std::string seal(std::string bytes) const = 0;
    /// Returns the bytes without their tag, or nothing when the tag is wrong.
    [[nodiscard]] virtual std::optional<std::string_view> open(std::string_view bytes) const = 0;
};

/// Settings of `membership`.
struct membership_options
{
    listed_vm self;
    orchidlead::incarnation incarnation = 0;
    std::uint64_t seed = 0;

    milliseconds probeInterval{1000}; ///< of members in the own data centre
    milliseconds remoteProbeInterval{2000}; ///< of members elsewhere
    /// With more members elsewhere than this each node probes them less often in the same measure,
    /// as each of them is probed by as many others; but at most so much less.
    std::size_t remoteProbesInFull = 1024;
    std::uint32_t maxRemoteSlowdown = 5;
    milliseconds probeTimeout{300}; ///< until others are asked to probe
    std::size_t indirectProbes = 3;
    milliseconds suspicionMin{3000}; ///< from suspect to dead, with others confirming
    milliseconds suspicionMax{6000}; ///< and alone
    std::size_t confirmations = 3; ///< independent suspicions that shorten it to the least
    std::uint32_t maxHealth =
        4; ///< timeouts grow up to this many times plus one while own are late
    milliseconds gossipInterval{250}; ///< while there is news
    std::size_t gossipFanout = 2;
    std::size_t maxUpdates = 8; ///< in a datagram
    std::size_t gossipBytesPerSecond = 1536; ///< for news; probes are extra
    std::size_t gossipBurstBytes = 6144;
    milliseconds syncInterval{2000}; ///< between questions, while tables differ and bring nothing
    std::size_t syncBytesPerSecond = 1536;
    /// When 350 nodes start at once, each sends about the whole table, 25 KB, and a first contact
    /// ten times that within a second, since it is all that the others know.
    std::size_t syncBurstBytes = 262144;
    std::size_t maxDatagramBytes = 1200;
    std::size_t maxMembers = 1024;
    std::size_t maxUnlisted = 512; ///< members that aren't on the platform's list
    milliseconds forgetAfter{60000}; ///< dead and unlisted
    milliseconds pauseThreshold{1000}; ///< a longer gap between inputs counts as a pause
    milliseconds joinWindow{10000}; ///< a new start outbids an old one of its VM until then
    std::size_t maxApplicationBytes = 64;
    const datagram_authenticator *authenticator = nullptr; ///< outlives the object
};

/// What a membership counts, for metrics.
struct membership_counters
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t malformed = 0; ///< dropped: broken, foreign or badly signed
    std::uint64_t probes = 0;
    std::uint64_t failedProbes = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
    std::uint64_t heldBack = 0; ///< news and pages that waited because of the byte bound
};

/// Tells which VMs of the system are there: probes, suspicion with refutation, gossip.
///
/// Starts from the platform's list and corrects it by what the nodes themselves see. Inputs append
/// actions to `out`. Every input first notices a pause of the process.
class membership
{
public:
    membership(const clock_source &clock, membership_options options);
    ~membership();
    membership(membership &&) noexcept;
    membership &operator=(membership &&) noexcept = delete;

    /// Takes the platform's list; version 0 is a list of first contacts from the settings, which
    /// confirms nothing. Older versions than the last one are ignored. Without calls the
    /// last list stays.
    void setListed(std::uint64_t version, const std::vector<listed_vm> &vms,
                   membership_actions &out);
    /// The platform said that its list is still this one (an unchanged watch).
    void confirmListed(std::uint64_t version);
    /// When the platform is known to have last vouched for the list that this node holds, to it or
    /// to a peer with the same list. The error is on the old side. Empty: never.
    [[nodiscard]] std::optional<steady_time> listConfirmedAt() const;
    void onDatagram(const socket_address &from, std::string_view bytes, membership_actions &out);
    /// Runs timers; call every 50 to 100 ms.
    void tick(membership_actions &out);
    /// Notices a pause; call before acting on anything that was known before.
    void noticePause(membership_actions &out);

    /// Sets what rides on every datagram.
    void setConfiguration(const configuration_stamp &stamp);
    /// Sets opaque bytes that ride on probes and acks; longer than the bound: cut off.
    void setApplication(std::string bytes);
    /// Tells the stamp to every living member of the own data centre now.
    void announce(membership_actions &out);
    /// Probes up to `count` members now, nearest first; answers come as `peer_report`.
    void probeNow(std::size_t count, membership_actions &out);
    /// Introduces this node to addresses of which nothing else is known, or whose members are taken
    /// for dead; who is there answers and becomes a member. For platforms that list no VMs.
    void contact(const std::vector<socket_address> &addresses, membership_actions &out);
    /// Says that this VM is leaving; it goes on answering.
    void announceLeaving(membership_actions &out);
    /// Says that this VM has stopped; the last call.
    void announceStopped(membership_actions &out);

    /// All members, this one included, ordered by VM.
    [[nodiscard]] std::vector<member> members() const;
    /// How many members there are, this one included.
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::optional<member> find(const vm_id &vm) const;
    /// Begin of the last pause that was noticed.
    [[nodiscard]] std::optional<steady_time> pausedSince() const;
    [[nodiscard]] const membership_counters &counters() const;
    /// 0: healthy; timeouts grow with it.
    [[nodiscard]] std::uint32_t localHealth() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace orchidlead
