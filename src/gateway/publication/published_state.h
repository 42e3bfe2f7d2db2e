#pragma once

#include "gateway/codec.h"
#include "gateway/publication/configuration.h"
#include "gateway/publication/evacuations.h"
#include "gateway/publication/store_history.h"
#include "gateway/servers/server_directory.h"
#include "gateway/servers/version_history.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// An effect of an update of the published state, for the log.
struct publication_event
{
    enum class event_type {
        ConfigurationInForce,
        ConfigurationOlder, ///< older than the version in force; ignored
        ServerOutdated, ///< older than what is known of the server; ignored
        Unreadable, ///< the previous state is kept
        ServerAdded,
        ServerCold, ///< reported as cold and not known to be cold before
        ServerLeaving,
        ServerRemoved,
        RemovalDeferred, ///< applied later: entries expire while the store is unreachable
        DataCenterEvacuated, ///< its servers get no new work
        DataCenterReturned, ///< its servers get new work again
    };
    event_type kind = event_type::Unreadable;
    std::string subject; ///< version, server, data centre or key; or a count of them
    std::string detail;
};

/// Longest time without contact in which no entry of a sound server expires: an entry expires after
/// three heartbeats of its server, of which the first was due when the contact ended.
inline constexpr milliseconds MaxContactGap{2400};

/// Holds the state published by the platform: the latest configuration, the backend servers and the
/// evacuated data centres.
///
/// The configuration version never decreases, and an item is applied only if it isn't older than
/// what is known of its server: answers of the store and messages of peers overtake each other,
/// also those that one reader sends. While the store is unreachable, the entries of live servers
/// expire, and they return shortly after the store does. Removals read in that period are therefore
/// applied only after a delay.
class published_state
{
public:
    published_state(const clock_source &clock, server_directory &directory,
                    milliseconds removalDelay);

    /// Applies changes. Returns their effects.
    std::vector<publication_event> apply(const std::vector<published_item> &items);
    /// Applies a complete list of servers as of a store revision; servers that are not in it and
    /// have not changed since are removed.
    std::vector<publication_event> applyList(const std::vector<published_item> &items,
                                             std::uint64_t revision);
    /// Applies the complete content of some parts (`digestPartOf`) of a list of servers as of a
    /// store revision; other servers of these parts that have not changed since are removed.
    std::vector<publication_event> applyParts(const std::vector<published_item> &items,
                                              const std::set<std::uint32_t> &parts,
                                              std::uint64_t revision);
    /// Returns whether an item is older than what is known of its server.
    [[nodiscard]] bool isOutdated(const published_item &item) const;
    /// Returns the store revision up to which a server is known to be removed; 0: it isn't.
    [[nodiscard]] std::uint64_t removalRevision(const backend_server_id &id) const;
    /// Returns the store revision of the last known change of a server; 0: unknown.
    [[nodiscard]] std::uint64_t serverRevision(const backend_server_id &id) const;
    /// Applies everything that operators have published, read from the store at `revision` or
    /// later; data centres not evacuated there are no longer evacuated.
    std::vector<publication_event> applyOperatorItems(const std::vector<published_item> &items,
                                                      std::uint64_t revision);
    /// Records that all changes up to `revision` have been applied.
    void advanceEvacuations(std::uint64_t revision) { m_evacuations.advanceRevision(revision); }
    /// Applies the list of evacuated data centres of a peer if it is newer.
    std::vector<publication_event> mergeEvacuations(const evacuation_list &list);
    [[nodiscard]] const evacuation_list &evacuations() const { return m_evacuations.list(); }
    /// Applies the deferred removals that are due.
    std::vector<publication_event> tick();

    /// Records that changes may have been missed: servers that came and left before the list that
    /// is applied next.
    void onChangesMissed() { m_versions.forgetBeforeNow(); }
    /// Records that a call to the store failed. The next call has to follow soon and must not wait
    /// for changes, so that its outcome shows whether the store answers.
    void onStoreFailed();
    /// Records that the store answered. Removals are deferred if this node had no contact for
    /// longer than `MaxContactGap`, and if several calls in a row failed before, unless the nodes
    /// that it follows have the current state and don't defer removals.
    void onStoreAnswered();
    /// Sets the function that returns for how much longer the nodes that this node follows defer
    /// removals; empty if none of them has the current state.
    void setSourceDeferral(std::function<std::optional<milliseconds>()> deferral)
    {
        m_sourceDeferral = std::move(deferral);
    }
    /// Records a message with current state and the time since the store answered its reader.
    /// Removals are deferred if this node had no contact for longer than `MaxContactGap` before.
    void onReaderContact(milliseconds age);
    /// Defers removals for `time`, but not for longer than after a failure of the store.
    void deferRemovals(milliseconds time);
    [[nodiscard]] milliseconds removalsDeferred() const;
    /// Returns whether the removal of that server has been read and is still deferred.
    [[nodiscard]] bool defersRemoval(const backend_server_id &id) const
    {
        return m_deferred.contains(id);
    }

    [[nodiscard]] const configuration_ptr &currentConfiguration() const { return m_configuration; }
    /// Returns the text of the current configuration as it was published.
    [[nodiscard]] const std::string &configurationText() const { return m_configurationText; }
    /// Returns whether a list of servers, possibly an old one, has been applied.
    [[nodiscard]] bool hasServerList() const { return m_listed; }
    /// Returns when the store, or a source with current state, last sent something. The state is at
    /// least that recent.
    [[nodiscard]] steady_time lastContactAt() const { return m_lastContactAt; }
    /// Returns the software versions that have been published as ready.
    [[nodiscard]] const version_history &versions() const { return m_versions; }
    /// Returns the store revision of the last known change of the servers that are ready.
    [[nodiscard]] std::uint64_t readyRevision() const { return m_readyRevision; }
    /// Returns the last change that was recent when this node read its first list.
    [[nodiscard]] const recent_change &recentAtStart() const { return m_recentAtStart; }
    /// Adds what was published before this node read a list.
    void addEarlierVersions(const std::vector<earlier_ready_time> &earlier, steady_time since)
    {
        m_versions.addEarlier(earlier, since);
    }
    void onConfiguration(std::function<void(const configuration_ptr &)> handler)
    {
        m_onConfiguration = std::move(handler);
    }

private:
    [[nodiscard]] std::vector<publication_event> applyAll(const std::vector<published_item> &items);
    /// Records which servers an update has made ready. While no list is known they are incomplete.
    /// `revision` is the latest one of the update.
    void recordReadyChanges(std::uint64_t revision);
    /// Records a change that the directory doesn't show: the removal of a server is deferred.
    void recordReady(const ready_change &change);
    void recordRecentChange(const std::vector<published_item> &firstList);
    void applyOne(const published_item &item, std::vector<publication_event> &events);
    void applyServer(const published_server &announced, std::vector<publication_event> &events);
    void applyRemoval(const removed_server &removal, std::vector<publication_event> &events);
    void recordRemoval(const removed_server &removal);
    /// Records that the state was current at a time. Returns whether entries may have expired and
    /// returned unnoticed since the contact before.
    bool recordContact(steady_time at);
    [[nodiscard]] bool isOutdated(const published_server &announced) const;
    [[nodiscard]] bool isOutdated(const removed_server &removal) const;
    void applyConfiguration(const published_configuration &published,
                            std::vector<publication_event> &events);
    void applyEvacuation(const published_evacuation &change,
                         std::vector<publication_event> &events);
    /// Updates the directory and adds events for the data centres that differ from `before`.
    void onEvacuations(const std::set<data_center_id> &before,
                       std::vector<publication_event> &events);

    const clock_source &m_clock;
    server_directory &m_directory;
    milliseconds m_removalDelay;
    configuration_ptr m_configuration;
    std::string m_configurationText;
    evacuation_state m_evacuations;
    version_history m_versions;
    std::uint64_t m_readyRevision = 0;
    bool m_readyDiffers = false; ///< `recordReady` was called in this update
    bool m_listed = false;
    std::uint32_t m_failedCalls = 0; ///< to the store, since its last answer
    recent_change m_recentAtStart;
    steady_time m_lastContactAt{};
    steady_time m_deferUntil{}; ///< removals read before this time are deferred until it
    std::map<backend_server_id, steady_time> m_deferred;
    std::map<backend_server_id, std::uint64_t> m_revisions; ///< of the last change of each server
    /// Revisions up to which servers are known to be removed, also while the removal is deferred.
    std::map<backend_server_id, std::uint64_t> m_removals;
    std::deque<removed_server> m_removalOrder; ///< oldest first
    std::function<void(const configuration_ptr &)> m_onConfiguration;
    std::function<std::optional<milliseconds>()> m_sourceDeferral;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array
    orchidlead::enumNames<orchidlead::gateway::publication_event::event_type>{
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::ConfigurationInForce,
            "configuration_in_force"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::ConfigurationOlder,
            "configuration_older"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::ServerOutdated, "server_outdated"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::Unreadable,
            "publication_unreadable"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::ServerAdded, "server_added"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::ServerCold, "server_cold"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::ServerLeaving, "server_leaving"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::ServerRemoved, "server_removed"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::RemovalDeferred,
            "server_removal_deferred"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::DataCenterEvacuated,
            "data_center_evacuated"},
        orchidlead::enum_name<orchidlead::gateway::publication_event::event_type>{
            orchidlead::gateway::publication_event::event_type::DataCenterReturned,
            "data_center_returned"},
    };
