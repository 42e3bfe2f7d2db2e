#include "core/membership/membership_implementation.h"

#include <algorithm>
#include <unordered_set>

namespace orchidlead {

namespace {

/// Approximate number of hashes in a synchronisation request, which take 800 bytes.
constexpr std::size_t RecordsPerSlice = 200;
/// Records that a reply requests: as many as fit into two datagrams.
constexpr std::size_t MaxRequestedRecords = 32;
/// On average one in this many successive synchronisations is with any member; the others prefer
/// members of this data centre, since traffic between data centres is expensive.
constexpr std::size_t RemoteSyncPeriod = 4;

} // namespace

gossip_message membership::implementation::makeMessage(gossip_kind kind,
                                                       std::uint32_t sequence) const
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = member_table::toUpdate(self());
    message.configuration = configuration;
    message.digest = table.digest();
    if (vmListConfirmedAt) {
        const auto age = std::chrono::ceil<milliseconds>(clock.now() - *vmListConfirmedAt);
        message.listVersion = m_listVersion;
        message.listAge = milliseconds{std::min<std::int64_t>(age.count(), MaxListAge.count())};
    }
    if (kind == gossip_kind::Ping || kind == gossip_kind::Ack)
        message.application = application;
    return message;
}

// The state of the receiver comes first, so that a receiver that this node considers suspected or
// dead can refute it.
void membership::implementation::addReceiverState(gossip_message &message,
                                                  const member_record &receiver)
{
    if (receiver.generation > 0 && receiver.status != member_status::Alive)
        message.updates.push_back(member_table::toUpdate(receiver));
}

void membership::implementation::addQueuedUpdates(gossip_message &message, const vm_id &to)
{
    if (const auto *receiver = table.find(to))
        addReceiverState(message, *receiver);
    if (m_gossipQueue.empty() || !m_gossipRateLimiter.canSend(clock.now()))
        return;
    std::size_t bytes = 0;
    for (const auto &vm : m_gossipQueue.take(options.maxUpdates, transmitLimit())) {
        const auto *record = table.find(vm);
        if (!record || vm == to || isSelf(vm))
            continue;
        message.updates.push_back(member_table::toUpdate(*record));
        bytes += encodedSize(message.updates.back());
    }
    m_gossipRateLimiter.consume(bytes);
}

std::size_t membership::implementation::send(const socket_address &to,
                                             const gossip_message &message)
{
    std::string bytes = encodeGossip(message);
    if (options.authenticator)
        bytes = options.authenticator->seal(std::move(bytes));
    const std::size_t size = bytes.size() + DatagramHeaderBytes;
    counters.sentDatagrams++;
    counters.sentBytes += size;
    emit(gossip_datagram{to, std::move(bytes)});
    return size;
}

void membership::implementation::sendTo(const vm_id &vm, gossip_message message)
{
    const auto *record = table.find(vm);
    if (!record)
        return;
    // The receiver may have just started: no update of it is known, or it counts as dead. If the
    // platform is unreachable, it has no VM list and accepts messages only from members that
    // describe themselves.
    if (record->generation == 0 || record->status == member_status::Dead)
        describeSelf(message);
    addQueuedUpdates(message, vm);
    send(record->vm.peerAddress, message);
}

void membership::implementation::describeSelf(gossip_message &message) const
{
    message.sender.description = descriptionOf(options.self);
}

// A member that this node considers dead receives that state and refutes it in its answer.
void membership::implementation::contact(const std::vector<socket_address> &addresses)
{
    for (const auto &address : addresses) {
        auto message = makeMessage(gossip_kind::Ping, ++m_sequence);
        describeSelf(message);
        if (const auto *known = table.findAt(address))
            addReceiverState(message, *known);
        send(address, message);
    }
}

// Between probes, queued updates are sent to a few members at a time. Half of them prefer members
// of this data centre.
void membership::implementation::gossip()
{
    const auto now = clock.now();
    if (now < m_nextGossip)
        return;
    m_nextGossip = now + options.gossipInterval;
    if (m_gossipQueue.empty())
        return;
    if (!m_gossipRateLimiter.canSend(now)) {
        counters.rateLimited++;
        return;
    }
    std::vector<vm_id> receivers = pickMembers(options.gossipFanout / 2, true, vm_id{});
    for (const auto &vm : pickMembers(options.gossipFanout - receivers.size(), false, vm_id{}))
        receivers.push_back(vm);
    for (const auto &vm : receivers) {
        if (m_gossipQueue.empty())
            break;
        auto message = makeMessage(gossip_kind::Gossip, 0);
        addQueuedUpdates(message, vm);
        m_gossipRateLimiter.consume(send(table.find(vm)->vm.peerAddress, message));
    }
}

void membership::implementation::maybeSync(const gossip_message &message)
{
    const auto now = clock.now();
    if (now < m_nextSync || message.digest == table.digest())
        return;
    m_nextSync = now + m_syncInterval;
    sync(message.sender.vm);
}

// The hashes take a tenth of the bytes of the records. Tables that differ little are therefore
// cheap to synchronise, and each record is sent about once to each node that lacks it.
void membership::implementation::sync(const vm_id &peer)
{
    const auto *partner = table.find(peer);
    if (!partner)
        return;
    if (!m_syncRateLimiter.canSend(clock.now())) {
        counters.rateLimited++;
        return;
    }
    auto message = makeMessage(gossip_kind::Sync, 0);
    const auto count = 1 + table.all().size() / RecordsPerSlice;
    message.slice.count = static_cast<std::uint32_t>(std::min<std::size_t>(count, MaxTableSlices));
    message.slice.index = m_syncSlice % message.slice.count;
    for (const auto &[vm, record] : table.all()) {
        if (record.generation == 0 || message.hashes.size() >= MaxGossipHashes)
            continue;
        if (const auto hash = recordHash(record); message.slice.includes(hash))
            message.hashes.push_back(hash);
    }
    m_syncRateLimiter.consume(send(partner->vm.peerAddress, message));
}

// Missing records are sent in random order. Nodes that start together synchronise with the same few
// peers, and can then get the remaining records from each other.
void membership::implementation::onSync(const gossip_message &message)
{
    if (!m_syncRateLimiter.canSend(clock.now())) {
        counters.rateLimited++;
        return;
    }
    std::unordered_set<std::uint32_t> requested(message.hashes.begin(), message.hashes.end());
    std::vector<const member_record *> missing;
    for (const auto &[vm, record] : table.all()) {
        const auto hash = recordHash(record);
        if (record.generation == 0 || !message.slice.includes(hash))
            continue;
        if (requested.erase(hash) == 0)
            missing.push_back(&record);
    }
    std::shuffle(missing.begin(), missing.end(), m_random);
    auto reply = makeMessage(gossip_kind::SyncReply, 0);
    reply.slice = message.slice;
    for (const auto hash : requested) {
        if (reply.hashes.size() < MaxRequestedRecords)
            reply.hashes.push_back(hash);
    }
    reply.truncated = addRecords(reply, missing) < missing.size();
    m_syncRateLimiter.consume(send(table.find(message.sender.vm)->vm.peerAddress, reply));
}

// A member that the receiver lacks may not be on its VM list, so each record has a description.
std::size_t
membership::implementation::addRecords(gossip_message &message,
                                       std::span<const member_record *const> records) const
{
    std::size_t bytes = encodeGossip(message).size();
    for (const auto *record : records) {
        auto update = member_table::toUpdate(*record);
        update.description = descriptionOf(record->vm);
        bytes += encodedSize(update);
        if (bytes > options.maxDatagramBytes || message.updates.size() >= MaxGossipUpdates)
            break;
        message.updates.push_back(std::move(update));
    }
    return message.updates.size();
}

void membership::implementation::sendRequested(const gossip_message &message)
{
    const std::unordered_set<std::uint32_t> requested(message.hashes.begin(), message.hashes.end());
    std::vector<const member_record *> records;
    for (const auto &[vm, record] : table.all()) {
        if (record.generation > 0 && requested.contains(recordHash(record)))
            records.push_back(&record);
    }
    std::span<const member_record *const> remaining = records;
    while (!remaining.empty() && m_syncRateLimiter.canSend(clock.now())) {
        auto rest = makeMessage(gossip_kind::SyncRest, 0);
        const auto sent = addRecords(rest, remaining);
        if (sent == 0)
            return;
        remaining = remaining.subspan(sent);
        m_syncRateLimiter.consume(send(table.find(message.sender.vm)->vm.peerAddress, rest));
    }
}

// While a reply changes the table or was truncated, the next synchronisation starts at once, with
// another member to spread the load. A pass over all slices without a change doubles the interval,
// since tables differ permanently where VM lists differ.
void membership::implementation::onSyncReply(const gossip_message &message, bool tableChanged)
{
    constexpr int MaxSyncBackoff = 16;
    if (!message.hashes.empty())
        sendRequested(message);
    if (tableChanged || message.truncated) {
        m_syncInterval = options.syncInterval;
        m_nextSync = clock.now() + m_syncInterval;
        const auto next = pickMembers(1, random(RemoteSyncPeriod) > 0, vm_id{});
        sync(next.empty() ? message.sender.vm : next.front());
        return;
    }
    ++m_syncSlice;
    if (m_syncSlice % message.slice.count != 0 && message.digest != table.digest())
        sync(message.sender.vm);
    else
        m_syncInterval = std::min(m_syncInterval * 2, options.syncInterval * MaxSyncBackoff);
}

void membership::implementation::announce()
{
    std::vector<socket_address> receivers;
    for (const auto &[vm, record] : table.all()) {
        const bool isLocal = record.vm.dataCenter == options.self.dataCenter;
        if (isLocal && !isSelf(vm) && record.status != member_status::Dead)
            receivers.push_back(record.vm.peerAddress);
    }
    const auto message = makeMessage(gossip_kind::Gossip, 0);
    for (const auto &address : receivers)
        send(address, message);
}

void membership::implementation::announceLeaving()
{
    const auto before = self().toMember();
    self().leaving = true;
    raiseGeneration(self().generation);
    reportChange(self(), before);
    announce();
}

void membership::implementation::announceStopped()
{
    self().leaving = true;
    self().status = member_status::Dead;
    raiseGeneration(self().generation);
    announce();
    const auto message = makeMessage(gossip_kind::Gossip, 0);
    for (const auto &vm : pickMembers(options.indirectProbes, false, vm_id{}))
        send(table.find(vm)->vm.peerAddress, message);
    m_stopped = true;
}

} // namespace orchidlead
