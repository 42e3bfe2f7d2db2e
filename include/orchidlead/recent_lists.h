#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace orchidlead {

/// Remembers the VM lists of the last minutes, so that a lease can ask for a majority of each.
///
/// Two nodes may hold different lists, and majorities of different lists need not meet. They do
/// if each holder's list is fresh and each asks a majority of every list of a time that is longer
/// than the lists can differ.
class recent_lists
{
public:
    /// A list that nobody vouched for during `maxAge` isn't used; a replaced one counts on for
    /// `memory`.
    recent_lists(milliseconds maxAge, milliseconds memory);

    /// Takes the list in force; `confirmedAt` is when the platform last vouched for it.
    void set(std::vector<vm_id> vms, steady_time confirmedAt, steady_time now);

    [[nodiscard]] const std::vector<vm_id> &current() const { return m_current; }

    /// Tells whether a VM is in any of the recent lists.
    [[nodiscard]] bool contains(const vm_id &vm) const;

    /// Gives all VMs of the recent lists, without doubles.
    [[nodiscard]] std::vector<vm_id> voters() const;

    /// Tells whether the lists of all of `memory` are known, without a gap.
    [[nodiscard]] bool complete(steady_time now) const;

    /// Gives when the current list becomes too old.
    [[nodiscard]] steady_time freshUntil() const { return m_confirmedAt + m_maxAge; }

    using vote_end = std::function<steady_time(const vm_id &)>;

    /// Gives until when more than half of the current list vote, and of every recent one where
    /// `everyList`.
    [[nodiscard]] steady_time majorityUntil(const vote_end &voteOf, bool everyList) const;

    /// Forgets the lists that are older than the memory.
    void tick(steady_time now);

private:
    struct past_list
    {
        std::vector<vm_id> vms;
        steady_time replacedAt;
    };

    static constexpr std::size_t MaxLists = 32;

    milliseconds m_maxAge;
    milliseconds m_memory;
    std::vector<vm_id> m_current; // sorted
    std::vector<past_list> m_past; // oldest first
    steady_time m_confirmedAt;
    steady_time m_completeSince;
    bool m_known = false;
};

} // namespace orchidlead
