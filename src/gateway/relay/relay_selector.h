#pragma once

#include "gateway/relay/relay_fields.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace orchidlead::gateway {

/// Most relays that a call is sent to in turn; one that can't help refuses within milliseconds.
inline constexpr std::uint32_t MaxRelaysTried = 3;

/// A peer that may relay calls.
struct relay_candidate
{
    vm_id vm;
    socket_address address; ///< of its relay listener
    data_center_id dataCenter;
    region_id region;
};

/// Chooses the peers that relay this node's calls: near ones unless they have many more calls than
/// others, and of two drawn at random the one with fewer calls of this node. Peers that refused are
/// passed over for a while, and ones that left a call unanswered are chosen less often. In a large
/// fleet a random part of the peers is considered at a time.
class relay_selector
{
public:
    relay_selector(const clock_source &clock, data_center_id own, std::uint32_t seed);

    /// Replaces the peers that may be chosen.
    void setCandidates(std::vector<relay_candidate> candidates);
    /// Returns a peer in the region, of the given data centres only if there is no other one; empty
    /// if there is none, or all have refused lately.
    [[nodiscard]] std::optional<relay_candidate>
    choose(const region_id &region, const std::vector<data_center_id> &lastResort = {});
    void onStarted(const vm_id &relay);
    void onEnded(const vm_id &relay);
    /// Records that the relay refused a call for a reason of its own, or didn't answer (empty).
    void onRefused(const vm_id &relay, std::optional<relay_result> why);
    /// Records that a call was given up without a byte from the relay. It may be suspended, or the
    /// server may be slow.
    void onUnanswered(const vm_id &relay);

private:
    struct relay_state
    {
        std::uint32_t calls = 0; ///< of this node, in progress
        steady_time avoidUntil{};
        steady_time unansweredUntil{}; ///< counts as having more calls
    };

    [[nodiscard]] std::uint32_t load(const vm_id &relay) const;

    /// Draws two at random and returns the one with fewer calls; null if the list is empty.
    [[nodiscard]] const relay_candidate *
    drawLessUsed(const std::vector<const relay_candidate *> &from);
    [[nodiscard]] std::vector<const relay_candidate *>
    available(const region_id &region, const std::vector<data_center_id> &excluded) const;

    const clock_source &m_clock;
    data_center_id m_own;
    std::mt19937 m_random; ///< its first values differ for seeds in sequence, too
    std::vector<relay_candidate> m_candidates;
    std::map<vm_id, relay_state> m_states;
};

} // namespace orchidlead::gateway
