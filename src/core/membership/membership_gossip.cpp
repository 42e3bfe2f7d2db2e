#include "core/membership/membership_implementation.h"

#include <algorithm>
#include <unordered_set>

namespace orchidlead {

namespace {

/// Hashes in one question of synchronisation, about: 800 bytes.
constexpr std::size_t SliceRecords = 200;
/// Records that a reply asks for: as many as fit into two datagrams.
constexpr std::size_t WantedAtOnce = 32;
/// One in so many questions that follow each other goes anywhere, the others to the own data centre
/// if it has members: bytes between data centres are dear.
constexpr std::size_t RemoteSyncs = 4;

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
    if (listConfirmedAt) {
        const auto age = std::chrono::ceil<milliseconds>(clock.now() - *listConfirmedAt);
        message.listVersion = m_listVersion;
        message.listAge = milliseconds{std::min<std::int64_t>(age.count(), MaxListAge.count())};
    }
    if (kind == gossip_kind::Ping || kind == gossip_kind::Ack)
        message.application = application;
    return message;
}

// What this node believes of the receiver goes first, so that a member which is suspected, or dead
// for us, hears of it and can refute.
void membership::implementation::addBelief(gossip_message &message, const member_record &receiver)
{
    if (receiver.generation > 0 && receiver.status != member_status::Alive)
        message.updates.push_back(member_table::toUpdate(receiver));
}

void membership::implementation::addNews(gossip_message &message, const vm_id &to)
{
    if (const auto *receiver = table.find(to))
        addBelief(message, *receiver);
    if (m_news.empty() || !m_allowance.open(clock.now()))
        return;
    std::size_t bytes = 0;
    for (const auto &vm : m_news.take(options.maxUpdates, newsLimit())) {
        const auto *record = table.find(vm);
        if (!record || vm == to || isSelf(vm))
            continue;
        message.updates.push_back(member_table::toUpdate(*record));
        bytes += encodedSize(message.updates.back());
    }
    m_allowance.spend(bytes);
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
    // A process that has just started may have no list, because the platform can't be reached: it
    // learns from whoever probes it.
    if (record->generation == 0 || record->status == member_status::Dead)
        describeSelf(message);
    addNews(message, vm);
    send(record->vm.peerAddress, message);
}

void membership::implementation::describeSelf(gossip_message &message) const
{
    message.sender.description = descriptionOf(options.self);
}

// Who is taken for dead here hears of it, and refutes it with the answer.
void membership::implementation::contact(const std::vector<socket_address> &addresses)
{
    for (const auto &address : addresses) {
        auto message = makeMessage(gossip_kind::Ping, ++m_sequence);
        describeSelf(message);
        if (const auto *known = table.findAt(address))
            addBelief(message, *known);
        send(address, message);
    }
}

// Between probes, news goes to a few members at once; without news nothing is sent. Every second
// datagram stays in the data centre.
void membership::implementation::gossip()
{
    const auto now = clock.now();
    if (now < m_nextGossip)
        return;
    m_nextGossip = now + options.gossipInterval;
    if (m_news.empty())
        return;
    if (!m_allowance.open(now)) {
        counters.heldBack++;
        return;
    }
    std::vector<vm_id> receivers = pickMembers(options.gossipFanout / 2, true, vm_id{});
    for (const auto &vm : pickMembers(options.gossipFanout - receivers.size(), false, vm_id{}))
        receivers.push_back(vm);
    for (const auto &vm : receivers) {
        if (m_news.empty())
            break;
        auto message = makeMessage(gossip_kind::Gossip, 0);
        addNews(message, vm);
        m_allowance.spend(send(table.find(vm)->vm.peerAddress, message));
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

// The hashes of a table are a tenth of it. So tables that differ little cost little, and each
// record goes over the wire about once for each node that lacks it.
void membership::implementation::sync(const vm_id &with)
{
    const auto *partner = table.find(with);
    if (!partner)
        return;
    if (!m_syncAllowance.open(clock.now())) {
        counters.heldBack++;
        return;
    }
    auto message = makeMessage(gossip_kind::Sync, 0);
    const auto count = 1 + table.all().size() / SliceRecords;
    message.slice.count = static_cast<std::uint32_t>(std::min<std::size_t>(count, MaxTableSlices));
    message.slice.index = m_syncSlice % message.slice.count;
    for (const auto &[vm, record] : table.all()) {
        if (record.generation == 0 || message.hashes.size() >= MaxGossipHashes)
            continue;
        if (const auto hash = recordHash(record); message.slice.holds(hash))
            message.hashes.push_back(hash);
    }
    m_syncAllowance.spend(send(partner->vm.peerAddress, message));
}

// What is lacked is sent in a drawn order: nodes that start together ask the same few peers, and
// can then get the rest from each other.
void membership::implementation::onSync(const gossip_message &message)
{
    if (!m_syncAllowance.open(clock.now())) {
        counters.heldBack++;
        return;
    }
    std::unordered_set<std::uint32_t> wanted(message.hashes.begin(), message.hashes.end());
    std::vector<const member_record *> lacked;
    for (const auto &[vm, record] : table.all()) {
        const auto hash = recordHash(record);
        if (record.generation == 0 || !message.slice.holds(hash))
            continue;
        if (wanted.erase(hash) == 0)
            lacked.push_back(&record);
    }
    std::shuffle(lacked.begin(), lacked.end(), m_random);
    auto reply = makeMessage(gossip_kind::SyncReply, 0);
    reply.slice = message.slice;
    for (const auto hash : wanted) {
        if (reply.hashes.size() < WantedAtOnce)
            reply.hashes.push_back(hash);
    }
    reply.cutShort = addRecords(reply, lacked) < lacked.size();
    m_syncAllowance.spend(send(table.find(message.sender.vm)->vm.peerAddress, reply));
}

// Members that the receiver lacks may not be on its list: each comes with its description.
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

void membership::implementation::sendWanted(const gossip_message &message)
{
    const std::unordered_set<std::uint32_t> wanted(message.hashes.begin(), message.hashes.end());
    std::vector<const member_record *> records;
    for (const auto &[vm, record] : table.all()) {
        if (record.generation > 0 && wanted.contains(recordHash(record)))
            records.push_back(&record);
    }
    std::span<const member_record *const> left = records;
    while (!left.empty() && m_syncAllowance.open(clock.now())) {
        auto rest = makeMessage(gossip_kind::SyncRest, 0);
        const auto sent = addRecords(rest, left);
        if (sent == 0)
            return;
        left = left.subspan(sent);
        m_syncAllowance.spend(send(table.find(message.sender.vm)->vm.peerAddress, rest));
    }
}

// While there is more to learn the next question goes out at once, to another member, so that no
// one answers them all. A walk through all slices that brought nothing is repeated ever less often:
// lists that differ make tables differ for good.
void membership::implementation::onSyncReply(const gossip_message &message, bool learnt)
{
    constexpr int MaxSlowdown = 16;
    if (!message.hashes.empty())
        sendWanted(message);
    if (learnt || message.cutShort) {
        m_syncInterval = options.syncInterval;
        m_nextSync = clock.now() + m_syncInterval;
        const auto next = pickMembers(1, random(RemoteSyncs) > 0, vm_id{});
        sync(next.empty() ? message.sender.vm : next.front());
        return;
    }
    ++m_syncSlice;
    if (m_syncSlice % message.slice.count != 0 && message.digest != table.digest())
        sync(message.sender.vm);
    else
        m_syncInterval = std::min(m_syncInterval * 2, options.syncInterval * MaxSlowdown);
}

void membership::implementation::announce()
{
    std::vector<socket_address> receivers;
    for (const auto &[vm, record] : table.all()) {
        const bool here = record.vm.dataCenter == options.self.dataCenter;
        if (here && !isSelf(vm) && record.status != member_status::Dead)
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
