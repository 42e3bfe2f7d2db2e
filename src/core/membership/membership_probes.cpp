#include "core/membership/membership_implementation.h"

#include <algorithm>

namespace orchidlead {

namespace {

/// Helpers' probes kept at a time; beyond, requests are dropped.
constexpr std::size_t MaxRelays = 256;

} // namespace

void membership::implementation::onPing(const gossip_message &message)
{
    auto ack = makeMessage(gossip_kind::Ack, message.sequence);
    // Who introduces itself may know nothing of this node either.
    if (message.sender.description)
        describeSelf(ack);
    sendTo(message.sender.vm, std::move(ack));
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

std::uint32_t membership::implementation::slowdownOf(const probe_round &round) const
{
    if (round.local)
        return 1;
    const auto crowd = round.order.size() / std::max<std::size_t>(1, options.remoteProbesInFull);
    return std::clamp(static_cast<std::uint32_t>(crowd), 1U,
                      std::max(1U, options.maxRemoteSlowdown));
}

void membership::implementation::runRound(probe_round &round)
{
    const auto now = clock.now();
    if (now < round.next)
        return;
    round.next = now + scaled(round.interval) * slowdownOf(round);
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

} // namespace orchidlead
