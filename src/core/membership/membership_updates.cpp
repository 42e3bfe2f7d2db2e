#include "core/membership/membership_implementation.h"

#include <algorithm>

namespace orchidlead {

namespace {

/// Bound on pending probes, above which no probe is sent to verify a reported death.
constexpr std::size_t MaxProbesToVerify = 16;

/// A suspected member is probed after one to two thirds of its time to refute.
constexpr std::int64_t RefutationTimeDivisor = 3;

} // namespace

void membership::implementation::raiseGeneration(std::uint64_t above)
{
    self().generation = std::min(above + 1, MaxGeneration);
    m_gossipQueue.add(options.self.vm);
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

void membership::implementation::removeExpired()
{
    const auto now = clock.now();
    if (now < m_nextRemoval)
        return;
    m_nextRemoval = now + std::chrono::seconds{1};
    std::vector<vm_id> removed;
    for (const auto &[vm, record] : table.all()) {
        const bool retentionOver = record.deadAt && now >= *record.deadAt + options.deadRetention;
        if (!record.listed && record.status == member_status::Dead && retentionOver)
            removed.push_back(vm);
    }
    for (const auto &vm : removed) {
        table.erase(vm);
        m_gossipQueue.remove(vm);
        emit(member_removed{vm});
    }
}

// Adds a member that is not on the VM list. Requires its description and status alive. The number
// of such members is bounded.
bool membership::implementation::addUnlisted(const gossip_update &update)
{
    if (!update.description || update.status != member_status::Alive)
        return false;
    // Counting unlisted members takes linear time, so it is skipped while there are few members.
    const auto members = table.all().size();
    const bool tooMany = members >= options.maxUnlisted && table.unlisted() >= options.maxUnlisted;
    if (tooMany || members >= options.maxMembers)
        return false;
    member_record added;
    added.vm = {update.vm,
                update.description->dataCenter,
                update.description->region,
                update.description->address,
                false,
                update.description->capacity};
    table.add(std::move(added));
    return true;
}

// Alive records received by synchronisation are not gossiped further. When many nodes start at
// once, gossip would send each record over each link ten times, while the nodes that lack a record
// request it by synchronisation anyway.
void membership::implementation::apply(const gossip_update &update, update_source source)
{
    if (isSelf(update.vm))
        return applyToSelf(update);
    std::optional<member> before;
    if (const auto *known = table.find(update.vm))
        before = known->toMember();
    else if (!addUnlisted(update))
        return;
    const auto effect = table.merge(update, options.confirmations);
    if (effect == merge_effect::Older) {
        const auto *known = table.find(update.vm);
        if (known->generation == update.generation && known->status == update.status)
            m_gossipQueue.countTransmission(update.vm, transmitLimit());
        return;
    }
    ++m_changes;
    if (source == update_source::Gossiped || update.status != member_status::Alive)
        m_gossipQueue.add(update.vm);
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

// A reported death of a member that this node considers alive, without a suspicion before it, was
// detected elsewhere, such as on the other side of a network partition that has just healed. The
// member is probed instead of declared dead, so that healing does not make each side lose members
// that it can reach.
void membership::implementation::applyIndirect(const gossip_update &update, update_source source)
{
    const auto *record = table.find(update.vm);
    const bool unexpectedDeath = record && !isSelf(update.vm)
        && update.status == member_status::Dead && record->state() == member_state::Alive
        && member_table::isNewer(update, *record);
    if (!unexpectedDeath)
        return apply(update, source);
    const bool pending = std::any_of(m_probes.begin(), m_probes.end(), [&](const auto &entry) {
        return entry.second.target == update.vm;
    });
    if (!pending && m_probes.size() < MaxProbesToVerify)
        startProbe(update.vm, probe_kind::Initial);
}

// A suspicion or death of this process is refuted by raising the generation. Another process of
// this VM is assumed to be an older one within the join window, or if it is not alive, and its
// update is overridden. Otherwise it is a later one, and this process must stop.
void membership::implementation::applyToSelf(const gossip_update &update)
{
    if (update.generation < self().generation || m_stopped)
        return;
    if (update.incarnation == options.incarnation) {
        const bool needsRefutation = update.status != member_status::Alive;
        if (!needsRefutation && update.generation == self().generation)
            return;
        if (needsRefutation) {
            counters.refutations++;
            healthScore = std::min(healthScore + 1, options.maxHealthScore);
        }
        return raiseGeneration(update.generation);
    }
    const bool isJoining = clock.now() < m_startedAt + options.joinWindow;
    if (isJoining || update.status != member_status::Alive)
        return raiseGeneration(update.generation);
    if (!m_supersededReported)
        emit(superseded{update.incarnation});
    m_supersededReported = true;
}

// The time to refute decreases with each further node that suspects the member: a single one may
// itself be disconnected or slow.
void membership::implementation::startSuspicion(member_record &record)
{
    const auto now = clock.now();
    const auto suspectingNodes = std::min(record.suspectingNodes.size(), options.confirmations);
    const auto missing = static_cast<std::int64_t>(options.confirmations - suspectingNodes);
    const auto span = options.suspicionMax - options.suspicionMin;
    const auto maxMissing =
        std::max<std::int64_t>(static_cast<std::int64_t>(options.confirmations) - 1, 1);
    const auto time = options.suspicionMin + span * std::min(missing, maxMissing) / maxMissing;
    const auto deadline = now + time;
    if (!record.deadAt || deadline < *record.deadAt)
        record.deadAt = deadline;
    const auto minDelay = time / RefutationTimeDivisor;
    const auto delay =
        minDelay + milliseconds{static_cast<std::int64_t>(random(minDelay.count() + 1))};
    m_suspects.try_emplace(record.vm.vm, suspicion{now + delay, false});
}

void membership::implementation::suspect(const vm_id &vm)
{
    const auto *record = table.find(vm);
    if (!record || record->status == member_status::Dead)
        return;
    gossip_update update = member_table::toUpdate(*record);
    update.status = member_status::Suspect;
    update.suspectedBy = suspectingNodeHash(options.self.vm);
    update.description.reset();
    apply(update, update_source::Gossiped);
}

// Each node that receives a suspicion probes the member once itself. The refutation then does not
// depend on gossip alone, which loses as many datagrams as the probes that led to the suspicion.
void membership::implementation::probeSuspects()
{
    const auto now = clock.now();
    for (auto &[vm, pending] : m_suspects) {
        if (pending.probed || now < pending.probeAt || !table.find(vm))
            continue;
        pending.probed = true;
        if (m_gossipRateLimiter.canSend(now))
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
        apply(update, update_source::Gossiped);
    }
}

} // namespace orchidlead
