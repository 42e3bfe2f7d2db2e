#pragma once

#include "core/engine_types.h"

#include <orchidlead/at_most_once_guards.h>
#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/membership.h>
#include <orchidlead/outcome.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The gate in front of the request engine for calls that may not be repeated.
namespace orchidlead {

/// Names a record of the gate; valid until the record is dropped, and never reused.
struct record_handle
{
    std::uint64_t value = 0;

    friend auto operator<=>(const record_handle &, const record_handle &) = default;
};

/// A call that may not be repeated, as it came in.
struct once_request
{
    customer_id customer;
    data_center_id homeDataCenter; ///< of the customer, as published; empty: the node's own
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
    ~basic_at_most_once();

    basic_at_most_once(const basic_at_most_once &) = delete;
    basic_at_most_once &operator=(const basic_at_most_once &) = delete;

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

private:
    struct state;
    std::unique_ptr<state> m_state;
};

using at_most_once = basic_at_most_once<every_guard>;

} // namespace orchidlead
