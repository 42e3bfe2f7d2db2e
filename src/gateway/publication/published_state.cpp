#include "gateway/publication/published_state.h"

#include "gateway/publication/list_digest.h"

#include <algorithm>
#include <map>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Number of successive failed calls after which the store counts as away: the one after a failed
// call follows soon and doesn't wait for changes.
constexpr std::uint32_t MinFailedCalls = 2;

template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

using event_type = publication_event::event_type;

// Up to this many events of one kind in an update are reported one by one.
constexpr std::size_t MaxSeparateEvents = 24;

// Number of removals whose revisions are kept, so that older entries of the servers are ignored:
// more servers than are replaced on an ordinary day.
constexpr std::size_t MaxKeptRemovals = 8192;

// Replaces many events of one kind by one with their count: otherwise the list of thousands of
// servers that a node reads at its start would cause as many log lines.
std::vector<publication_event> summarized(std::vector<publication_event> events)
{
    std::map<event_type, std::size_t> counts;
    for (const auto &each : events)
        ++counts[each.kind];
    std::erase_if(counts, [](const auto &entry) { return entry.second <= MaxSeparateEvents; });
    if (counts.empty())
        return events;
    std::erase_if(events, [&](const auto &each) { return counts.contains(each.kind); });
    for (const auto &[kind, count] : counts)
        events.push_back({kind, std::to_string(count), "at once"});
    return events;
}

std::uint64_t latestRevisionOf(const std::vector<published_item> &items)
{
    std::uint64_t latest = 0;
    for (const auto &item : items) {
        if (const auto *written = std::get_if<published_server>(&item))
            latest = std::max(latest, written->revision);
        else if (const auto *removed = std::get_if<removed_server>(&item))
            latest = std::max(latest, removed->revision);
    }
    return latest;
}

} // namespace

published_state::published_state(const clock_source &clock, server_directory &directory,
                                 milliseconds removalDelay)
    : m_clock(clock)
    , m_directory(directory)
    , m_removalDelay(removalDelay)
    , m_versions(clock)
{ }

std::vector<publication_event> published_state::apply(const std::vector<published_item> &items)
{
    auto events = applyAll(items);
    recordReadyChanges(latestRevisionOf(items));
    return summarized(std::move(events));
}

void published_state::recordReadyChanges(std::uint64_t revision)
{
    if (!m_listed)
        return;
    const auto changes = m_directory.takeReadyChanges();
    for (const auto &each : changes)
        m_versions.record(each);
    if (std::exchange(m_readyDiffers, false) || !changes.empty())
        m_readyRevision = std::max(m_readyRevision, revision);
}

void published_state::recordReady(const ready_change &change)
{
    for (const auto &each : m_directory.takeReadyChanges())
        m_versions.record(each);
    m_versions.record(change);
    m_readyDiffers = true;
}

std::vector<publication_event> published_state::applyAll(const std::vector<published_item> &items)
{
    std::vector<publication_event> events;
    for (const auto &item : items)
        applyOne(item, events);
    return events;
}

void published_state::applyOne(const published_item &item, std::vector<publication_event> &events)
{
    std::visit(overloaded{
                   [&](const published_server &each) { applyServer(each, events); },
                   [&](const removed_server &each) { applyRemoval(each, events); },
                   [&](const published_configuration &each) { applyConfiguration(each, events); },
                   [&](const published_evacuation &each) { applyEvacuation(each, events); },
                   [&](const unreadable_item &each) {
                       events.push_back({event_type::Unreadable, each.key, each.what});
                   },
               },
               item);
}

std::vector<publication_event> published_state::applyList(const std::vector<published_item> &items,
                                                          std::uint64_t revision)
{
    std::set<std::uint32_t> all;
    for (std::uint32_t part = 0; part < DigestParts; ++part)
        all.insert(part);
    return applyParts(items, all, revision);
}

std::vector<publication_event> published_state::applyParts(const std::vector<published_item> &items,
                                                           const std::set<std::uint32_t> &parts,
                                                           std::uint64_t revision)
{
    auto events = applyAll(items);
    std::set<backend_server_id> present;
    for (const auto &item : items) {
        if (const auto *each = std::get_if<published_server>(&item))
            present.insert(each->record.id);
    }
    for (const auto &each : m_directory.all()) {
        const auto &id = each->record.id;
        if (!present.contains(id) && parts.contains(static_cast<std::uint32_t>(digestPartOf(id))))
            applyRemoval({id, revision}, events);
    }
    if (!std::exchange(m_listed, true))
        recordRecentChange(items);
    recordReadyChanges(std::max(revision, latestRevisionOf(items)));
    return summarized(std::move(events));
}

// Servers that publish no start don't show when they changed, but one that is leaving or cold did
// so a short time ago.
void published_state::recordRecentChange(const std::vector<published_item> &firstList)
{
    m_recentAtStart.readAt = m_clock.wallNow();
    for (const auto &item : firstList) {
        const auto *each = std::get_if<published_server>(&item);
        if (each && (each->record.leaving || each->coldTimeLeft > milliseconds{0}))
            m_recentAtStart.revision = std::max(m_recentAtStart.revision, each->revision);
    }
}

std::uint64_t published_state::serverRevision(const backend_server_id &id) const
{
    const auto found = m_revisions.find(id);
    return found == m_revisions.end() ? 0 : found->second;
}

std::uint64_t published_state::removalRevision(const backend_server_id &id) const
{
    const auto found = m_removals.find(id);
    return found == m_removals.end() ? 0 : found->second;
}

bool published_state::isOutdated(const published_server &announced) const
{
    if (announced.revision == 0)
        return false;
    const auto &id = announced.record.id;
    return announced.revision < serverRevision(id) || announced.revision <= removalRevision(id);
}

bool published_state::isOutdated(const removed_server &removal) const
{
    return removal.revision != 0 && removal.revision < serverRevision(removal.id);
}

bool published_state::isOutdated(const published_item &item) const
{
    if (const auto *announced = std::get_if<published_server>(&item))
        return isOutdated(*announced);
    const auto *removal = std::get_if<removed_server>(&item);
    return removal && isOutdated(*removal);
}

void published_state::recordRemoval(const removed_server &removal)
{
    if (removal.revision <= removalRevision(removal.id))
        return;
    m_removals[removal.id] = removal.revision;
    m_removalOrder.push_back(removal);
    if (m_removalOrder.size() <= MaxKeptRemovals)
        return;
    const auto oldest = std::move(m_removalOrder.front());
    m_removalOrder.pop_front();
    if (removalRevision(oldest.id) == oldest.revision)
        m_removals.erase(oldest.id);
}

void published_state::applyServer(const published_server &announced,
                                  std::vector<publication_event> &events)
{
    const auto &record = announced.record;
    if (isOutdated(announced)) {
        events.push_back({event_type::ServerOutdated, record.id.value,
                          "revision " + std::to_string(announced.revision)});
        return;
    }
    if (m_deferred.erase(record.id) > 0 && !record.leaving)
        recordReady({record.service, record.id, record.version, true});
    m_removals.erase(record.id);
    m_revisions[record.id] = std::max(serverRevision(record.id), announced.revision);
    const auto known = m_directory.find(record.id);
    const bool wasLeaving = known && known->record.leaving;
    const bool wasCold = known && known->cold(m_clock.now());
    m_directory.put(record, announced.coldTimeLeft);
    if (!known)
        events.push_back({event_type::ServerAdded, record.id.value, record.service.value});
    if (announced.coldTimeLeft > milliseconds{0} && !wasCold)
        events.push_back({event_type::ServerCold, record.id.value,
                          "for " + std::to_string(announced.coldTimeLeft.count()) + " ms"});
    if (record.leaving && !wasLeaving)
        events.push_back({event_type::ServerLeaving, record.id.value, record.service.value});
}

void published_state::applyRemoval(const removed_server &removal,
                                   std::vector<publication_event> &events)
{
    const auto &id = removal.id;
    if (isOutdated(removal)) {
        events.push_back({event_type::ServerOutdated, id.value,
                          "removal, revision " + std::to_string(removal.revision)});
        return;
    }
    recordRemoval(removal);
    const auto known = m_directory.find(id);
    if (!known)
        return;
    if (m_clock.now() < m_deferUntil) {
        if (m_deferred.emplace(id, m_deferUntil).second) {
            events.push_back({event_type::RemovalDeferred, id.value, known->record.service.value});
            // Other nodes may have removed the server, so nothing new may begin on its version.
            const auto &record = known->record;
            recordReady({record.service, id, record.version, false});
        }
        return;
    }
    m_deferred.erase(id);
    m_revisions.erase(id);
    m_directory.remove(id);
    events.push_back({event_type::ServerRemoved, id.value, known->record.service.value});
}

void published_state::applyConfiguration(const published_configuration &published,
                                         std::vector<publication_event> &events)
{
    const auto version = published.content.version;
    if (m_configuration && version <= m_configuration->version()) {
        if (version < m_configuration->version())
            events.push_back({event_type::ConfigurationOlder, std::to_string(version), {}});
        return;
    }
    m_configuration = std::make_shared<const configuration_index>(published.content);
    m_configurationText = published.text;
    events.push_back({event_type::ConfigurationInForce, std::to_string(version),
                      std::to_string(published.content.routes.size()) + " routes"});
    if (m_onConfiguration)
        m_onConfiguration(m_configuration);
}

void published_state::applyEvacuation(const published_evacuation &change,
                                      std::vector<publication_event> &events)
{
    const auto before = m_evacuations.list().dataCenters;
    if (m_evacuations.applyChange(change.dataCenter, change.evacuated, change.revision))
        onEvacuations(before, events);
}

std::vector<publication_event> published_state::mergeEvacuations(const evacuation_list &list)
{
    std::vector<publication_event> events;
    const auto before = m_evacuations.list().dataCenters;
    if (m_evacuations.replaceIfNewer(list))
        onEvacuations(before, events);
    return events;
}

std::vector<publication_event>
published_state::applyOperatorItems(const std::vector<published_item> &items,
                                    std::uint64_t revision)
{
    evacuation_list list{revision, {}};
    std::vector<published_item> others;
    for (const auto &item : items) {
        if (const auto *each = std::get_if<published_evacuation>(&item))
            list.dataCenters.insert(each->dataCenter);
        else
            others.push_back(item);
    }
    auto events = mergeEvacuations(list);
    std::ranges::move(applyAll(others), std::back_inserter(events));
    return events;
}

void published_state::onEvacuations(const std::set<data_center_id> &before,
                                    std::vector<publication_event> &events)
{
    const auto &list = m_evacuations.list();
    const auto report = [&](event_type kind, const data_center_id &dataCenter) {
        m_directory.setEvacuated(dataCenter, kind == event_type::DataCenterEvacuated);
        events.push_back({kind, dataCenter.value, "revision " + std::to_string(list.revision)});
    };
    for (const auto &each : list.dataCenters) {
        if (!before.contains(each))
            report(event_type::DataCenterEvacuated, each);
    }
    for (const auto &each : before) {
        if (!list.dataCenters.contains(each))
            report(event_type::DataCenterReturned, each);
    }
}

// A sound store may cut a watch or lose an answer at any time, so a single failed call is no sign
// that entries expire.
void published_state::onStoreFailed()
{
    ++m_failedCalls;
}

// Entries expire while their servers can't reach the store. If the store kept answering the nodes
// that this node follows, it was this node alone that was cut off, and removals are real.
void published_state::onStoreAnswered()
{
    const bool wasAway = std::exchange(m_failedCalls, 0) >= MinFailedCalls;
    if (recordContact(m_clock.now()))
        deferRemovals(m_removalDelay);
    else if (wasAway)
        deferRemovals(
            (m_sourceDeferral ? m_sourceDeferral() : std::nullopt).value_or(m_removalDelay));
}

void published_state::onReaderContact(milliseconds age)
{
    if (recordContact(m_clock.now() - age))
        deferRemovals(m_removalDelay);
}

bool published_state::recordContact(steady_time at)
{
    const bool missedChanges = m_listed && at - m_lastContactAt > MaxContactGap;
    if (missedChanges)
        m_versions.forgetBeforeNow();
    m_lastContactAt = std::max(m_lastContactAt, at);
    return missedChanges;
}

void published_state::deferRemovals(milliseconds time)
{
    m_deferUntil = std::max(m_deferUntil, m_clock.now() + std::min(time, m_removalDelay));
}

milliseconds published_state::removalsDeferred() const
{
    const auto left = std::chrono::duration_cast<milliseconds>(m_deferUntil - m_clock.now());
    return std::max(milliseconds{0}, left);
}

std::vector<publication_event> published_state::tick()
{
    std::vector<publication_event> events;
    std::erase_if(m_deferred, [&](const auto &each) {
        const auto &[id, due] = each;
        if (m_clock.now() < due)
            return false;
        if (const auto known = m_directory.find(id)) {
            m_revisions.erase(id);
            m_directory.remove(id);
            events.push_back({event_type::ServerRemoved, id.value, known->record.service.value});
        }
        return true;
    });
    recordReadyChanges(0); // of removals that were read before
    return summarized(std::move(events));
}

} // namespace orchidlead::gateway
