#pragma once

#include "core/once/handover_sender.h"
#include "core/requests/call_records.h"
#include "core/requests/engine_types.h"

#include <orchidlead/at_most_once_guards.h>
#include <orchidlead/clock.h>
#include <orchidlead/idempotency_key.h>
#include <orchidlead/ids.h>
#include <orchidlead/key_home.h>
#include <orchidlead/key_home_messages.h>
#include <orchidlead/membership.h>
#include <orchidlead/outcome.h>
#include <orchidlead/ticket.h>
#include <orchidlead/ticket_ledger.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The gate in front of the request engine for calls that may not be repeated.
namespace orchidlead {

/// A call that may not be repeated, as it came in.
struct once_request
{
    customer_id customer;
    data_center_id homeDataCenter; ///< of the customer, as published; empty: not known here
    std::optional<std::string> ticket; ///< text form
    std::optional<std::string> key; ///< text form; ignored where there is a ticket
    std::uint64_t digest = 0; ///< of all that decides what runs: pipeline, input
    steady_time deadline;
    bool forwarded = false; ///< came from a peer: not forwarded again
};

/// Verdict: this node runs the call. Exactly one `onFinished` must follow.
struct run_here
{
    record_handle record;
};

/// Verdict: the call is already in flight here; its answer is this caller's answer too.
struct attach_to
{
    record_handle record;
};

/// Verdict: the call ended before; this is how.
struct give_answer
{
    final_answer answer;
};

enum class forward_kind { Ticket, Key };

template <>
inline constexpr std::array enumNames<forward_kind>{
    enum_name<forward_kind>{forward_kind::Ticket, "ticket"},
    enum_name<forward_kind>{forward_kind::Key, "key"},
};

/// Verdict: another node decides. Where it can't be reached, the answer to the caller is
/// `Unknown` with `HomeUnreachable`, never `NotRun`: the call may be a resend.
struct forward_to
{
    vm_id vm; ///< empty: any live VM of `dataCenter`
    data_center_id dataCenter;
    forward_kind kind = forward_kind::Key;
};

/// Verdict: nothing is run for this request now.
struct refuse_call
{
    orchidlead::outcome outcome = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    std::string detail; ///< for people
    std::optional<milliseconds> retryAfter;
};

using once_verdict = std::variant<run_here, attach_to, give_answer, forward_to, refuse_call>;

/// Action: send these bytes to the gate of a peer. Loss, doubling and reordering do no harm.
struct peer_message
{
    vm_id to;
    std::string bytes;
    bool bulk = false; ///< may exceed a datagram: send it over TCP
};

/// Bounds and times of the gate.
struct at_most_once_settings
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;
    data_center_id dataCenter;
    milliseconds window{600'000}; ///< how long a ticket or key may be used after it was issued
    milliseconds clockSkew{1'000}; ///< largest difference between two machines' times of day
    milliseconds lease{12'000};
    milliseconds renewal{4'000};
    milliseconds maxListAge{60'000}; ///< a VM list not confirmed for longer is of no use
    milliseconds listMemory{150'000}; ///< at least twice maxListAge, the lease and the list's lag
    std::size_t maxRecords = 100'000;
    std::size_t maxAnswerBytes = 16U << 20U; ///< of all kept answers together
    std::size_t maxTickets = 100'000; ///< minted and not yet expired
};

/// Decides for each call that may not be repeated whether this node runs it.
///
/// Promises: over all nodes, a ticket or key is run at most once; `NotRun` is said of a ticket or
/// key only if no node ran it and none will. A request that carries neither is run here once, and
/// a resend of it can't be recognised.
///
/// Requests with a ticket or key must be shown to the gate before anything else refuses them: a
/// refusal that the gate hasn't seen may only be `Unknown`.
template <at_most_once_guards Guards>
class basic_at_most_once
{
public:
    basic_at_most_once(at_most_once_settings settings, const clock_source &clock);

    /// Mints a ticket for the caller; nothing while too many are out.
    [[nodiscard]] std::optional<std::string> mintTicket();

    [[nodiscard]] once_verdict onRequest(const once_request &request);

    /// Tells whether bytes of the call may leave now; asked immediately before each send.
    [[nodiscard]] bool mayDispatch(record_handle record) const;

    /// Notes that bytes of the call may have left.
    void onDispatched(record_handle record);

    /// Notes the end of the call and keeps the answer for resends. `NotRun` is final as well: the
    /// caller that wants to try again takes a new ticket or key.
    void onFinished(record_handle record, const final_answer &answer);

    /// Renews leases and drops what has expired; to be called about every 250 ms.
    void tick(std::vector<peer_message> &out);

    /// Takes a message of a peer's gate. Anything malformed is dropped and counted.
    void onPeerMessage(const vm_id &from, std::string_view bytes, std::vector<peer_message> &out);

    /// Takes the VMs of the own data centre, as listed and as seen. `listConfirmedAt` is when the
    /// platform last vouched for this list, be it to this node or to the peer that passed it on.
    void setMembers(std::span<const member> members, steady_time listConfirmedAt);

    /// Stops accepting bare keys and hands the shards over; part of a planned stop.
    void startLeaving();

    /// Tells whether nothing is left to hand over.
    [[nodiscard]] bool handedOver() const;

    /// Gives the shards whose keys this node accepts now; for the operator's view.
    [[nodiscard]] shard_bits heldShards() const { return m_home.held(); }

    /// Gives the shards of which a key that is issued now would be accepted here.
    [[nodiscard]] shard_bits certainShards() const { return m_home.certain(); }

    [[nodiscard]] std::size_t recordCount() const { return m_records.size(); }

    /// Counts peers' messages that were dropped as malformed.
    [[nodiscard]] std::uint64_t malformedMessages() const { return m_malformed; }

private:
    struct incoming_handover
    {
        vm_id from;
        orchidlead::incarnation holder = 0;
        std::vector<bool> parts;
    };

    [[nodiscard]] once_verdict onTicket(const once_request &request);
    [[nodiscard]] once_verdict onKey(const once_request &request);
    [[nodiscard]] once_verdict onNewTicket(const once_request &request, const ticket &value);
    [[nodiscard]] once_verdict onNewKey(const once_request &request, const idempotency_key &key,
                                        const std::string &id);
    [[nodiscard]] once_verdict onUncertain(const once_request &request, std::size_t shard,
                                           home_standing standing) const;
    [[nodiscard]] once_verdict accept(const once_request &request, const std::string &id,
                                      steady_time keepUntil);
    [[nodiscard]] static once_verdict known(const call_record &record, const once_request &request);
    void beginHandover(std::size_t shard);
    [[nodiscard]] std::vector<shard_handover> handoverParts(std::size_t shard,
                                                            const lease_cover &cover) const;
    [[nodiscard]] handed_record handed(const call_record &record) const;
    void updateSuccessor(const call_record &record);
    void endHandover(const handover_sender::ended &handover, std::vector<key_home_outgoing> &out);
    void onHandover(const vm_id &from, const shard_handover &message,
                    std::vector<key_home_outgoing> &out);
    [[nodiscard]] bool takeRecords(const shard_handover &message);
    [[nodiscard]] bool completes(const vm_id &from, const shard_handover &message);
    void onReply(const vm_id &from, const handover_reply &message,
                 std::vector<key_home_outgoing> &out);
    static void encode(const std::vector<key_home_outgoing> &messages,
                       std::vector<peer_message> &out);

    at_most_once_settings m_settings;
    const clock_source &m_clock;
    ticket_ledger m_ledger;
    call_records m_records;
    basic_key_home<Guards> m_home;
    handover_sender m_sender;
    shard_bits m_frozen = 0; // no new key is accepted: being handed over, or handed over
    std::map<std::size_t, vm_id> m_successors; // of shards that were handed over
    std::map<std::size_t, incoming_handover> m_incoming;
    std::vector<key_home_outgoing> m_queued; // until the next tick
    std::uint64_t m_malformed = 0;
    bool m_leaving = false;
};

using at_most_once = basic_at_most_once<every_guard>;

extern template class basic_at_most_once<every_guard>;

} // namespace orchidlead
