#include "core/membership/membership_implementation.h"

#include <algorithm>

namespace orchidlead {

membership::implementation::implementation(const clock_source &source, membership_options settings)
    : clock(source)
    , options(std::move(settings))
    , m_random(options.seed)
    , m_allowance(options.gossipBytesPerSecond, options.gossipBurstBytes, source.now())
    , m_startedAt(source.now())
    , m_nextGossip(source.now())
    , m_nextSync(source.now())
    , m_nextForget(source.now())
    , m_syncInterval(options.syncInterval)
    , m_syncAllowance(options.syncBytesPerSecond, options.syncBurstBytes, source.now())
{
    member_record own;
    own.vm = options.self;
    own.incarnation = options.incarnation;
    // The time of day makes a later start's generation the greater one in the common case; clocks
    // that are wrong are made up for in `applyToSelf`.
    const auto sinceEpoch = source.wallNow().time_since_epoch();
    own.generation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
    own.status = member_status::Alive;
    own.lastHeard = source.now();
    table.add(own);
    m_news.add(options.self.vm);
    m_local = {true, options.probeInterval, source.now(), {}, 0};
    m_remote = {false, options.remoteProbeInterval, source.now(), {}, 0};
}

std::size_t membership::implementation::random(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

// Both clocks are looked at: a machine that was suspended may have stopped the monotonic one.
void membership::implementation::noticePause()
{
    const auto now = clock.now();
    const auto wall = clock.wallNow();
    if (!m_lastInput) {
        m_lastInput = now;
        m_lastWall = wall;
        return;
    }
    const std::chrono::nanoseconds gap = now - *m_lastInput;
    const std::chrono::nanoseconds wallGap = wall - m_lastWall;
    const auto since = *m_lastInput;
    m_lastInput = now;
    m_lastWall = wall;
    const bool suspended = wallGap > gap + options.pauseThreshold;
    if (gap <= options.pauseThreshold && !suspended)
        return;
    counters.pauses++;
    pausedSince = since;
    emit(paused{std::max(gap, wallGap)});
    // What was awaited came to nobody: it says nothing about the others. They may have given this
    // node up, so its refutation goes first.
    m_probes.clear();
    m_relays.clear();
    for (const auto &[vm, pending] : m_suspects) {
        auto *record = table.edit(vm);
        if (record && record->deadAt)
            *record->deadAt += std::chrono::duration_cast<steady_time::duration>(gap);
    }
    raiseGeneration(self().generation);
    probeNow(options.indirectProbes);
}

void membership::implementation::setListed(std::uint64_t version, const std::vector<listed_vm> &vms)
{
    if (m_haveList && version < m_listVersion)
        return;
    m_haveList = true;
    m_listVersion = version;
    if (version > 0)
        listConfirmedAt = clock.now();
    std::set<vm_id> listed;
    for (const auto &vm : vms) {
        if (listed.size() >= options.maxMembers)
            break;
        listed.insert(vm.vm);
        addListed(vm);
    }
    std::vector<vm_id> gone;
    for (const auto &[vm, record] : table.all()) {
        if (record.listed && !listed.contains(vm))
            gone.push_back(vm);
    }
    for (const auto &vm : gone) {
        auto *record = table.edit(vm);
        const auto before = record->toMember();
        record->listed = false;
        reportChange(*record, before);
    }
    dropUnlisted();
}

void membership::implementation::confirmListed(std::uint64_t version)
{
    if (m_haveList && version == m_listVersion)
        listConfirmedAt = clock.now();
}

void membership::implementation::addListed(const listed_vm &vm)
{
    auto *record = table.edit(vm.vm);
    if (!record) {
        member_record fresh;
        fresh.vm = vm;
        fresh.listed = true;
        reportChange(table.add(std::move(fresh)), std::nullopt);
        return;
    }
    const auto before = record->toMember();
    record->vm = vm;
    record->listed = true;
    reportChange(*record, before);
}

// Members that the list no longer has stay while they are heard of: the list lags, and may be
// frozen. They take no roles.
void membership::implementation::dropUnlisted()
{
    std::vector<vm_id> gone;
    for (const auto &[vm, record] : table.all()) {
        const bool silent = record.generation == 0 || record.status == member_status::Dead;
        if (!record.listed && silent && !isSelf(vm))
            gone.push_back(vm);
    }
    for (const auto &vm : gone) {
        table.erase(vm);
        m_news.remove(vm);
        m_suspects.erase(vm);
        emit(member_forgotten{vm});
    }
}

// A listed VM speaks from its listed address, an unlisted one from the address that it names.
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
    noticePause();
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
    apply(message.sender, news_source::Rumour);
    if (!table.touch(message.sender.vm, clock.now()))
        return;
    const bool synchronises =
        message.kind == gossip_kind::SyncReply || message.kind == gossip_kind::SyncRest;
    const auto source = synchronises ? news_source::Synchronisation : news_source::Rumour;
    const auto changes = m_changes;
    for (const auto &update : message.updates)
        applyHearsay(update, source);
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
        report.askedAt = pending->second.sentAt;
        vouchForList(message, pending->second.sentAt);
    }
    emit(std::move(report));
}

// The age counts from when the question was sent: however long the answer lay in a buffer, it makes
// the list older, never younger.
void membership::implementation::vouchForList(const gossip_message &message, steady_time askedAt)
{
    if (!listConfirmedAt || message.listVersion != m_listVersion || message.listAge >= MaxListAge)
        return;
    listConfirmedAt = std::max(*listConfirmedAt, askedAt - message.listAge);
}

void membership::implementation::tick()
{
    noticePause();
    if (m_stopped)
        return;
    runRound(m_local);
    runRound(m_remote);
    checkProbes();
    checkRelays();
    checkSuspects();
    expireSuspicions();
    forgetDead();
    gossip();
}

membership::membership(const clock_source &clock, membership_options options)
    : m_implementation(std::make_unique<implementation>(clock, std::move(options)))
{ }

membership::~membership() = default;
membership::membership(membership &&) noexcept = default;

void membership::setListed(std::uint64_t version, const std::vector<listed_vm> &vms,
                           membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->setListed(version, vms);
}

void membership::confirmListed(std::uint64_t version)
{
    m_implementation->confirmListed(version);
}

std::optional<steady_time> membership::listConfirmedAt() const
{
    return m_implementation->listConfirmedAt;
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

void membership::noticePause(membership_actions &out)
{
    m_implementation->collectInto(out);
    m_implementation->noticePause();
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

std::optional<steady_time> membership::pausedSince() const
{
    return m_implementation->pausedSince;
}

const membership_counters &membership::counters() const
{
    return m_implementation->counters;
}

std::uint32_t membership::localHealth() const
{
    return m_implementation->health;
}

} // namespace orchidlead
