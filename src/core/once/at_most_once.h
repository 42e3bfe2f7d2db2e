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

/// The at-most-once gate (`basic_at_most_once`): checks non-repeatable calls before the request
/// engine runs them.
namespace orchidlead {

/// A non-repeatable call, as received.
struct non_repeatable_request
{
    customer_id customer;
    /// Home data centre of the customer, as published; empty if unknown on this node.
    data_center_id homeDataCenter;
    std::optional<std::string> ticket; ///< text form
    std::optional<std::string> key; ///< text form; ignored if there is a ticket
    std::uint64_t digest = 0; ///< of the pipeline and the input
    steady_time deadline;
    bool forwarded = false; ///< by a peer; not forwarded again
};

/// Verdict: this node runs the call. `onFinished` must follow exactly once.
struct run_locally
{
    record_handle record;
};

/// Verdict: the call is already in flight on this node. The caller gets the answer of that call.
struct attach_to_call
{
    record_handle record;
};

/// Verdict: the call has already ended. The caller gets the stored answer.
struct return_stored_answer
{
    final_answer answer;
};

enum class forward_kind { Ticket, Key };

template <>
inline constexpr std::array enumNames<forward_kind>{
    enum_name<forward_kind>{forward_kind::Ticket, "ticket"},
    enum_name<forward_kind>{forward_kind::Key, "key"},
};

/// Verdict: another node decides. If it cannot be reached, the answer to the caller is `Unknown`
/// with `HomeUnreachable`, never `NotRun`: the request may be a resend of a call that ran.
struct forward_to
{
    vm_id vm; ///< empty: any live VM of `dataCenter`
    data_center_id dataCenter;
    forward_kind kind = forward_kind::Key;
};

/// Verdict: the request is refused and runs nothing.
struct refuse_call
{
    orchidlead::outcome outcome = outcome::Unknown;
    refusal_reason reason = refusal_reason::None;
    std::string detail; ///< human-readable
    std::optional<milliseconds> retryAfter;
};

using at_most_once_verdict =
    std::variant<run_locally, attach_to_call, return_stored_answer, forward_to, refuse_call>;

/// Action: send these bytes to the at-most-once gate (`basic_at_most_once`) of a peer. The protocol
/// tolerates loss, duplication and reordering of messages.
struct peer_message
{
    vm_id to;
    std::string bytes;
    bool bulk = false; ///< too long for a datagram; use TCP
};

struct at_most_once_settings
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;
    data_center_id dataCenter;
    /// How long a ticket (`ticket`) or idempotency key may be used after it was issued.
    milliseconds window{600'000};
    /// Largest difference between the wall clocks of two machines.
    milliseconds clockSkew{1'000};
    milliseconds lease{12'000};
    milliseconds renewal{4'000};
    /// A VM list that was not confirmed for longer than this is not used.
    milliseconds maxListAge{60'000};
    /// How long a replaced VM list counts: at least twice `maxListAge`, plus the lease, plus the
    /// time until a new list reaches all nodes.
    milliseconds listMemory{150'000};
    std::size_t maxRecords = 100'000;
    std::size_t maxAnswerBytes = 16U << 20U; ///< total of all stored answers
    std::size_t maxTickets = 100'000; ///< issued by this process and not yet expired
};

/// The at-most-once gate of a node: decides for each non-repeatable call whether this node runs it.
///
/// A caller may send a call with a ticket, which a node has issued, or with an idempotency key,
/// which the caller has chosen.
///
/// Guarantees: over all nodes, the call of a ticket or key runs at most once. `NotRun` is reported
/// for a ticket or key only if no node has run the call and none will. A request without ticket and
/// key runs once on this node, and a resend of it is not recognised.
///
/// A request with a ticket or key must pass the gate before any other check may refuse it. The
/// outcome of a refusal that the gate has not recorded must be `Unknown`.
template <at_most_once_guards Guards>
class basic_at_most_once
{
public:
    basic_at_most_once(at_most_once_settings settings, const clock_source &clock);

    /// Issues (mints) a ticket for the caller, which this process accepts for one call. Returns
    /// nothing while `maxTickets` are valid.
    [[nodiscard]] std::optional<std::string> mintTicket();

    [[nodiscard]] at_most_once_verdict onRequest(const non_repeatable_request &request);

    /// Whether the call may be sent now. Must be checked immediately before each send.
    [[nodiscard]] bool mayDispatch(record_handle record) const;

    /// Records that bytes of the call may have been sent.
    void onDispatched(record_handle record);

    /// Records the end of the call and stores the answer for resends. `NotRun` is final too: a
    /// caller that retries must use a new ticket or key.
    void onFinished(record_handle record, const final_answer &answer);

    /// Renews leases and drops expired records. Must be called about every 250 ms.
    void tick(std::vector<peer_message> &out);

    /// Processes a message of the at-most-once gate of a peer. Malformed messages are dropped and
    /// counted.
    void onPeerMessage(const vm_id &from, std::string_view bytes, std::vector<peer_message> &out);

    /// Sets the VMs of this node's data centre, with the state of each as seen by this node.
    /// `vmListConfirmedAt` is the time when the platform last confirmed the VM list, either to this
    /// node or to the peer that relayed it.
    void setMembers(std::span<const member> members, steady_time vmListConfirmedAt);

    /// Stops accepting idempotency keys and starts to hand over the shards, as part of a planned
    /// stop.
    void startKeyHandover();

    /// Whether this node is leaving and all handovers have ended.
    [[nodiscard]] bool keysHandedOver() const;

    /// Returns the shards on which this node has a valid lease; shown to operators.
    [[nodiscard]] shard_bits heldShards() const { return m_home.held(); }

    /// Returns the shards of which a key that is issued now would be accepted by this node.
    [[nodiscard]] shard_bits shardsAcceptingNewKeys() const { return m_home.certain(); }

    [[nodiscard]] std::size_t recordCount() const { return m_records.size(); }

    /// Returns the number of malformed messages that were dropped.
    [[nodiscard]] std::uint64_t malformedMessages() const { return m_malformed; }

private:
    struct incoming_handover
    {
        vm_id from;
        orchidlead::incarnation holder = 0;
        std::vector<bool> parts;
    };

    [[nodiscard]] at_most_once_verdict onTicket(const non_repeatable_request &request);
    [[nodiscard]] at_most_once_verdict onKey(const non_repeatable_request &request);
    [[nodiscard]] at_most_once_verdict onNewTicket(const non_repeatable_request &request,
                                                   const ticket &value);
    [[nodiscard]] at_most_once_verdict onNewKey(const non_repeatable_request &request,
                                                const idempotency_key &key, const std::string &id);
    [[nodiscard]] at_most_once_verdict onUncertain(const non_repeatable_request &request,
                                                   std::size_t shard,
                                                   key_admission admission) const;
    [[nodiscard]] at_most_once_verdict accept(const non_repeatable_request &request,
                                              const std::string &id, steady_time keepUntil);
    [[nodiscard]] static at_most_once_verdict
    verdictOnRecord(const call_record &record, const non_repeatable_request &request);
    void beginHandover(std::size_t shard);
    [[nodiscard]] std::vector<shard_handover> handoverParts(std::size_t shard,
                                                            const lease_coverage &coverage) const;
    [[nodiscard]] handover_record toHandedRecord(const call_record &record) const;
    void updateSuccessor(const call_record &record);
    void endHandover(const handover_sender::ended_handover &handover,
                     std::vector<key_home_outgoing> &out);
    void onHandover(const vm_id &from, const shard_handover &message,
                    std::vector<key_home_outgoing> &out);
    [[nodiscard]] bool storeRecords(const shard_handover &message);
    [[nodiscard]] bool addPart(const vm_id &from, const shard_handover &message);
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
    shard_bits m_frozenShards = 0; // accept no new key; handover begun or done
    std::map<std::size_t, vm_id> m_successors; // by shard that was handed over
    std::map<std::size_t, incoming_handover> m_incoming;
    std::vector<key_home_outgoing> m_pendingMessages; // until the next tick
    std::uint64_t m_malformed = 0;
    bool m_leaving = false;
};

using at_most_once = basic_at_most_once<every_guard>;

extern template class basic_at_most_once<every_guard>;

} // namespace orchidlead
