#include "core/once/handover_sender.h"

#include <algorithm>
#include <utility>

namespace orchidlead {

namespace {

constexpr milliseconds ResendInterval{500};
constexpr milliseconds SuccessorTimeout{2'000}; // without any acknowledgement
constexpr std::size_t PartsPerSend = 4;

} // namespace

handover_sender::handover_sender(const clock_source &clock)
    : m_clock(clock)
{ }

void handover_sender::begin(std::size_t shard, std::vector<shard_handover> parts,
                            std::vector<vm_id> successors)
{
    outgoing_handover handover;
    handover.acknowledged.assign(parts.size(), false);
    handover.parts = std::move(parts);
    handover.successors = std::move(successors);
    handover.lastProgressAt = m_clock.now();
    handover.nextSendAt = m_clock.now();
    m_shards.insert_or_assign(shard, std::move(handover));
}

std::vector<handover_sender::ended_handover>
handover_sender::tick(std::vector<key_home_outgoing> &out)
{
    const auto now = m_clock.now();
    std::vector<ended_handover> unplaced;
    for (auto entry = m_shards.begin(); entry != m_shards.end();) {
        outgoing_handover &handover = entry->second;
        if (!handover.successors.empty() && now >= handover.lastProgressAt + SuccessorTimeout)
            tryNextSuccessor(handover);
        if (handover.successors.empty()) {
            unplaced.push_back({entry->first, std::nullopt});
            entry = m_shards.erase(entry);
            continue;
        }
        if (now >= handover.nextSendAt) {
            handover.nextSendAt = now + ResendInterval;
            sendParts(handover, out);
        }
        ++entry;
    }
    return unplaced;
}

void handover_sender::sendParts(const outgoing_handover &handover,
                                std::vector<key_home_outgoing> &out)
{
    std::size_t sent = 0;
    for (std::size_t i = 0; i < handover.parts.size() && sent < PartsPerSend; ++i) {
        if (handover.acknowledged[i])
            continue;
        out.push_back({handover.successors.front(), handover.parts[i]});
        ++sent;
    }
}

void handover_sender::tryNextSuccessor(outgoing_handover &handover)
{
    handover.successors.erase(handover.successors.begin());
    std::fill(handover.acknowledged.begin(), handover.acknowledged.end(), false);
    handover.lastProgressAt = m_clock.now();
    handover.nextSendAt = m_clock.now();
}

std::optional<handover_sender::ended_handover> handover_sender::onReply(const vm_id &from,
                                                                        const handover_reply &reply)
{
    const auto found = m_shards.find(reply.shard);
    if (found == m_shards.end())
        return std::nullopt;
    outgoing_handover &handover = found->second;
    const bool expected = !handover.successors.empty() && handover.successors.front() == from
        && reply.holder == handover.parts.front().holder && reply.part < handover.parts.size();
    if (!expected)
        return std::nullopt;
    if (!reply.accepted) {
        tryNextSuccessor(handover);
        return std::nullopt;
    }
    handover.acknowledged[reply.part] = true;
    handover.lastProgressAt = m_clock.now();
    handover.nextSendAt = m_clock.now();
    const auto &all = handover.acknowledged;
    if (std::find(all.begin(), all.end(), false) != all.end())
        return std::nullopt;
    const ended_handover done{reply.shard,
                              shard_successor{{from, reply.successor}, reply.successorFirstRound}};
    m_shards.erase(found);
    return done;
}

} // namespace orchidlead
