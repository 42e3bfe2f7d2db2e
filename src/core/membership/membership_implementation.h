#pragma once

#include "core/membership/gossip_message.h"
#include "core/membership/gossip_queue.h"
#include "core/membership/member_table.h"

#include <orchidlead/membership.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Implementation of `membership`. Defined in membership.cpp (VM list, pauses, dispatch),
/// membership_probes.cpp, membership_updates.cpp and membership_gossip.cpp.
namespace orchidlead {

/// IP and UDP headers of a datagram; included in byte counts and rate limits, which apply to the
/// traffic on the network.
inline constexpr std::size_t DatagramHeaderBytes = 28;

/// Round-robin probing of a group of members, in an order that is shuffled for each round.
struct probe_round
{
    bool local = true;
    milliseconds interval{0};
    steady_time next;
    std::vector<vm_id> order;
    std::size_t index = 0;
};

/// Purpose of a probe.
enum class probe_kind {
    Initial,
    Retry, ///< after a failed initial one; its failure makes the target suspected
    Extra, ///< outside the rounds; its failure has no effect
};

template <>
inline constexpr std::array enumNames<probe_kind>{
    enum_name<probe_kind>{probe_kind::Initial, "first"},
    enum_name<probe_kind>{probe_kind::Retry, "second"},
    enum_name<probe_kind>{probe_kind::Extra, "extra"},
};

/// A pending probe.
struct probe
{
    vm_id target;
    steady_time sentAt;
    steady_time indirectAt; ///< when indirect probes are requested
    steady_time deadline;
    probe_kind kind = probe_kind::Initial;
    std::size_t relays = 0;
    std::size_t nacks = 0;
};

/// Check of a suspected member by this node.
struct suspicion
{
    steady_time probeAt; ///< when this node probes the member
    bool probed = false;
};

/// How an update was received.
enum class update_source {
    Gossiped, ///< by gossip, which each receiver forwards to a few members
    Synchronised, ///< by table synchronisation, which reaches all nodes that lack the update
};

template <>
inline constexpr std::array enumNames<update_source>{
    enum_name<update_source>{update_source::Gossiped, "rumour"},
    enum_name<update_source>{update_source::Synchronised, "synchronisation"},
};

/// A pending probe on behalf of another member.
struct relayed_probe
{
    vm_id requester;
    std::uint32_t requesterSequence = 0;
    vm_id target;
    steady_time deadline;
};

class membership::implementation
{
public:
    implementation(const clock_source &clock, membership_options options);

    void setVmList(std::uint64_t version, const std::vector<listed_vm> &vms);
    void confirmVmList(std::uint64_t version);
    void onDatagram(const socket_address &from, std::string_view bytes);
    void tick();
    void detectPause();
    void announce();
    void probeNow(std::size_t count);
    void contact(const std::vector<socket_address> &addresses);
    void announceLeaving();
    void announceStopped();

    /// Sets where the actions of the current input are appended.
    void collectInto(membership_actions &out) { m_out = &out; }

    const clock_source &clock;
    membership_options options;
    member_table table;
    membership_counters counters;
    configuration_stamp configuration;
    std::string application;
    std::optional<steady_time> lastPauseStart;
    std::optional<steady_time> vmListConfirmedAt;
    std::uint32_t healthScore = 0;

private:
    template <class Action>
    void emit(Action action)
    {
        m_out->emplace_back(std::in_place_type<Action>, std::move(action));
    }

    [[nodiscard]] member_record &self() { return *table.edit(options.self.vm); }
    [[nodiscard]] const member_record &self() const { return *table.find(options.self.vm); }
    [[nodiscard]] bool isSelf(const vm_id &vm) const { return vm == options.self.vm; }
    [[nodiscard]] milliseconds scaled(milliseconds time) const { return time * (healthScore + 1); }
    [[nodiscard]] std::size_t random(std::size_t bound);
    [[nodiscard]] std::uint32_t transmitLimit() const
    {
        return retransmitLimit(table.all().size(), m_gossipQueue.size());
    }

    void addListed(const listed_vm &vm);
    void removeInactiveUnlisted();
    void reportChange(const member_record &record, const std::optional<member> &before);
    void raiseGeneration(std::uint64_t above);

    [[nodiscard]] bool fromKnownAddress(const gossip_message &message,
                                        const socket_address &from) const;
    bool addUnlisted(const gossip_update &update);
    void apply(const gossip_update &update, update_source source);
    void applyIndirect(const gossip_update &update, update_source source);
    void applyToSelf(const gossip_update &update);
    void startSuspicion(member_record &record);
    void suspect(const vm_id &vm);
    void probeSuspects();
    void expireSuspicions();
    void removeExpired();

    [[nodiscard]] gossip_message makeMessage(gossip_kind kind, std::uint32_t sequence) const;
    void addQueuedUpdates(gossip_message &message, const vm_id &to);
    static void addReceiverState(gossip_message &message, const member_record &receiver);
    std::size_t send(const socket_address &to, const gossip_message &message);
    void sendTo(const vm_id &vm, gossip_message message);
    void describeSelf(gossip_message &message) const;

    void handle(const gossip_message &message);
    void onPing(const gossip_message &message);
    void onAck(const gossip_message &message);
    void onIndirectPing(const gossip_message &message);
    void onSync(const gossip_message &message);
    void onSyncReply(const gossip_message &message, bool tableChanged);
    void reportPeer(const gossip_message &message);
    void updateListConfirmation(const gossip_message &message, steady_time probeSentAt);
    void sendRelayedAnswer(std::uint32_t sequence, gossip_kind kind);

    void runRound(probe_round &round);
    /// Returns the factor by which the interval between probes is multiplied.
    [[nodiscard]] std::uint32_t intervalFactor(const probe_round &round) const;
    std::optional<vm_id> nextTarget(probe_round &round);
    void startProbe(const vm_id &target, probe_kind kind);
    void checkProbes();
    void requestIndirectProbes(std::uint32_t sequence, probe &pending);
    void handleFailedProbe(const probe &pending);
    void expireRelayedProbes();
    void gossip();
    [[nodiscard]] std::vector<vm_id> pickMembers(std::size_t count, bool localFirst,
                                                 const vm_id &except);
    void maybeSync(const gossip_message &message);
    void sync(const vm_id &peer);
    /// Adds as many records as fit. Returns their number.
    std::size_t addRecords(gossip_message &message,
                           std::span<const member_record *const> records) const;
    void sendRequested(const gossip_message &message);

    membership_actions *m_out = nullptr;
    std::mt19937_64 m_random;
    gossip_queue m_gossipQueue;
    byte_rate_limiter m_gossipRateLimiter;
    probe_round m_local;
    probe_round m_remote;
    std::map<std::uint32_t, probe> m_probes;
    std::map<std::uint32_t, relayed_probe> m_relayedProbes;
    std::map<vm_id, suspicion> m_suspects;
    std::uint32_t m_sequence = 0;
    std::uint64_t m_listVersion = 0;
    bool m_hasList = false;
    bool m_stopped = false;
    bool m_supersededReported = false;
    steady_time m_startedAt;
    std::optional<steady_time> m_lastInput;
    wall_time m_lastWallTime;
    steady_time m_nextGossip;
    steady_time m_nextSync;
    steady_time m_nextRemoval;
    milliseconds m_syncInterval;
    byte_rate_limiter m_syncRateLimiter;
    std::uint32_t m_syncSlice = 0; ///< slice of the next request, modulo the number of slices
    std::uint64_t m_changes = 0; ///< number of updates that changed the table
};

} // namespace orchidlead
