#include "gateway/publication/store_history.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>

namespace orchidlead::gateway {

namespace {

// The times of day of the VMs differ by less than this.
constexpr std::chrono::seconds MaxClockError{3};
// A server is published within this time after its start, unless the store is down.
constexpr std::chrono::seconds MaxRegistrationDelay{3};

/// What is known of an entry at one time.
struct entry_state
{
    std::optional<service_id> service; ///< empty: may be any
    std::optional<software_version> version; ///< empty: may be any

    bool operator==(const entry_state &) const = default;
};

wall_time startTimeOf(std::uint64_t startedAt)
{
    return wall_time(milliseconds(startedAt));
}

/// Replays changes and collects the shares of each service after each of them.
class share_replay
{
public:
    /// Changes an entry by a certain time; without a state, removes it.
    void put(const backend_server_id &id, const std::optional<entry_state> &state,
             const std::optional<wall_time> &appliedBy = std::nullopt)
    {
        std::optional<entry_state> before;
        if (const auto found = m_entries.find(id); found != m_entries.end())
            before = found->second;
        if (before == state)
            return;
        if (before)
            count(*before, -1);
        if (state)
            count(*state, 1);
        if (state)
            m_entries[id] = *state;
        else
            m_entries.erase(id);
        if (m_collecting)
            collectChanged(appliedBy);
    }
    /// Collects the shares from now on, beginning with the present ones.
    void beginCollecting()
    {
        m_collecting = true;
        collectChanged(wall_time{});
    }
    [[nodiscard]] bool isFull() const { return m_full; }
    [[nodiscard]] earlier_shares take() { return std::move(m_collected); }

private:
    void count(const entry_state &state, int by)
    {
        if (!state.service) {
            m_unknownOfAny += static_cast<std::uint32_t>(by);
            for (const auto &[service, shares] : m_shares)
                m_changed.insert(service);
            return;
        }
        auto &shares = m_shares[*state.service];
        auto &counter = state.version ? shares.servers[*state.version] : shares.unknown;
        counter += static_cast<std::uint32_t>(by);
        if (state.version && counter == 0)
            shares.servers.erase(*state.version);
        m_changed.insert(*state.service);
    }
    void collectChanged(const std::optional<wall_time> &appliedBy)
    {
        for (const auto &service : m_changed) {
            auto shares = m_shares[service];
            shares.unknown += m_unknownOfAny;
            auto &collected = m_collected[service];
            collected.push_back({std::move(shares), appliedBy});
            m_full = m_full || collected.size() > MaxReconstructedChanges;
        }
        m_changed.clear();
    }

    std::map<backend_server_id, entry_state> m_entries;
    std::map<service_id, version_shares> m_shares;
    std::uint32_t m_unknownOfAny = 0;
    std::set<service_id> m_changed; ///< services whose shares were not collected since they changed
    bool m_collecting = false;
    bool m_full = false;
    earlier_shares m_collected;
};

/// Returns the state of an entry whose server takes new requests; empty if it takes none.
std::optional<entry_state> readyStateOf(const published_server &written)
{
    if (written.record.leaving)
        return std::nullopt;
    return entry_state{written.record.service, written.record.version};
}

/// Returns what is known of an entry before the first of its changes that the history shows; empty
/// if the entry didn't exist.
std::optional<entry_state> stateBefore(const published_item &first, const store_history &history,
                                       wall_time since)
{
    const auto *written = std::get_if<published_server>(&first);
    if (history.isWhole || (written && written->created != 0 && written->created > history.after))
        return std::nullopt;
    if (!written)
        return entry_state{};
    const auto &record = written->record;
    const bool isSameStart =
        record.startedAt && startTimeOf(*record.startedAt) < since - MaxClockError;
    return entry_state{record.service, isSameStart ? std::optional(record.version) : std::nullopt};
}

std::optional<backend_server_id> subjectOf(const published_item &item)
{
    if (const auto *written = std::get_if<published_server>(&item))
        return written->record.id;
    if (const auto *removed = std::get_if<removed_server>(&item))
        return removed->id;
    return std::nullopt;
}

/// Returns the latest time at which each of the changes can have happened. Only the start of a
/// server that has just been published dates a change, and those before it. A server that started
/// before others that were published earlier was published late, so its start dates nothing.
std::vector<std::optional<wall_time>> latestTimes(const std::vector<published_item> &changes)
{
    std::vector<std::optional<wall_time>> times(changes.size());
    std::optional<wall_time> latestStart;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const auto *written = std::get_if<published_server>(&changes[i]);
        if (!written || !written->record.startedAt || written->created != written->revision)
            continue;
        const auto start = startTimeOf(*written->record.startedAt);
        latestStart = std::max(latestStart.value_or(start), start);
        if (start + MaxRegistrationDelay >= *latestStart)
            times[i] = *latestStart + MaxRegistrationDelay + MaxClockError;
    }
    for (std::size_t i = changes.size(); i-- > 1;) {
        if (times[i] && (!times[i - 1] || *times[i - 1] > *times[i]))
            times[i - 1] = times[i];
    }
    return times;
}

bool wasDropped(const store_history &history, wall_time since)
{
    return !history.isWhole && std::ranges::any_of(history.present, [&](const auto &item) {
        const auto *each = std::get_if<published_server>(&item);
        return each && each->created != 0 && each->created <= history.after
            && each->record.startedAt
            && startTimeOf(*each->record.startedAt) > since + MaxClockError;
    });
}

} // namespace

std::optional<earlier_shares> sharesSince(const store_history &history, wall_time since)
{
    if (wasDropped(history, since))
        return std::nullopt;
    share_replay replay;
    std::set<backend_server_id> changed;
    for (const auto &item : history.changes) {
        const auto id = subjectOf(item);
        if (id && changed.insert(*id).second)
            replay.put(*id, stateBefore(item, history, since));
    }
    for (const auto &item : history.present) {
        const auto *each = std::get_if<published_server>(&item);
        if (each && !changed.contains(each->record.id))
            replay.put(each->record.id, readyStateOf(*each));
    }
    replay.beginCollecting();
    const auto times = latestTimes(history.changes);
    for (std::size_t i = 0; i < history.changes.size(); ++i) {
        const auto id = subjectOf(history.changes[i]);
        if (!id)
            continue;
        const auto *written = std::get_if<published_server>(&history.changes[i]);
        replay.put(*id, written ? readyStateOf(*written) : std::nullopt, times[i]);
        if (replay.isFull())
            return std::nullopt;
    }
    return replay.take();
}

} // namespace orchidlead::gateway
