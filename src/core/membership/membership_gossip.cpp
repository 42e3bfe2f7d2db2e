#include "core/membership/membership_implementation.h"

#include <algorithm>

namespace orchidlead {

namespace {

/// Records in one page of synchronisation.
constexpr std::size_t PageRecords = 24;

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
void membership::implementation::addNews(gossip_message &message, const vm_id &to)
{
    const auto *receiver = table.find(to);
    if (receiver && receiver->generation > 0 && receiver->status != member_status::Alive)
        message.updates.push_back(member_table::toUpdate(*receiver));
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
    message.sender.description =
        member_description{options.self.dataCenter, options.self.region, options.self.peerAddress};
}

void membership::implementation::contact(const std::vector<socket_address> &addresses)
{
    for (const auto &address : addresses) {
        auto message = makeMessage(gossip_kind::Ping, ++m_sequence);
        describeSelf(message);
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

// Tables that differ are walked page by page. A walk that brought nothing new is repeated ever
// less often: lists that differ make tables differ for good.
void membership::implementation::maybeSync(const gossip_message &message)
{
    const auto now = clock.now();
    const bool due = now >= m_nextSync;
    if (!due || (message.digest == table.digest() && !m_joining))
        return;
    if (!m_allowance.open(now)) {
        counters.heldBack++;
        return;
    }
    m_nextSync = now + m_syncInterval;
    sendPage(message.sender.vm);
}

void membership::implementation::sendPage(const vm_id &to)
{
    auto page = makeMessage(gossip_kind::Sync, 0);
    page.after = m_syncCursor;
    auto it = table.all().upper_bound(m_syncCursor);
    std::size_t bytes = encodeGossip(page).size();
    while (it != table.all().end() && page.updates.size() < PageRecords) {
        auto update = member_table::toUpdate(it->second);
        bytes += encodedSize(update);
        if (bytes > options.maxDatagramBytes && !page.updates.empty())
            break;
        page.through = it->first;
        page.updates.push_back(std::move(update));
        ++it;
    }
    if (it == table.all().end())
        page.through = vm_id{};
    m_allowance.spend(send(table.find(to)->vm.peerAddress, page));
}

void membership::implementation::onSync(const gossip_message &message)
{
    auto reply = makeMessage(gossip_kind::SyncReply, 0);
    reply.after = message.after;
    reply.through = message.through;
    std::size_t bytes = encodeGossip(reply).size();
    std::map<vm_id, const gossip_update *> offered;
    for (const auto &update : message.updates)
        offered[update.vm] = &update;
    for (auto it = table.all().upper_bound(message.after); it != table.all().end(); ++it) {
        const auto &[vm, record] = *it;
        if (!message.through.empty() && message.through < vm)
            break;
        const auto known = offered.find(vm);
        auto update = member_table::toUpdate(record);
        const bool better = record.generation > 0
            && (known == offered.end() || update.generation > known->second->generation
                || (update.generation == known->second->generation
                    && update.status > known->second->status));
        if (!better)
            continue;
        // The requester's list may lack it.
        if (known == offered.end())
            update.description =
                member_description{record.vm.dataCenter, record.vm.region, record.vm.peerAddress};
        bytes += encodedSize(update);
        if (bytes > options.maxDatagramBytes || reply.updates.size() >= MaxGossipUpdates)
            break;
        reply.through = vm;
        reply.updates.push_back(update);
    }
    // A reply that was cut short covers the page up to its last record only.
    const bool cutShort = bytes > options.maxDatagramBytes;
    if (!cutShort)
        reply.through = message.through;
    m_allowance.spend(send(table.find(message.sender.vm)->vm.peerAddress, reply));
}

void membership::implementation::onSyncReply(const gossip_message &message)
{
    if (message.after != m_syncCursor)
        return;
    m_syncCursor = message.through;
    if (m_syncCursor.empty()) {
        constexpr int MaxSlowdown = 16;
        m_joining = false;
        m_syncInterval = std::min(m_syncInterval * 2, options.syncInterval * MaxSlowdown);
        return;
    }
    if (m_joining)
        sendPage(message.sender.vm);
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
