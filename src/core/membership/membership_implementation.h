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

/// The inside of `membership`: its timers, probes and rounds. Defined in membership.cpp (list,
/// pauses, dispatch), membership_probes.cpp, membership_claims.cpp and membership_gossip.cpp.
namespace orchidlead {

/// Bytes that IP and UDP put before each datagram; counted, since the budget is for the wire.
inline constexpr std::size_t DatagramHeaderBytes = 28;

/// A round of probes over one group of members, in an order that is shuffled anew each time.
struct probe_round
{
    bool local = true;
    milliseconds interval{0};
    steady_time next;
    std::vector<vm_id> order;
    std::size_t index = 0;
};

/// What a probe is for.
enum class probe_kind {
    First,
    Second, ///< after a first one that failed; only then is the member suspected
    Extra, ///< asks for an answer; its failure means nothing
};

template <>
inline constexpr std::array enumNames<probe_kind>{
    enum_name<probe_kind>{probe_kind::First, "first"},
    enum_name<probe_kind>{probe_kind::Second, "second"},
    enum_name<probe_kind>{probe_kind::Extra, "extra"},
};

/// A probe whose answer is awaited.
struct probe
{
    vm_id target;
    steady_time sentAt;
    steady_time indirectAt; ///< when others are asked
    steady_time deadline;
    probe_kind kind = probe_kind::First;
    std::size_t helpers = 0;
    std::size_t nacks = 0;
};

/// A member that is suspected, by whomever.
struct suspicion
{
    steady_time checkAt; ///< when this node asks the member itself
    bool checked = false;
};

/// Where a claim comes from.
enum class news_source {
    Rumour, ///< told to a few members, who tell others
    Synchronisation, ///< which brings the same to everybody who lacks it
};

template <>
inline constexpr std::array enumNames<news_source>{
    enum_name<news_source>{news_source::Rumour, "rumour"},
    enum_name<news_source>{news_source::Synchronisation, "synchronisation"},
};

/// A probe made for another member.
struct relay
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

    void setListed(std::uint64_t version, const std::vector<listed_vm> &vms);
    void confirmListed(std::uint64_t version);
    void onDatagram(const socket_address &from, std::string_view bytes);
    void tick();
    void noticePause();
    void announce();
    void probeNow(std::size_t count);
    void contact(const std::vector<socket_address> &addresses);
    void announceLeaving();
    void announceStopped();

    /// Collects the actions of one input.
    void collectInto(membership_actions &out) { m_out = &out; }

    const clock_source &clock;
    membership_options options;
    member_table table;
    membership_counters counters;
    configuration_stamp configuration;
    std::string application;
    std::optional<steady_time> pausedSince;
    std::optional<steady_time> listConfirmedAt;
    std::uint32_t health = 0;

private:
    template <class Action>
    void emit(Action action)
    {
        m_out->emplace_back(std::in_place_type<Action>, std::move(action));
    }

    [[nodiscard]] member_record &self() { return *table.edit(options.self.vm); }
    [[nodiscard]] const member_record &self() const { return *table.find(options.self.vm); }
    [[nodiscard]] bool isSelf(const vm_id &vm) const { return vm == options.self.vm; }
    [[nodiscard]] milliseconds scaled(milliseconds time) const { return time * (health + 1); }
    [[nodiscard]] std::size_t random(std::size_t bound);
    [[nodiscard]] std::uint32_t newsLimit() const
    {
        return retransmitLimit(table.all().size(), m_news.size());
    }

    void addListed(const listed_vm &vm);
    void dropUnlisted();
    void reportChange(const member_record &record, const std::optional<member> &before);
    void raiseGeneration(std::uint64_t above);

    [[nodiscard]] bool fromKnownAddress(const gossip_message &message,
                                        const socket_address &from) const;
    bool admit(const gossip_update &update);
    void apply(const gossip_update &update, news_source source);
    void applyHearsay(const gossip_update &update, news_source source);
    void applyToSelf(const gossip_update &update);
    void startSuspicion(member_record &record);
    void suspect(const vm_id &vm);
    void checkSuspects();
    void expireSuspicions();
    void forgetDead();

    [[nodiscard]] gossip_message makeMessage(gossip_kind kind, std::uint32_t sequence) const;
    void addNews(gossip_message &message, const vm_id &to);
    static void addBelief(gossip_message &message, const member_record &receiver);
    std::size_t send(const socket_address &to, const gossip_message &message);
    void sendTo(const vm_id &vm, gossip_message message);
    void describeSelf(gossip_message &message) const;

    void handle(const gossip_message &message);
    void onPing(const gossip_message &message);
    void onAck(const gossip_message &message);
    void onIndirectPing(const gossip_message &message);
    void onSync(const gossip_message &message);
    void onSyncReply(const gossip_message &message, bool learnt);
    void reportPeer(const gossip_message &message);
    void vouchForList(const gossip_message &message, steady_time askedAt);
    void relayAnswer(std::uint32_t sequence, gossip_kind kind);

    void runRound(probe_round &round);
    /// By how much more than its interval a round waits between two probes.
    [[nodiscard]] std::uint32_t slowdownOf(const probe_round &round) const;
    std::optional<vm_id> nextTarget(probe_round &round);
    void startProbe(const vm_id &target, probe_kind kind);
    void checkProbes();
    void askHelpers(std::uint32_t sequence, probe &pending);
    void failProbe(const probe &pending);
    void checkRelays();
    void gossip();
    [[nodiscard]] std::vector<vm_id> pickMembers(std::size_t count, bool localFirst,
                                                 const vm_id &except);
    void maybeSync(const gossip_message &message);
    void sync(const vm_id &with);
    /// Adds as many records as fit; gives how many did.
    std::size_t addRecords(gossip_message &message,
                           std::span<const member_record *const> records) const;
    void sendWanted(const gossip_message &message);

    membership_actions *m_out = nullptr;
    std::mt19937_64 m_random;
    gossip_queue m_news;
    byte_allowance m_allowance;
    probe_round m_local;
    probe_round m_remote;
    std::map<std::uint32_t, probe> m_probes;
    std::map<std::uint32_t, relay> m_relays;
    std::map<vm_id, suspicion> m_suspects;
    std::uint32_t m_sequence = 0;
    std::uint64_t m_listVersion = 0;
    bool m_haveList = false;
    bool m_stopped = false;
    bool m_toldSuperseded = false;
    steady_time m_startedAt;
    std::optional<steady_time> m_lastInput;
    wall_time m_lastWall;
    steady_time m_nextGossip;
    steady_time m_nextSync;
    steady_time m_nextForget;
    milliseconds m_syncInterval;
    byte_allowance m_syncAllowance;
    std::uint32_t m_syncSlice = 0; ///< that is asked for next
    std::uint64_t m_changes = 0; ///< counts the claims that changed the table
};

} // namespace orchidlead
