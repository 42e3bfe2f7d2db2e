#pragma once

#include "core/once/at_most_once.h"
#include "core/once/key_home_definitions.h"
#include "core/requests/answer_codec.h"

#include <algorithm>
#include <utility>

/// Definitions of the member functions of `basic_at_most_once`. They are in a header so that tests
/// can instantiate them with single guards of the at-most-once protocol disabled.
namespace orchidlead {

namespace at_most_once_detail {

inline constexpr std::size_t MaxCustomerBytes = 128;
inline constexpr std::size_t MaxHandedOutputBytes = 256U << 10U;
inline constexpr std::size_t HandoverPartBytes = 64U << 10U;
inline constexpr std::size_t MaxSuccessorAttempts = 3;
inline constexpr std::size_t MaxDatagramBytes = 1'200;

inline refuse_call refusal(outcome ended, refusal_reason reason, std::string detail,
                           std::optional<milliseconds> retryAfter = std::nullopt)
{
    return {ended, reason, std::move(detail), retryAfter};
}

// The zero byte makes the id unambiguous: neither a customer's name nor a key holds one.
inline std::string keyRecordId(const customer_id &customer, const idempotency_key &key)
{
    return "k" + customer.value + '\0' + key.text;
}

inline bool isKeyRecordId(std::string_view id)
{
    return id.starts_with('k');
}

inline std::uint64_t scopedDigest(const non_repeatable_request &request)
{
    return request.digest ^ rendezvousWeight("digest", request.customer.value);
}

inline std::int64_t unixMilliseconds(wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

inline key_home_settings homeSettings(const at_most_once_settings &settings)
{
    return {settings.vm,        settings.incarnation, settings.lease,     settings.renewal,
            settings.clockSkew, settings.maxListAge,  settings.listMemory};
}

} // namespace at_most_once_detail

template <at_most_once_guards Guards>
basic_at_most_once<Guards>::basic_at_most_once(at_most_once_settings settings,
                                               const clock_source &clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_ledger(m_settings.vm, m_settings.incarnation, m_settings.window, m_settings.maxTickets,
               clock)
    , m_records(m_settings.maxRecords, m_settings.maxAnswerBytes)
    , m_home(at_most_once_detail::homeSettings(m_settings), clock)
    , m_sender(clock)
{ }

template <at_most_once_guards Guards>
std::optional<std::string> basic_at_most_once<Guards>::mintTicket()
{
    const auto minted = m_ledger.mint();
    if (!minted)
        return std::nullopt;
    return toText(*minted);
}

template <at_most_once_guards Guards>
at_most_once_verdict basic_at_most_once<Guards>::onRequest(const non_repeatable_request &request)
{
    if (request.ticket)
        return onTicket(request);
    if (request.key)
        return onKey(request);
    return accept(request, {}, m_clock.now());
}

template <at_most_once_guards Guards>
at_most_once_verdict basic_at_most_once<Guards>::onTicket(const non_repeatable_request &request)
{
    const auto parsed = parseTicket(*request.ticket);
    if (!parsed) {
        return at_most_once_detail::refusal(outcome::NotRun, refusal_reason::InvalidRequest,
                                            "ticket: " + std::string{toName(parsed.error())});
    }
    const ticket &value = parsed.value();
    const call_record *record = m_records.find(toText(value));
    if (record != nullptr && Guards::TicketRunsOnce)
        return verdictOnRecord(*record, request);
    return onNewTicket(request, value);
}

// A ticket is valid only in the process that minted it, which keeps the record of its call. If it
// is not valid here, the call may have run, or may still run, in that process. The outcome is
// therefore `Unknown`.
template <at_most_once_guards Guards>
at_most_once_verdict basic_at_most_once<Guards>::onNewTicket(const non_repeatable_request &request,
                                                             const ticket &value)
{
    using at_most_once_detail::refusal;
    switch (m_ledger.status(value)) {
    case ticket_status::Valid:
        return accept(request, toText(value), m_ledger.expiry(value));
    case ticket_status::OtherVm:
        if (!request.forwarded)
            return forward_to{value.vm, {}, forward_kind::Ticket};
        return refusal(outcome::Unknown, refusal_reason::HomeUnreachable,
                       "the ticket belongs to another VM");
    case ticket_status::OtherIncarnation:
        if (!Guards::TicketIncarnationIsChecked)
            return accept(request, toText(value), m_clock.now() + m_settings.window);
        return refusal(outcome::Unknown, refusal_reason::HomeUnreachable,
                       "the process that minted the ticket is gone");
    case ticket_status::NeverMinted:
        return refusal(outcome::Unknown, refusal_reason::InvalidRequest,
                       "the ticket was never minted");
    case ticket_status::Expired:
        return refusal(outcome::Unknown, refusal_reason::KeyExpired, "the ticket has expired");
    }
    return refusal(outcome::Unknown, refusal_reason::Internal, {});
}

template <at_most_once_guards Guards>
at_most_once_verdict basic_at_most_once<Guards>::onKey(const non_repeatable_request &request)
{
    using at_most_once_detail::refusal;
    const auto key = parseIdempotencyKey(*request.key);
    if (!key) {
        return refusal(outcome::NotRun, refusal_reason::InvalidRequest,
                       "idempotency key: " + std::string{toName(key.error())});
    }
    if (request.customer.value.size() > at_most_once_detail::MaxCustomerBytes)
        return refusal(outcome::NotRun, refusal_reason::InvalidRequest, "customer: too long");
    const auto id = at_most_once_detail::keyRecordId(request.customer, key.value());
    if (const call_record *record = m_records.find(id))
        return verdictOnRecord(*record, request);
    return onNewKey(request, key.value(), id);
}

template <at_most_once_guards Guards>
at_most_once_verdict basic_at_most_once<Guards>::onNewKey(const non_repeatable_request &request,
                                                          const idempotency_key &key,
                                                          const std::string &id)
{
    using at_most_once_detail::refusal;
    const auto wall = m_clock.wallNow();
    if (Guards::OldKeysAreRefused && key.issued + m_settings.window <= wall)
        return refusal(outcome::Unknown, refusal_reason::KeyExpired, "the key is too old");
    if (request.homeDataCenter.empty()) {
        return refusal(outcome::Unknown, refusal_reason::HomeUncertain,
                       "the customer's home data centre isn't known here", m_settings.renewal);
    }
    const bool elsewhere = request.homeDataCenter != m_settings.dataCenter;
    if (elsewhere && !request.forwarded)
        return forward_to{{}, request.homeDataCenter, forward_kind::Key};
    const std::size_t shard = shardOf(id);
    auto admission = m_home.admission(shard, key.issued);
    if (elsewhere || (m_frozenShards & shardBit(shard)) != 0)
        admission = key_admission::NoLease;
    if (admission != key_admission::Certain)
        return onUncertain(request, shard, admission);
    const auto left = key.issued + m_settings.window - wall + 2 * m_settings.clockSkew;
    return accept(request, id,
                  m_clock.now() + std::chrono::duration_cast<steady_time::duration>(left));
}

// The request may be a resend of a call that another node has run or is about to run. This node
// cannot prove `NotRun`.
template <at_most_once_guards Guards>
at_most_once_verdict basic_at_most_once<Guards>::onUncertain(const non_repeatable_request &request,
                                                             std::size_t shard,
                                                             key_admission admission) const
{
    using at_most_once_detail::refusal;
    const outcome ended = Guards::UncertainMeansUnknown ? outcome::Unknown : outcome::NotRun;
    if (admission == key_admission::IssuedInFuture) {
        return refusal(ended, refusal_reason::InvalidRequest,
                       "the key's time of issue is in the future");
    }
    if (admission == key_admission::IssuedBeforeLease) {
        return refusal(ended, refusal_reason::HomeUncertain,
                       "an earlier home of the key may have run it; it won't be run any more");
    }
    const auto successor = m_successors.find(shard);
    const auto home =
        successor == m_successors.end() ? m_home.probableHome(shard) : successor->second;
    if (!request.forwarded && !home.empty() && home != m_settings.vm)
        return forward_to{home, m_settings.dataCenter, forward_kind::Key};
    return refusal(ended, refusal_reason::HomeUncertain, "no node is sure to be the key's home",
                   m_settings.renewal);
}

// If there is no room for a record, the refusal cannot be recorded, and a delayed copy of the
// request could run later. The outcome is therefore `Unknown` for a call with a ticket or key.
template <at_most_once_guards Guards>
at_most_once_verdict basic_at_most_once<Guards>::accept(const non_repeatable_request &request,
                                                        const std::string &id,
                                                        steady_time keepUntil)
{
    call_record record;
    record.id = id;
    record.digest = at_most_once_detail::scopedDigest(request);
    record.deadline = request.deadline;
    record.keepUntil = keepUntil;
    if (const call_record *added = m_records.add(std::move(record)))
        return run_locally{added->handle};
    const outcome ended = id.empty() ? outcome::NotRun : outcome::Unknown;
    return at_most_once_detail::refusal(ended, refusal_reason::Overloaded,
                                        "too many calls are remembered", m_settings.renewal);
}

template <at_most_once_guards Guards>
at_most_once_verdict
basic_at_most_once<Guards>::verdictOnRecord(const call_record &record,
                                            const non_repeatable_request &request)
{
    using at_most_once_detail::refusal;
    if (record.digest != at_most_once_detail::scopedDigest(request)) {
        return refusal(outcome::NotRun, refusal_reason::InvalidRequest,
                       "the key or ticket was used for another request");
    }
    switch (record.state) {
    case call_state::Accepted:
    case call_state::Dispatched:
        return attach_to_call{record.handle};
    case call_state::HandedOver:
        return refusal(outcome::Unknown, refusal_reason::KeyInUse,
                       "in flight at the key's previous home", milliseconds{1'000});
    case call_state::Finished:
        break;
    }
    if (record.answerable())
        return return_stored_answer{record.answer};
    return refusal(outcome::Failed, refusal_reason::KeyInUse,
                   "the call was answered, and the answer is no longer kept");
}

// Checks only the local record. Once this node has accepted a key, no other node accepts it, so a
// pause between this check and the send is harmless (docs/DESIGN.md).
template <at_most_once_guards Guards>
bool basic_at_most_once<Guards>::mayDispatch(record_handle record) const
{
    const call_record *found = m_records.find(record);
    if (found == nullptr || m_clock.now() >= found->deadline)
        return false;
    return found->state == call_state::Accepted || found->state == call_state::Dispatched;
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::onDispatched(record_handle record)
{
    call_record *found = m_records.find(record);
    if (found != nullptr && found->state == call_state::Accepted)
        found->state = call_state::Dispatched;
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::onFinished(record_handle record, const final_answer &answer)
{
    call_record *found = m_records.find(record);
    if (found == nullptr)
        return;
    const bool forget = answer.outcome == outcome::NotRun && !Guards::RefusalIsFinal;
    if (found->id.empty() || forget) {
        m_records.drop(record);
        return;
    }
    m_records.finish(*found, answer);
    updateSuccessor(*found);
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::tick(std::vector<peer_message> &out)
{
    m_ledger.tick();
    m_records.expire(m_clock.now());
    std::vector<key_home_outgoing> messages = std::move(m_pendingMessages);
    m_pendingMessages.clear();
    m_home.tick(messages);
    for (const auto &failed : m_sender.tick(messages))
        endHandover(failed, messages);
    encode(messages, out);
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::onPeerMessage(const vm_id &from, std::string_view bytes,
                                               std::vector<peer_message> &out)
{
    const auto decoded = decodeKeyHomeMessage(bytes);
    if (!decoded) {
        ++m_malformed;
        return;
    }
    std::vector<key_home_outgoing> messages;
    const key_home_message &message = decoded.value();
    if (const auto *request = std::get_if<lease_request>(&message))
        m_home.onRequest(from, *request, messages);
    else if (const auto *vote = std::get_if<lease_vote>(&message))
        m_home.onVote(from, *vote);
    else if (const auto *release = std::get_if<lease_release>(&message))
        m_home.onRelease(from, *release);
    else if (const auto *handover = std::get_if<shard_handover>(&message))
        onHandover(from, *handover, messages);
    else if (const auto *reply = std::get_if<handover_reply>(&message))
        onReply(from, *reply, messages);
    encode(messages, out);
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::encode(const std::vector<key_home_outgoing> &messages,
                                        std::vector<peer_message> &out)
{
    for (const auto &each : messages) {
        std::string bytes = encodeKeyHomeMessage(each.message);
        const bool bulk = bytes.size() > at_most_once_detail::MaxDatagramBytes;
        out.push_back({each.to, std::move(bytes), bulk});
    }
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::setMembers(std::span<const member> members,
                                            steady_time vmListConfirmedAt)
{
    m_home.setMembers(members, vmListConfirmedAt);
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::startKeyHandover()
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_home.startKeyHandover();
    for (std::size_t shard = 0; shard < ShardCount; ++shard)
        beginHandover(shard);
}

// This node accepts no new key of the shard from now on, so the records and the lease's
// coverage (`lease_coverage`) that are handed over are complete.
template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::beginHandover(std::size_t shard)
{
    m_frozenShards |= shardBit(shard);
    const auto coverage = m_home.coverage(shard);
    if (!coverage)
        return;
    auto parts = handoverParts(shard, *coverage);
    auto successors = m_home.successors(shard);
    if (successors.size() > at_most_once_detail::MaxSuccessorAttempts)
        successors.resize(at_most_once_detail::MaxSuccessorAttempts);
    if (parts.size() > MaxHandoverParts)
        successors.clear();
    m_sender.begin(shard, std::move(parts), std::move(successors));
}

template <at_most_once_guards Guards>
std::vector<shard_handover>
basic_at_most_once<Guards>::handoverParts(std::size_t shard, const lease_coverage &coverage) const
{
    const shard_handover head{m_settings.incarnation,
                              static_cast<std::uint32_t>(shard),
                              0,
                              1,
                              at_most_once_detail::unixMilliseconds(coverage.since),
                              at_most_once_detail::unixMilliseconds(coverage.until),
                              {}};
    std::vector<shard_handover> parts{head};
    std::size_t bytes = 0;
    m_records.forEach([&](const call_record &record) {
        if (!at_most_once_detail::isKeyRecordId(record.id) || shardOf(record.id) != shard)
            return;
        if (bytes > at_most_once_detail::HandoverPartBytes
            || parts.back().records.size() >= MaxRecordsInPart) {
            parts.push_back(head);
            bytes = 0;
        }
        parts.back().records.push_back(toHandedRecord(record));
        bytes += record.id.size() + parts.back().records.back().answer.size();
    });
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = static_cast<std::uint32_t>(i);
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

template <at_most_once_guards Guards>
handover_record basic_at_most_once<Guards>::toHandedRecord(const call_record &record) const
{
    const auto left = std::chrono::ceil<milliseconds>(record.keepUntil - m_clock.now());
    handover_record out;
    out.id = record.id;
    out.digest = record.digest;
    out.remainingRetentionMilliseconds = std::max(left, milliseconds{0}).count();
    out.finished = record.state == call_state::Finished;
    if (out.finished)
        out.answer = encodeAnswer(record.answer, at_most_once_detail::MaxHandedOutputBytes);
    return out;
}

// Sends the outcome of a call that was in flight at the handover to the new home. If this message
// is lost, the new home continues to answer `Unknown`, which is correct.
template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::updateSuccessor(const call_record &record)
{
    if (!at_most_once_detail::isKeyRecordId(record.id))
        return;
    const std::size_t shard = shardOf(record.id);
    const auto successor = m_successors.find(shard);
    if (successor == m_successors.end())
        return;
    shard_handover update;
    update.holder = m_settings.incarnation;
    update.shard = static_cast<std::uint32_t>(shard);
    update.records.push_back(toHandedRecord(record));
    m_pendingMessages.push_back({successor->second, std::move(update)});
}

template <at_most_once_guards Guards>
bool basic_at_most_once<Guards>::keysHandedOver() const
{
    return m_leaving && m_sender.idle() && m_pendingMessages.empty();
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::endHandover(const handover_sender::ended_handover &handover,
                                             std::vector<key_home_outgoing> &out)
{
    m_home.endLease(handover.shard, handover.successor, out);
    if (handover.successor)
        m_successors[handover.shard] = handover.successor->holder.vm;
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::onReply(const vm_id &from, const handover_reply &message,
                                         std::vector<key_home_outgoing> &out)
{
    if (const auto done = m_sender.onReply(from, message))
        endHandover(*done, out);
}

template <at_most_once_guards Guards>
void basic_at_most_once<Guards>::onHandover(const vm_id &from, const shard_handover &message,
                                            std::vector<key_home_outgoing> &out)
{
    const bool update = message.leaseEnd == 0;
    const bool stored = storeRecords(message) && (update || m_home.eligible());
    if (update)
        return;
    out.push_back({from,
                   handover_reply{message.holder, message.shard, message.part,
                                  m_settings.incarnation, m_home.nextRound(), stored}});
    if (!stored || !addPart(from, message))
        return;
    const lease_coverage coverage{wall_time{milliseconds{message.coveredSince}},
                                  wall_time{milliseconds{message.leaseEnd}}};
    m_home.inheritCoverage(message.shard, coverage);
}

// Stores the records even if the handover fails later: an additional record is harmless.
template <at_most_once_guards Guards>
bool basic_at_most_once<Guards>::storeRecords(const shard_handover &message)
{
    for (const auto &each : message.records) {
        call_record *record = m_records.find(each.id);
        if (record == nullptr) {
            call_record added;
            added.id = each.id;
            added.digest = each.digest;
            added.state = call_state::HandedOver;
            added.keepUntil = m_clock.now() + milliseconds{each.remainingRetentionMilliseconds};
            record = m_records.add(std::move(added));
        }
        if (record == nullptr)
            return false;
        const auto answer = decodeAnswer(each.answer);
        if (each.finished && answer && record->state == call_state::HandedOver)
            m_records.finish(*record, *answer);
    }
    return true;
}

// Returns whether all parts of the handover have arrived.
template <at_most_once_guards Guards>
bool basic_at_most_once<Guards>::addPart(const vm_id &from, const shard_handover &message)
{
    incoming_handover &incoming = m_incoming[message.shard];
    const bool same = incoming.from == from && incoming.holder == message.holder
        && incoming.parts.size() == message.parts;
    if (!same)
        incoming = {from, message.holder, std::vector<bool>(message.parts, false)};
    incoming.parts[message.part] = true;
    return std::find(incoming.parts.begin(), incoming.parts.end(), false) == incoming.parts.end();
}

} // namespace orchidlead
