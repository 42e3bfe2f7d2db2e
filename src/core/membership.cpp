#include "core/gossip_message.h"
#include "core/gossip_queue.h"
#include "core/member_table.h"

#include <orchidlead/membership.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <utility>

namespace orchidlead {

namespace {

/// Bytes that IP and UDP put before each datagram; counted, since the budget is for the wire.
constexpr std::size_t HeaderBytes = 28;

/// Records in one page of synchronisation.
constexpr std::size_t PageRecords = 24;

/// Helpers' probes kept at a time; beyond, requests are dropped.
constexpr std::size_t MaxRelays = 256;

/// Probes that may be pending when another one is begun on hearsay.
constexpr std::size_t MaxVerifications = 16;

/// Suspects are asked between one and two of these parts of the time that they have to refute.
constexpr std::int64_t CheckParts = 3;

/// A round of probes over one group of members, in an order that is shuffled anew each time.
struct probe_round
{
    bool local = true;
    milliseconds interval{0};
    steady_time next;
    std::vector<vm_id> order;
    std::size_t index = 0;
};

enum class probe_kind {
    First,
    Second, ///< after a first one that failed; only then is the member suspected
    Extra, ///< asks for an answer; its failure means nothing
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

/// A probe made for another member.
struct relay
{
    vm_id requester;
    std::uint32_t requesterSequence = 0;
    vm_id target;
    steady_time deadline;
};

} // namespace

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
    void apply(const gossip_update &update);
    void applyHearsay(const gossip_update &update);
    void applyToSelf(const gossip_update &update);
    void startSuspicion(member_record &record);
    void suspect(const vm_id &vm);
    void checkSuspects();
    void expireSuspicions();
    void forgetDead();

    [[nodiscard]] gossip_message makeMessage(gossip_kind kind, std::uint32_t sequence) const;
    void addNews(gossip_message &message, const vm_id &to);
    std::size_t send(const socket_address &to, const gossip_message &message);
    void sendTo(const vm_id &vm, gossip_message message);

    void handle(const gossip_message &message);
    void onPing(const gossip_message &message);
    void onAck(const gossip_message &message);
    void onIndirectPing(const gossip_message &message);
    void onSync(const gossip_message &message);
    void onSyncReply(const gossip_message &message);
    void reportPeer(const gossip_message &message);
    void vouchForList(const gossip_message &message, steady_time askedAt);
    void relayAnswer(std::uint32_t sequence, gossip_kind kind);

    void runRound(probe_round &round);
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
    void sendPage(const vm_id &to);

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
    vm_id m_syncCursor;
    bool m_joining = true; ///< until one walk over another member's table
};

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

void membership::implementation::raiseGeneration(std::uint64_t above)
{
    self().generation = above + 1;
    m_news.add(options.self.vm);
}

void membership::implementation::reportChange(const member_record &record,
                                              const std::optional<member> &before)
{
    const member now = record.toMember();
    const bool same = before && before->state == now.state && before->incarnation == now.incarnation
        && before->listed == now.listed && before->vm == now.vm;
    if (!same)
        emit(member_changed{now, before ? before->state : member_state::Suspect});
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

void membership::implementation::forgetDead()
{
    const auto now = clock.now();
    if (now < m_nextForget)
        return;
    m_nextForget = now + std::chrono::seconds{1};
    std::vector<vm_id> gone;
    for (const auto &[vm, record] : table.all()) {
        const bool old = record.deadAt && now >= *record.deadAt + options.forgetAfter;
        if (!record.listed && record.status == member_status::Dead && old)
            gone.push_back(vm);
    }
    for (const auto &vm : gone) {
        table.erase(vm);
        m_news.remove(vm);
        emit(member_forgotten{vm});
    }
}

// Only a node that introduces itself with its address may join unlisted, and only so many.
bool membership::implementation::admit(const gossip_update &update)
{
    if (!update.description || update.status != member_status::Alive)
        return false;
    if (table.unlisted() >= options.maxUnlisted || table.all().size() >= options.maxMembers)
        return false;
    member_record fresh;
    fresh.vm = {update.vm, update.description->dataCenter, update.description->region,
                update.description->address, false};
    table.add(std::move(fresh));
    return true;
}

void membership::implementation::apply(const gossip_update &update)
{
    if (isSelf(update.vm))
        return applyToSelf(update);
    std::optional<member> before;
    if (const auto *known = table.find(update.vm))
        before = known->toMember();
    else if (!admit(update))
        return;
    const auto effect = table.merge(update, options.confirmations);
    if (effect == merge_effect::Older) {
        const auto *known = table.find(update.vm);
        if (known->generation == update.generation && known->status == update.status)
            m_news.heard(update.vm, newsLimit());
        return;
    }
    m_news.add(update.vm);
    m_syncInterval = options.syncInterval;
    auto &record = *table.edit(update.vm);
    if (record.status == member_status::Suspect) {
        startSuspicion(record);
    } else {
        m_suspects.erase(update.vm);
        if (record.status == member_status::Dead)
            record.deadAt = clock.now();
    }
    reportChange(record, before);
}

// A death that comes without the suspicion before it was found elsewhere, such as on the far side
// of a cut that has just healed. Such a member is probed instead of given up, so that healing
// doesn't make each side lose members that it can reach.
void membership::implementation::applyHearsay(const gossip_update &update)
{
    const auto *record = table.find(update.vm);
    const bool surprising = record && !isSelf(update.vm) && update.status == member_status::Dead
        && record->state() == member_state::Alive && member_table::isNewer(update, *record);
    if (!surprising)
        return apply(update);
    const bool pending = std::any_of(m_probes.begin(), m_probes.end(), [&](const auto &entry) {
        return entry.second.target == update.vm;
    });
    if (!pending && m_probes.size() < MaxVerifications)
        startProbe(update.vm, probe_kind::First);
}

// A suspicion of this start is refuted. Another start of the same VM is either an older one, which
// a new process outbids, or, when this one has long been known, a later one, before which it
// yields.
void membership::implementation::applyToSelf(const gossip_update &update)
{
    if (update.generation < self().generation || m_stopped)
        return;
    if (update.incarnation == options.incarnation) {
        const bool wrong = update.status != member_status::Alive;
        if (!wrong && update.generation == self().generation)
            return;
        if (wrong) {
            counters.refutations++;
            health = std::min(health + 1, options.maxHealth);
        }
        return raiseGeneration(update.generation);
    }
    const bool fresh = clock.now() < m_startedAt + options.joinWindow;
    if (fresh || update.status != member_status::Alive)
        return raiseGeneration(update.generation);
    if (!m_toldSuperseded)
        emit(superseded{update.incarnation});
    m_toldSuperseded = true;
}

// The time to refute shrinks with each independent accuser: one alone may be the one who is cut
// off or slow.
void membership::implementation::startSuspicion(member_record &record)
{
    const auto now = clock.now();
    const auto accusers = std::min(record.accusers.size(), options.confirmations);
    const auto missing = static_cast<std::int64_t>(options.confirmations - accusers);
    const auto span = options.suspicionMax - options.suspicionMin;
    const auto all =
        std::max<std::int64_t>(static_cast<std::int64_t>(options.confirmations) - 1, 1);
    const auto time = options.suspicionMin + span * std::min(missing, all) / all;
    const auto deadline = now + time;
    if (!record.deadAt || deadline < *record.deadAt)
        record.deadAt = deadline;
    const auto least = time / CheckParts;
    const auto wait = least + milliseconds{static_cast<std::int64_t>(random(least.count() + 1))};
    m_suspects.try_emplace(record.vm.vm, suspicion{now + wait, false});
}

void membership::implementation::suspect(const vm_id &vm)
{
    const auto *record = table.find(vm);
    if (!record || record->status == member_status::Dead)
        return;
    gossip_update update = member_table::toUpdate(*record);
    update.status = member_status::Suspect;
    update.accuser = accuserHash(options.self.vm);
    update.description.reset();
    apply(update);
}

// Each node that hears of a suspicion asks the member once by itself. So a refutation doesn't hang
// on gossip alone, which loses as much as the probes that led to the suspicion.
void membership::implementation::checkSuspects()
{
    const auto now = clock.now();
    for (auto &[vm, pending] : m_suspects) {
        if (pending.checked || now < pending.checkAt || !table.find(vm))
            continue;
        pending.checked = true;
        if (m_allowance.open(now))
            startProbe(vm, probe_kind::Extra);
    }
}

void membership::implementation::expireSuspicions()
{
    const auto now = clock.now();
    std::vector<vm_id> expired;
    for (const auto &[vm, pending] : m_suspects) {
        const auto *record = table.find(vm);
        if (!record || !record->deadAt || now >= *record->deadAt)
            expired.push_back(vm);
    }
    for (const auto &vm : expired) {
        m_suspects.erase(vm);
        const auto *record = table.find(vm);
        if (!record || record->status != member_status::Suspect)
            continue;
        gossip_update update = member_table::toUpdate(*record);
        update.status = member_status::Dead;
        update.description.reset();
        apply(update);
    }
}

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
    const std::size_t size = bytes.size() + HeaderBytes;
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
        message.sender.description = member_description{
            options.self.dataCenter, options.self.region, options.self.peerAddress};
    addNews(message, vm);
    send(record->vm.peerAddress, message);
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
    counters.receivedBytes += bytes.size() + HeaderBytes;
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
    apply(message.sender);
    auto *sender = table.edit(message.sender.vm);
    if (!sender)
        return;
    sender->lastHeard = clock.now();
    for (const auto &update : message.updates)
        applyHearsay(update);
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
        return onSyncReply(message);
    case gossip_kind::Gossip:
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

void membership::implementation::onPing(const gossip_message &message)
{
    sendTo(message.sender.vm, makeMessage(gossip_kind::Ack, message.sequence));
    maybeSync(message);
}

void membership::implementation::onAck(const gossip_message &message)
{
    const bool indirect = message.kind == gossip_kind::IndirectAck;
    const vm_id &answering = indirect ? message.target : message.sender.vm;
    const auto pending = m_probes.find(message.sequence);
    if (pending != m_probes.end() && pending->second.target == answering) {
        if (!indirect && clock.now() <= pending->second.sentAt + options.probeTimeout && health > 0)
            health--;
        m_probes.erase(pending);
    }
    relayAnswer(message.sequence, gossip_kind::IndirectAck);
    if (!indirect)
        maybeSync(message);
}

void membership::implementation::onIndirectPing(const gossip_message &message)
{
    const auto *target = table.find(message.target);
    if (!target || isSelf(message.target) || m_relays.size() >= MaxRelays)
        return;
    const std::uint32_t sequence = ++m_sequence;
    m_relays[sequence] = {message.sender.vm, message.sequence, message.target,
                          clock.now() + scaled(options.probeTimeout)};
    sendTo(message.target, makeMessage(gossip_kind::Ping, sequence));
}

void membership::implementation::relayAnswer(std::uint32_t sequence, gossip_kind kind)
{
    const auto found = m_relays.find(sequence);
    if (found == m_relays.end())
        return;
    const relay done = found->second;
    m_relays.erase(found);
    auto answer = makeMessage(kind, done.requesterSequence);
    answer.target = done.target;
    sendTo(done.requester, std::move(answer));
}

void membership::implementation::checkRelays()
{
    std::vector<std::uint32_t> late;
    for (const auto &[sequence, pending] : m_relays) {
        if (clock.now() >= pending.deadline)
            late.push_back(sequence);
    }
    for (const auto sequence : late)
        relayAnswer(sequence, gossip_kind::Nack);
}

// Dead members stay in the round as long as they are listed: that is how two sides of a cut find
// each other again.
std::optional<vm_id> membership::implementation::nextTarget(probe_round &round)
{
    for (int pass = 0; pass < 2; ++pass) {
        while (round.index < round.order.size()) {
            const vm_id candidate = round.order[round.index++];
            const auto *record = table.find(candidate);
            if (record && (record->listed || record->status != member_status::Dead))
                return candidate;
        }
        round.order.clear();
        round.index = 0;
        for (const auto &[vm, record] : table.all()) {
            const bool here = record.vm.dataCenter == options.self.dataCenter;
            if (!isSelf(vm) && here == round.local)
                round.order.push_back(vm);
        }
        std::shuffle(round.order.begin(), round.order.end(), m_random);
    }
    return std::nullopt;
}

void membership::implementation::runRound(probe_round &round)
{
    const auto now = clock.now();
    if (now < round.next)
        return;
    round.next = now + scaled(round.interval);
    if (const auto target = nextTarget(round))
        startProbe(*target, probe_kind::First);
}

void membership::implementation::startProbe(const vm_id &target, probe_kind kind)
{
    const auto *record = table.find(target);
    const auto now = clock.now();
    const std::uint32_t sequence = ++m_sequence;
    probe pending;
    pending.target = target;
    pending.sentAt = now;
    pending.indirectAt = now + scaled(options.probeTimeout);
    pending.deadline = now + scaled(options.probeInterval);
    pending.kind = kind;
    // Helpers don't try what is given up already, nor where the answer alone is wanted.
    if (kind == probe_kind::Extra || record->status == member_status::Dead)
        pending.indirectAt = steady_time::max();
    m_probes[sequence] = pending;
    counters.probes++;
    sendTo(target, makeMessage(gossip_kind::Ping, sequence));
}

void membership::implementation::checkProbes()
{
    const auto now = clock.now();
    std::vector<std::uint32_t> failed;
    for (auto &[sequence, pending] : m_probes) {
        if (now >= pending.deadline) {
            failed.push_back(sequence);
        } else if (now >= pending.indirectAt) {
            pending.indirectAt = steady_time::max();
            askHelpers(sequence, pending);
        }
    }
    for (const auto sequence : failed) {
        const probe pending = m_probes[sequence];
        m_probes.erase(sequence);
        failProbe(pending);
    }
}

// Helpers from the own data centre tell whether this node is the slow one; those beside the target
// tell whether only the path is broken.
void membership::implementation::askHelpers(std::uint32_t sequence, probe &pending)
{
    std::vector<vm_id> helpers;
    const auto *target = table.find(pending.target);
    for (const auto &[vm, record] : table.all()) {
        const bool beside = target && record.vm.dataCenter == target->vm.dataCenter;
        const bool usable = record.state() == member_state::Alive && vm != pending.target;
        if (beside && usable && !isSelf(vm))
            helpers.push_back(vm);
    }
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    const bool local = target && target->vm.dataCenter == options.self.dataCenter;
    helpers.resize(std::min<std::size_t>(helpers.size(), local ? options.indirectProbes : 1));
    for (const auto &vm : pickMembers(options.indirectProbes, true, pending.target)) {
        const bool known = std::find(helpers.begin(), helpers.end(), vm) != helpers.end();
        if (helpers.size() < options.indirectProbes && !known)
            helpers.push_back(vm);
    }
    // One more try of its own: on a lossy path it is worth as much as a helper's.
    sendTo(pending.target, makeMessage(gossip_kind::Ping, sequence));
    for (const auto &vm : helpers) {
        auto message = makeMessage(gossip_kind::IndirectPing, sequence);
        message.target = pending.target;
        sendTo(vm, std::move(message));
    }
    pending.helpers = helpers.size();
}

void membership::implementation::failProbe(const probe &pending)
{
    const auto *record = table.find(pending.target);
    const bool counts = record && record->status != member_status::Dead;
    if (!counts || pending.kind == probe_kind::Extra)
        return;
    counters.failedProbes++;
    // No helper answered either: the fault is likely on this side.
    if (pending.helpers > 0 && pending.nacks == 0)
        health = std::min(health + 1, options.maxHealth);
    // One failure in a row is common on a lossy network, and each suspicion costs the whole fleet
    // datagrams; a member that was never heard of isn't known to be there at all.
    if (pending.kind == probe_kind::Second || record->status == member_status::Suspect)
        suspect(pending.target);
    else
        startProbe(pending.target, probe_kind::Second);
}

std::vector<vm_id> membership::implementation::pickMembers(std::size_t count, bool localFirst,
                                                           const vm_id &except)
{
    std::vector<std::pair<bool, vm_id>> candidates;
    for (const auto &[vm, record] : table.all()) {
        const bool away = record.vm.dataCenter != options.self.dataCenter;
        if (isSelf(vm) || vm == except || record.status == member_status::Dead)
            continue;
        candidates.emplace_back(localFirst && away, vm);
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<vm_id> picked;
    for (const auto &[away, vm] : candidates) {
        if (picked.size() >= count)
            break;
        picked.push_back(vm);
    }
    return picked;
}

void membership::implementation::probeNow(std::size_t count)
{
    for (const auto &vm : pickMembers(count, true, vm_id{}))
        startProbe(vm, probe_kind::Extra);
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
