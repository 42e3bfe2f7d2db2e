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
};

/// Replays changes and collects the times in which servers were ready.
class ready_replay
{
public:
    /// Changes an entry by a certain time; without a state, its server is no longer ready.
    void put(const backend_server_id &id, const std::optional<entry_state> &state,
             const std::optional<wall_time> &by)
    {
        const auto found = m_open.find(id);
        if (found != m_open.end()) {
            if (state && found->second.service == state->service
                && found->second.version == state->version)
                return;
            found->second.ended = true;
            found->second.to = by;
            m_collected.push_back(std::move(found->second));
            m_open.erase(found);
        }
        if (state)
            m_open[id] = {state->service, id, state->version, by, std::nullopt, false};
    }
    [[nodiscard]] std::vector<earlier_ready_time> take()
    {
        for (auto &[id, each] : m_open)
            m_collected.push_back(std::move(each));
        m_open.clear();
        return std::move(m_collected);
    }

private:
    std::map<backend_server_id, earlier_ready_time> m_open;
    std::vector<earlier_ready_time> m_collected;
};

wall_time startTimeOf(std::uint64_t startedAt)
{
    return wall_time(milliseconds(startedAt));
}

/// Returns the state of an entry whose server takes new requests; empty if it takes none.
std::optional<entry_state> readyStateOf(const published_server &written)
{
    if (written.record.leaving)
        return std::nullopt;
    return entry_state{written.record.service, written.record.version};
}

/// Returns what is known of an entry before the first of its changes that the history shows; empty
/// if the entry didn't exist. A server publishes that it leaves only after it was ready.
std::optional<entry_state> stateBefore(const published_item &first, const store_history &history,
                                       wall_time since)
{
    const auto *written = std::get_if<published_server>(&first);
    if (history.isWhole || (written && written->created != 0 && written->created > history.after))
        return std::nullopt;
    if (!written)
        return entry_state{};
    const auto &record = written->record;
    const bool isSameStart = record.leaving
        || (record.startedAt && startTimeOf(*record.startedAt) < since - MaxClockError);
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
/// server that is published for the first time dates a change, and those before it. An entry that
/// expired and returned has an old start, and so may one that was published late.
std::vector<std::optional<wall_time>> latestTimes(const store_history &history, wall_time since)
{
    const auto &changes = history.changes;
    std::vector<std::optional<wall_time>> times(changes.size());
    std::set<backend_server_id> seen;
    std::optional<wall_time> latestStart;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const auto *written = std::get_if<published_server>(&changes[i]);
        const auto id = subjectOf(changes[i]);
        const bool isFirst = id && seen.insert(*id).second;
        if (!written || !isFirst || !written->record.startedAt
            || written->created != written->revision)
            continue;
        const auto start = startTimeOf(*written->record.startedAt);
        if (!history.isWhole && start < since)
            continue;
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

bool wasDropped(const store_history &history, wall_time since, const recent_change &recent)
{
    if (history.isWhole)
        return false;
    if (recent.revision != 0 && recent.revision <= history.after && recent.readAt > since)
        return true;
    return std::ranges::any_of(history.present, [&](const auto &item) {
        const auto *each = std::get_if<published_server>(&item);
        return each && each->revision <= history.after && each->record.startedAt
            && startTimeOf(*each->record.startedAt) > since + MaxClockError;
    });
}

} // namespace

std::optional<std::vector<earlier_ready_time>>
readyTimesOf(const store_history &history, wall_time since, const recent_change &recent)
{
    if (wasDropped(history, since, recent))
        return std::nullopt;
    constexpr wall_time BeforeHistory{};
    ready_replay replay;
    std::set<backend_server_id> changed;
    for (const auto &item : history.changes) {
        const auto id = subjectOf(item);
        if (id && changed.insert(*id).second)
            replay.put(*id, stateBefore(item, history, since), BeforeHistory);
    }
    for (const auto &item : history.present) {
        const auto *each = std::get_if<published_server>(&item);
        if (each && !changed.contains(each->record.id))
            replay.put(each->record.id, readyStateOf(*each), BeforeHistory);
    }
    const auto times = latestTimes(history, since);
    for (std::size_t i = 0; i < history.changes.size(); ++i) {
        const auto id = subjectOf(history.changes[i]);
        if (!id)
            continue;
        const auto *written = std::get_if<published_server>(&history.changes[i]);
        replay.put(*id, written ? readyStateOf(*written) : std::nullopt, times[i]);
    }
    return replay.take();
}

} // namespace orchidlead::gateway
