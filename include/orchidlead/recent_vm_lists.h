#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace orchidlead {

/// Keeps the VM lists of a recent period, so that a lease can require a majority of each.
///
/// Two nodes may have different VM lists, and majorities of different lists need not overlap. They
/// do overlap if the list of each lease holder was confirmed recently, and each holder needs a
/// majority of every list of a period longer than the time for which lists can differ.
class recent_vm_lists
{
public:
    /// The current list is valid for `maxAge` after its last confirmation. A replaced list is kept
    /// for `retention`.
    recent_vm_lists(milliseconds maxAge, milliseconds retention);

    /// Sets the current list; `confirmedAt` is when the platform last confirmed it.
    void set(std::vector<vm_id> vms, steady_time confirmedAt, steady_time now);

    [[nodiscard]] const std::vector<vm_id> &current() const { return m_current; }

    /// Whether a VM is in the current list or a recent one.
    [[nodiscard]] bool contains(const vm_id &vm) const;

    /// Returns all VMs of the current and recent lists, without duplicates.
    [[nodiscard]] std::vector<vm_id> voters() const;

    /// Whether all lists of the last `retention` are known, without a gap.
    [[nodiscard]] bool complete(steady_time now) const;

    /// Returns when the current list becomes too old.
    [[nodiscard]] steady_time validUntil() const { return m_confirmedAt + m_maxAge; }

    /// Returns when the vote of a VM expires.
    using vote_expiry = std::function<steady_time(const vm_id &)>;

    /// Returns until when the votes of more than half of the current list are valid; with
    /// `includePast`, of each recent list too.
    [[nodiscard]] steady_time majorityUntil(const vote_expiry &voteExpiry, bool includePast) const;

    /// Removes lists that were replaced longer than `retention` ago.
    void tick(steady_time now);

private:
    struct past_list
    {
        std::vector<vm_id> vms;
        steady_time replacedAt;
    };

    static constexpr std::size_t MaxPastLists = 32;

    milliseconds m_maxAge;
    milliseconds m_retention;
    std::vector<vm_id> m_current; // sorted
    std::vector<past_list> m_past; // oldest first
    steady_time m_confirmedAt;
    steady_time m_completeSince;
    bool m_initialized = false;
};

} // namespace orchidlead
