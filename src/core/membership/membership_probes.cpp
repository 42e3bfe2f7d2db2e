#include "core/membership/membership_implementation.h"

#include <algorithm>

namespace orchidlead {

namespace {

/// Bound on pending probes for other members; further requests are dropped.
constexpr std::size_t MaxRelayedProbes = 256;

} // namespace

void membership::implementation::onPing(const gossip_message &message)
{
    auto ack = makeMessage(gossip_kind::Ack, message.sequence);
    // A sender that describes itself may lack the description of this node too.
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
        if (!indirect && clock.now() <= pending->second.sentAt + options.probeTimeout
            && healthScore > 0)
            healthScore--;
        m_probes.erase(pending);
    }
    sendRelayedAnswer(message.sequence, gossip_kind::IndirectAck);
    if (!indirect)
        maybeSync(message);
}

void membership::implementation::onIndirectPing(const gossip_message &message)
{
    const auto *target = table.find(message.target);
    if (!target || isSelf(message.target) || m_relayedProbes.size() >= MaxRelayedProbes)
        return;
    const std::uint32_t sequence = ++m_sequence;
    m_relayedProbes[sequence] = {message.sender.vm, message.sequence, message.target,
                                 clock.now() + scaled(options.probeTimeout)};
    sendTo(message.target, makeMessage(gossip_kind::Ping, sequence));
}

void membership::implementation::sendRelayedAnswer(std::uint32_t sequence, gossip_kind kind)
{
    const auto found = m_relayedProbes.find(sequence);
    if (found == m_relayedProbes.end())
        return;
    const relayed_probe answered = found->second;
    m_relayedProbes.erase(found);
    auto answer = makeMessage(kind, answered.requesterSequence);
    answer.target = answered.target;
    sendTo(answered.requester, std::move(answer));
}

void membership::implementation::expireRelayedProbes()
{
    std::vector<std::uint32_t> expired;
    for (const auto &[sequence, pending] : m_relayedProbes) {
        if (clock.now() >= pending.deadline)
            expired.push_back(sequence);
    }
    for (const auto sequence : expired)
        sendRelayedAnswer(sequence, gossip_kind::Nack);
}

// Dead members are still probed while they are listed, so that the two sides of a network partition
// rejoin after it heals.
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
            const bool isLocal = record.vm.dataCenter == options.self.dataCenter;
            if (!isSelf(vm) && isLocal == round.local)
                round.order.push_back(vm);
        }
        std::shuffle(round.order.begin(), round.order.end(), m_random);
    }
    return std::nullopt;
}

std::uint32_t membership::implementation::intervalFactor(const probe_round &round) const
{
    if (round.local)
        return 1;
    const auto ratio = round.order.size() / std::max<std::size_t>(1, options.fullRateRemoteMembers);
    return std::clamp(static_cast<std::uint32_t>(ratio), 1U,
                      std::max(1U, options.maxRemoteIntervalFactor));
}

void membership::implementation::runRound(probe_round &round)
{
    const auto now = clock.now();
    if (now < round.next)
        return;
    round.next = now + scaled(round.interval) * intervalFactor(round);
    if (const auto target = nextTarget(round))
        startProbe(*target, probe_kind::Initial);
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
    // No indirect probes of dead members, nor for probes whose failure has no effect.
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
            requestIndirectProbes(sequence, pending);
        }
    }
    for (const auto sequence : failed) {
        const probe pending = m_probes[sequence];
        m_probes.erase(sequence);
        handleFailedProbe(pending);
    }
}

// Relays in this data centre show whether this node is the slow one. Relays in the target's data
// centre show whether only the network path is broken.
void membership::implementation::requestIndirectProbes(std::uint32_t sequence, probe &pending)
{
    std::vector<vm_id> relays;
    const auto *target = table.find(pending.target);
    for (const auto &[vm, record] : table.all()) {
        const bool sameDataCenter = target && record.vm.dataCenter == target->vm.dataCenter;
        const bool usable = record.state() == member_state::Alive && vm != pending.target;
        if (sameDataCenter && usable && !isSelf(vm))
            relays.push_back(vm);
    }
    std::shuffle(relays.begin(), relays.end(), m_random);
    const bool local = target && target->vm.dataCenter == options.self.dataCenter;
    relays.resize(std::min<std::size_t>(relays.size(), local ? options.indirectProbes : 1));
    for (const auto &vm : pickMembers(options.indirectProbes, true, pending.target)) {
        const bool alreadyPicked = std::find(relays.begin(), relays.end(), vm) != relays.end();
        if (relays.size() < options.indirectProbes && !alreadyPicked)
            relays.push_back(vm);
    }
    // Repeats the direct probe, which on a lossy path is as useful as an indirect one.
    sendTo(pending.target, makeMessage(gossip_kind::Ping, sequence));
    for (const auto &vm : relays) {
        auto message = makeMessage(gossip_kind::IndirectPing, sequence);
        message.target = pending.target;
        sendTo(vm, std::move(message));
    }
    pending.relays = relays.size();
}

void membership::implementation::handleFailedProbe(const probe &pending)
{
    const auto *record = table.find(pending.target);
    const bool relevant = record && record->status != member_status::Dead;
    if (!relevant || pending.kind == probe_kind::Extra)
        return;
    counters.failedProbes++;
    // No relay answered either, so the fault is probably on this node.
    if (pending.relays > 0 && pending.nacks == 0)
        healthScore = std::min(healthScore + 1, options.maxHealthScore);
    // A single failed probe is common on a lossy network, and each suspicion costs datagrams on all
    // nodes, so the probe is repeated first. A member without any update counts as suspected
    // already.
    if (pending.kind == probe_kind::Retry || record->status == member_status::Suspect)
        suspect(pending.target);
    else
        startProbe(pending.target, probe_kind::Retry);
}

std::vector<vm_id> membership::implementation::pickMembers(std::size_t count, bool localFirst,
                                                           const vm_id &except)
{
    std::vector<std::pair<bool, vm_id>> candidates;
    for (const auto &[vm, record] : table.all()) {
        const bool isRemote = record.vm.dataCenter != options.self.dataCenter;
        if (isSelf(vm) || vm == except || record.status == member_status::Dead)
            continue;
        candidates.emplace_back(localFirst && isRemote, vm);
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<vm_id> picked;
    for (const auto &[isRemote, vm] : candidates) {
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
