#include "core/membership/membership_implementation.h"

#include <algorithm>

namespace orchidlead {

membership::implementation::implementation(const clock_source &source, membership_options settings)
    : clock(source)
    , options(std::move(settings))
    , m_random(options.seed)
    , m_gossipRateLimiter(options.gossipBytesPerSecond, options.gossipBurstBytes, source.now())
    , m_startedAt(source.now())
    , m_nextGossip(source.now())
    , m_nextSync(source.now())
    , m_nextRemoval(source.now())
    , m_syncInterval(options.syncInterval)
    , m_syncRateLimiter(options.syncBytesPerSecond, options.syncBurstBytes, source.now())
{
    member_record own;
    own.vm = options.self;
    own.incarnation = options.incarnation;
    // The time of day gives a later process of this VM the greater generation, unless a clock is
    // wrong; `applyToSelf` handles that case.
    const auto sinceEpoch = source.wallNow().time_since_epoch();
    own.generation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
    own.status = member_status::Alive;
    own.lastReceivedAt = source.now();
    table.add(own);
    m_gossipQueue.add(options.self.vm);
    m_local = {true, options.probeInterval, source.now(), {}, 0};
    m_remote = {false, options.remoteProbeInterval, source.now(), {}, 0};
}

std::size_t membership::implementation::random(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

// Compares both clocks, since the monotonic one may stop while the machine is suspended.
void membership::implementation::detectPause()
{
    const auto now = clock.now();
    const auto wall = clock.wallNow();
    if (!m_lastInput) {
        m_lastInput = now;
        m_lastWallTime = wall;
        return;
    }
    const std::chrono::nanoseconds gap = now - *m_lastInput;
    const std::chrono::nanoseconds wallGap = wall - m_lastWallTime;
    const auto since = *m_lastInput;
    m_lastInput = now;
    m_lastWallTime = wall;
    const bool suspended = wallGap > gap + options.pauseThreshold;
    if (gap <= options.pauseThreshold && !suspended)
        return;
    counters.pauses++;
    lastPauseStart = since;
    emit(paused{std::max(gap, wallGap)});
    // A missing answer to a probe that was pending during the pause does not show that its target
    // failed. Pending probes are therefore dropped, and suspicions are extended. Other members may
    // consider this node dead, so it raises its generation to refute that before it probes.
    m_probes.clear();
    m_relayedProbes.clear();
    for (const auto &[vm, pending] : m_suspects) {
        auto *record = table.edit(vm);
        if (record && record->deadAt)
            *record->deadAt += std::chrono::duration_cast<steady_time::duration>(gap);
    }
    raiseGeneration(self().generation);
    probeNow(options.indirectProbes);
}

void membership::implementation::setVmList(std::uint64_t version, const std::vector<listed_vm> &vms)
{
    if (m_hasList && version < m_listVersion)
        return;
    m_hasList = true;
    m_listVersion = version;
    if (version > 0)
        vmListConfirmedAt = clock.now();
    std::set<vm_id> listed;
    for (const auto &vm : vms) {
        if (listed.size() >= options.maxMembers)
            break;
        listed.insert(vm.vm);
        addListed(vm);
    }
    std::vector<vm_id> removed;
    for (const auto &[vm, record] : table.all()) {
        if (record.listed && !listed.contains(vm))
            removed.push_back(vm);
    }
    for (const auto &vm : removed) {
        auto *record = table.edit(vm);
        const auto before = record->toMember();
        record->listed = false;
        reportChange(*record, before);
    }
    removeInactiveUnlisted();
}

void membership::implementation::confirmVmList(std::uint64_t version)
{
    if (m_hasList && version == m_listVersion)
        vmListConfirmedAt = clock.now();
}

void membership::implementation::addListed(const listed_vm &vm)
{
    auto *record = table.edit(vm.vm);
    if (!record) {
        member_record added;
        added.vm = vm;
        added.listed = true;
        reportChange(table.add(std::move(added)), std::nullopt);
        return;
    }
    const auto before = record->toMember();
    record->vm = vm;
    record->listed = true;
    reportChange(*record, before);
}

// Members that are no longer on the VM list are kept until they are dead, since the list lags and
// may no longer be updated. They neither vote on nor hold leases on idempotency keys.
void membership::implementation::removeInactiveUnlisted()
{
    std::vector<vm_id> removed;
    for (const auto &[vm, record] : table.all()) {
        const bool inactive = record.generation == 0 || record.status == member_status::Dead;
        if (!record.listed && inactive && !isSelf(vm))
            removed.push_back(vm);
    }
    for (const auto &vm : removed) {
        table.erase(vm);
        m_gossipQueue.remove(vm);
        m_suspects.erase(vm);
        emit(member_removed{vm});
    }
}

// A known member must send from its recorded address, an unknown one from the address in its own
// description.
bool membership::implementation::fromKnownAddress(const gossip_message &message,
                                                  const socket_address &from) const
{
    if (isSelf(message.sender.vm))
        return false;
    const auto *known = table.find(message.sender.vm);
    if (known)
        return known->vm.peerAddress == from;
    return message.sender.description && message.sender.description->address == from;
}

void membership::implementation::onDatagram(const socket_address &from, std::string_view bytes)
{
    detectPause();
    counters.receivedDatagrams++;
    counters.receivedBytes += bytes.size() + DatagramHeaderBytes;
    std::optional<std::string_view> opened = bytes;
    if (options.authenticator)
        opened = options.authenticator->open(bytes);
    if (!opened) {
        counters.malformed++;
        return;
    }
    const auto decoded = decodeGossip(*opened);
    if (!decoded || !fromKnownAddress(decoded.value(), from)) {
        counters.malformed++;
        return;
    }
    if (!m_stopped)
        handle(decoded.value());
}

void membership::implementation::handle(const gossip_message &message)
{
    apply(message.sender, update_source::Gossiped);
    if (!table.touch(message.sender.vm, clock.now()))
        return;
    const bool synchronises =
        message.kind == gossip_kind::SyncReply || message.kind == gossip_kind::SyncRest;
    const auto source = synchronises ? update_source::Synchronised : update_source::Gossiped;
    const auto changes = m_changes;
    for (const auto &update : message.updates)
        applyIndirect(update, source);
    reportPeer(message);
    switch (message.kind) {
    case gossip_kind::Ping:
        return onPing(message);
    case gossip_kind::Ack:
    case gossip_kind::IndirectAck:
        return onAck(message);
    case gossip_kind::IndirectPing:
        return onIndirectPing(message);
    case gossip_kind::Nack:
        if (const auto pending = m_probes.find(message.sequence); pending != m_probes.end())
            pending->second.nacks++;
        return;
    case gossip_kind::Sync:
        return onSync(message);
    case gossip_kind::SyncReply:
        return onSyncReply(message, m_changes != changes);
    case gossip_kind::Gossip:
    case gossip_kind::SyncRest:
        return;
    }
}

void membership::implementation::reportPeer(const gossip_message &message)
{
    peer_report report{message.sender.vm, message.configuration, std::nullopt, message.application};
    const auto pending = m_probes.find(message.sequence);
    const bool answers = message.kind == gossip_kind::Ack && pending != m_probes.end()
        && pending->second.target == message.sender.vm;
    if (answers) {
        report.probeSentAt = pending->second.sentAt;
        updateListConfirmation(message, pending->second.sentAt);
    }
    emit(std::move(report));
}

// The age is subtracted from the time at which the probe was sent. An answer delayed in a buffer
// can then only make the VM list seem older than it is, never newer.
void membership::implementation::updateListConfirmation(const gossip_message &message,
                                                        steady_time probeSentAt)
{
    if (!vmListConfirmedAt || message.listVersion != m_listVersion || message.listAge >= MaxListAge)
        return;
    vmListConfirmedAt = std::max(*vmListConfirmedAt, probeSentAt - message.listAge);
}

void membership::implementation::tick()
{
    detectPause();
    if (m_stopped)
        return;
    runRound(m_local);
    runRound(m_remote);
    checkProbes();
    expireRelayedProbes();
    probeSuspects();
    expireSuspicions();
    removeExpired();
    gossip();
}

membership::membership(const clock_source &clock, membership_options options)
    : m_implementation(std::make_unique<implementation>(clock, std::move(options)))
{ }

membership::~membership() = default;
membership::membership(membership &&) noexcept = default;

void membership::setVmList(std::uint64_t version, const std::vector<listed_vm> &vms,
                           membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->setVmList(version, vms);
}

void membership::confirmVmList(std::uint64_t version)
{
    m_implementation->confirmVmList(version);
}

std::optional<steady_time> membership::vmListConfirmedAt() const
{
    return m_implementation->vmListConfirmedAt;
}

void membership::onDatagram(const socket_address &from, std::string_view bytes,
                            membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->onDatagram(from, bytes);
}

void membership::tick(membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->tick();
}

void membership::detectPause(membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->detectPause();
}

void membership::setConfiguration(const configuration_stamp &stamp)
{
    m_implementation->configuration = stamp;
}

void membership::setApplication(std::string bytes)
{
    const auto bound = std::min(m_implementation->options.maxApplicationBytes, MaxGossipText);
    bytes.resize(std::min(bytes.size(), bound));
    m_implementation->application = std::move(bytes);
}

void membership::announce(membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->announce();
}

void membership::probeNow(std::size_t count, membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->probeNow(count);
}

void membership::contact(const std::vector<socket_address> &addresses, membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->contact(addresses);
}

void membership::announceLeaving(membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->announceLeaving();
}

void membership::announceStopped(membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->announceStopped();
}

std::vector<member> membership::members() const
{
    std::vector<member> all;
    all.reserve(m_implementation->table.all().size());
    for (const auto &[vm, record] : m_implementation->table.all())
        all.push_back(record.toMember());
    return all;
}

std::size_t membership::size() const
{
    return m_implementation->table.all().size();
}

std::optional<member> membership::find(const vm_id &vm) const
{
    const auto *record = m_implementation->table.find(vm);
    return record ? std::optional(record->toMember()) : std::nullopt;
}

std::optional<steady_time> membership::lastPauseStart() const
{
    return m_implementation->lastPauseStart;
}

const membership_counters &membership::counters() const
{
    return m_implementation->counters;
}

std::uint32_t membership::localHealthScore() const
{
    return m_implementation->healthScore;
}

} // namespace orchidlead
