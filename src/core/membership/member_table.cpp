#include "core/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace orchidlead {

namespace {

auto precedenceOf(orchidlead::incarnation incarnation, std::uint64_t generation,
                  member_status status)
{
    return std::make_tuple(generation, incarnation, status);
}

} // namespace

member_state member_record::state() const
{
    if (status == member_status::Dead)
        return member_state::Dead;
    if (status == member_status::Suspect || generation == 0)
        return member_state::Suspect;
    return leaving || vm.leaving ? member_state::Leaving : member_state::Alive;
}

member member_record::toMember() const
{
    return {vm, incarnation, state(), lastReceivedAt, listed};
}

const member_record *member_table::find(const vm_id &vm) const
{
    const auto found = m_records.find(vm);
    return found == m_records.end() ? nullptr : &found->second;
}

const member_record *member_table::findAt(const socket_address &address) const
{
    const auto found = std::ranges::find_if(
        m_records, [&](const auto &entry) { return entry.second.vm.peerAddress == address; });
    return found == m_records.end() ? nullptr : &found->second;
}

member_record *member_table::edit(const vm_id &vm)
{
    m_digest.reset();
    const auto found = m_records.find(vm);
    return found == m_records.end() ? nullptr : &found->second;
}

bool member_table::touch(const vm_id &vm, steady_time receivedAt)
{
    const auto found = m_records.find(vm);
    if (found == m_records.end())
        return false;
    found->second.lastReceivedAt = receivedAt;
    return true;
}

member_record &member_table::add(member_record record)
{
    m_digest.reset();
    const vm_id vm = record.vm.vm;
    return m_records.insert_or_assign(vm, std::move(record)).first->second;
}

void member_table::erase(const vm_id &vm)
{
    m_digest.reset();
    m_records.erase(vm);
}

bool member_table::isNewer(const gossip_update &update, const member_record &record)
{
    const auto offered = precedenceOf(update.incarnation, update.generation, update.status);
    const auto known = precedenceOf(record.incarnation, record.generation, record.status);
    // A record without any update starts as suspected; the first update of the member replaces it.
    if (record.generation == 0 && update.generation > 0)
        return true;
    return offered > known || (offered == known && update.leaving && !record.leaving);
}

merge_effect member_table::merge(const gossip_update &update, std::size_t maxSuspectingNodes)
{
    const auto found = m_records.find(update.vm);
    if (found == m_records.end())
        return merge_effect::Older;
    member_record *record = &found->second;
    const bool suspicion = update.status == member_status::Suspect;
    if (!isNewer(update, *record)) {
        const bool same = suspicion && record->status == member_status::Suspect
            && update.generation == record->generation && update.incarnation == record->incarnation;
        if (!same || record->suspectingNodes.size() >= maxSuspectingNodes)
            return merge_effect::Older;
        if (!record->suspectingNodes.insert(update.suspectedBy).second)
            return merge_effect::Older;
        record->lastSuspectingNode = update.suspectedBy;
        return merge_effect::Confirmed;
    }
    m_digest.reset();
    const bool sameStart = record->incarnation == update.incarnation;
    record->leaving = update.leaving || (sameStart && record->leaving);
    record->incarnation = update.incarnation;
    record->generation = update.generation;
    record->status = update.status;
    record->deadAt.reset();
    record->suspectingNodes.clear();
    if (suspicion)
        record->suspectingNodes.insert(update.suspectedBy);
    record->lastSuspectingNode = update.suspectedBy;
    return merge_effect::Changed;
}

gossip_update member_table::toUpdate(const member_record &record)
{
    gossip_update update;
    update.vm = record.vm.vm;
    update.incarnation = record.incarnation;
    update.generation = record.generation;
    update.status = record.status;
    update.leaving = record.leaving;
    update.suspectedBy = record.status == member_status::Suspect ? record.lastSuspectingNode : 0;
    if (!record.listed)
        update.description = descriptionOf(record.vm);
    return update;
}

// Excludes members without any update, and dead unlisted ones, which are removed soon. These differ
// between nodes for as long as the VM lists differ.
std::uint32_t member_table::digest() const
{
    if (m_digest)
        return *m_digest;
    std::uint32_t combinedHash = 0;
    for (const auto &[vm, record] : m_records) {
        const bool expiring = record.status == member_status::Dead && !record.listed;
        if (record.generation > 0 && !expiring)
            combinedHash ^= recordHash(record);
    }
    m_digest = combinedHash;
    return combinedHash;
}

std::size_t member_table::unlisted() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [](const auto &entry) { return !entry.second.listed; }));
}

std::uint32_t recordHash(const member_record &record)
{
    const bool dead = record.status == member_status::Dead;
    const std::array<std::uint64_t, 3> words{record.incarnation, record.generation,
                                             dead ? 1ULL : 0ULL};
    const auto &name = record.vm.vm.value;
    return static_cast<std::uint32_t>(
        XXH64(words.data(), sizeof(words), XXH64(name.data(), name.size(), 0)));
}

std::uint32_t suspectingNodeHash(const vm_id &vm)
{
    return static_cast<std::uint32_t>(XXH64(vm.value.data(), vm.value.size(), 0));
}

} // namespace orchidlead
