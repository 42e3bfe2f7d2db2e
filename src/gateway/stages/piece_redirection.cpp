#include "gateway/stages/piece_redirection.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <tuple>

namespace orchidlead::gateway {

namespace {

// Time for the piece to go to the other pool by way of its submitter, and for its outcome: a round
// trip between data centres of a region takes 5 ms at most.
constexpr std::chrono::microseconds RoundTripTime{5'000};
// Rate at which inputs and results go between data centres of a region: a tenth of a 10 Gbit/s
// link, as many calls share it.
constexpr double LinkBytesPerSecond = 125e6;
// Work beyond its idle servers that one pool sends to another between two reports, as time of the
// other pool: the age up to which a report is used. Several loaded pools may choose the same one,
// and none knows of the others until the next report.
constexpr std::chrono::duration<double> MaxWorkAhead{0.3};

std::chrono::microseconds toMicroseconds(std::chrono::duration<double> time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

/// What is known of a target in the course of a decision.
class target_state
{
public:
    target_state(const redirection_target &target, const stage_capacity &capacity)
        : m_target(target)
        , m_callTime(capacity.callOverhead
                     + capacity.timePerPiece * static_cast<int>(capacity.maxPiecesPerCall))
        , m_idlePieces(std::uint64_t{target.load.idleServers} * capacity.maxPiecesPerCall)
        , m_sentPieces(target.sentPieces)
        , m_sentBytes(target.sentResultBytes)
    { }

    [[nodiscard]] const redirection_target &target() const { return m_target; }

    /// Returns whether the group would begin at once at idle servers.
    [[nodiscard]] bool fitsIdle(const waiting_group &group) const
    {
        return m_sentPieces + group.tokens.size() <= m_idlePieces;
    }
    [[nodiscard]] bool canTake(const waiting_group &group) const
    {
        const auto &load = m_target.load;
        const bool hasRoom = load.freeResultBytes == UnlimitedResultBytes
            || m_sentBytes + group.resultBytes <= load.freeResultBytes;
        return load.piecesPerSecond > 0 && hasRoom && workAhead(group) <= MaxWorkAhead;
    }
    /// Returns the expected time until the group's last piece begins in this pool, without the
    /// margin of a call.
    [[nodiscard]] std::chrono::microseconds delayOf(const waiting_group &group) const
    {
        const auto &load = m_target.load;
        const auto moved =
            group.resultBytes + (group.inputsIn == load.pool.dataCenter ? 0 : group.inputBytes);
        const std::chrono::duration<double> transfer(static_cast<double>(moved)
                                                     / LinkBytesPerSecond);
        return load.waitOf(group.rank) + toMicroseconds(workAhead(group) + transfer)
            + RoundTripTime;
    }
    /// Returns how much sooner than by the margin of a call the group begins here; negative: the
    /// group stays.
    [[nodiscard]] std::chrono::microseconds gainOf(const waiting_group &group) const
    {
        return group.wait - delayOf(group) - m_callTime;
    }
    [[nodiscard]] bool isInTime(const waiting_group &group) const
    {
        return delayOf(group) + m_callTime <= group.softDeadlineLeft;
    }
    [[nodiscard]] bool isInTimeAtHome(const waiting_group &group) const
    {
        return group.wait + m_callTime <= group.softDeadlineLeft;
    }

    void add(const waiting_group &group)
    {
        m_sentPieces += group.tokens.size();
        m_sentBytes += group.resultBytes;
        m_chosen.to = m_target.load.pool;
        m_chosen.tokens.insert(m_chosen.tokens.end(), group.tokens.begin(), group.tokens.end());
        ++m_chosen.groups;
        m_chosen.resultBytes += group.resultBytes;
        m_chosen.longestWait = std::max(m_chosen.longestWait, group.wait);
        m_chosen.reportedWait = std::max(m_chosen.reportedWait, m_target.load.waitOf(group.rank));
        m_chosen.reportAge = m_target.age;
    }
    [[nodiscard]] const piece_redirection &chosen() const { return m_chosen; }

private:
    /// Returns the time that the pool needs for what was sent and isn't in its report, beyond what
    /// its idle servers take at once.
    [[nodiscard]] std::chrono::duration<double> workAhead(const waiting_group &group) const
    {
        const auto sent = m_sentPieces + group.tokens.size();
        const auto beyond = sent > m_idlePieces ? sent - m_idlePieces : 0;
        return std::chrono::duration<double>(static_cast<double>(beyond)
                                             / m_target.load.piecesPerSecond);
    }

    const redirection_target &m_target;
    std::chrono::microseconds m_callTime;
    std::uint64_t m_idlePieces;
    std::uint64_t m_sentPieces;
    std::uint64_t m_sentBytes;
    piece_redirection m_chosen;
};

/// Returns the target with the largest gain; null if the group has to stay. A group that would be
/// late there as well goes to idle servers alone, where it delays no other piece.
target_state *bestTarget(std::vector<target_state> &targets, const waiting_group &group)
{
    target_state *best = nullptr;
    for (auto &each : targets) {
        if (!each.canTake(group) || each.gainOf(group) <= std::chrono::microseconds{0}
            || !(each.isInTime(group) || each.fitsIdle(group)))
            continue;
        if (!best || each.gainOf(group) > best->gainOf(group))
            best = &each;
    }
    return best;
}

/// A group that gains, with its place in the order of choice.
struct candidate
{
    const waiting_group *group = nullptr;
    int use = 0; ///< 0: in time there alone; 1: in time at home as well; 2: late anyway
    std::chrono::microseconds gain{0};

    [[nodiscard]] auto order() const
    {
        return std::tuple(use, -gain, group->inputBytes + group->resultBytes);
    }
};

std::vector<candidate> candidatesOf(const std::vector<waiting_group> &groups,
                                    std::vector<target_state> &targets)
{
    std::vector<candidate> candidates;
    for (const auto &each : groups) {
        const auto *best = bestTarget(targets, each);
        if (!best)
            continue;
        const int use = !best->isInTime(each) ? 2 : best->isInTimeAtHome(each) ? 1 : 0;
        candidates.push_back({&each, use, best->gainOf(each)});
    }
    std::ranges::stable_sort(candidates, {}, &candidate::order);
    return candidates;
}

} // namespace

std::vector<piece_redirection> chooseRedirections(const std::vector<waiting_group> &groups,
                                                  const std::vector<redirection_target> &targets,
                                                  const stage_capacity &capacity)
{
    std::vector<target_state> states;
    states.reserve(targets.size());
    for (const auto &each : targets)
        states.emplace_back(each, capacity);
    for (const auto &each : candidatesOf(groups, states)) {
        if (auto *best = bestTarget(states, *each.group))
            best->add(*each.group);
    }
    std::vector<piece_redirection> chosen;
    for (const auto &each : states) {
        if (!each.chosen().tokens.empty())
            chosen.push_back(each.chosen());
    }
    return chosen;
}

} // namespace orchidlead::gateway
