#include "core/membership/membership_implementation.h"

#include <algorithm>

namespace orchidlead {

namespace {

/// Probes that may be pending when another one is begun on hearsay.
constexpr std::size_t MaxVerifications = 16;

/// Suspects are asked between one and two of these parts of the time that they have to refute.
constexpr std::int64_t CheckParts = 3;

} // namespace

void membership::implementation::raiseGeneration(std::uint64_t above)
{
    self().generation = std::min(above + 1, MaxGeneration);
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
    // Counting them takes a pass over all, for each that joins.
    const auto all = table.all().size();
    const bool tooMany = all >= options.maxUnlisted && table.unlisted() >= options.maxUnlisted;
    if (tooMany || all >= options.maxMembers)
        return false;
    member_record fresh;
    fresh.vm = {update.vm,
                update.description->dataCenter,
                update.description->region,
                update.description->address,
                false,
                update.description->capacity};
    table.add(std::move(fresh));
    return true;
}

// In a mass start everything is news to everybody. Told as rumours, each member's record would
// cross each link ten times; those who lack it ask for it anyway.
void membership::implementation::apply(const gossip_update &update, news_source source)
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
    ++m_changes;
    if (source == news_source::Rumour || update.status != member_status::Alive)
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
void membership::implementation::applyHearsay(const gossip_update &update, news_source source)
{
    const auto *record = table.find(update.vm);
    const bool surprising = record && !isSelf(update.vm) && update.status == member_status::Dead
        && record->state() == member_state::Alive && member_table::isNewer(update, *record);
    if (!surprising)
        return apply(update, source);
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
    apply(update, news_source::Rumour);
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
        apply(update, news_source::Rumour);
    }
}

} // namespace orchidlead
