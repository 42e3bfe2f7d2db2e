#pragma once

#include "gateway/codec.h"
#include "gateway/publication/configuration.h"
#include "gateway/publication/evacuations.h"
#include "gateway/servers/server_directory.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// What a change of the published state came to, for the log.
struct publication_news
{
    enum class what {
        ConfigurationInForce,
        ConfigurationOlder, ///< than the one in force; ignored
        Unreadable, ///< the state before it stays
        ServerAdded,
        ServerCold, ///< it says so, and wasn't known to be
        ServerLeaving,
        ServerRemoved,
        RemovalDeferred, ///< entries lapse while the store is away
        DataCenterEvacuated, ///< its servers get nothing new
        DataCenterReturned, ///< and they do again
    };
    what kind = what::Unreadable;
    std::string subject; ///< a version, a server or a key; a number where there are many
    std::string detail;
};

/// Keeps what the platform publishes: the newest configuration and the backend servers.
///
/// The configuration only goes forward. While the store was away, entries of living servers lapse
/// and come back shortly after; removals that are read then are believed only later.
class published_state
{
public:
    published_state(const clock_source &clock, server_directory &directory,
                    milliseconds removalDelay);

    /// Takes changes. Returns what came of them.
    std::vector<publication_news> apply(const std::vector<published_item> &items);
    /// Takes a whole list of servers: those that aren't in it are removed.
    std::vector<publication_news> applyList(const std::vector<published_item> &items);
    /// Takes some parts of a list (`partOf`) whole: other servers of these parts are removed.
    std::vector<publication_news> applyParts(const std::vector<published_item> &items,
                                             const std::set<std::uint32_t> &parts);
    /// Takes all that operators published, read from the store at that revision or later: what
    /// isn't evacuated there isn't any more.
    std::vector<publication_news> applyOperations(const std::vector<published_item> &items,
                                                  std::uint64_t revision);
    /// Every change up to that revision was applied.
    void knowEvacuationsUpTo(std::uint64_t revision) { m_evacuations.knowUpTo(revision); }
    /// Takes what a peer knows to be evacuated, where it knows more.
    std::vector<publication_news> takeEvacuations(const evacuation_list &list);
    [[nodiscard]] const evacuation_list &evacuations() const { return m_evacuations.list(); }
    /// Removes what was deferred and hasn't come back.
    std::vector<publication_news> tick();

    /// The store didn't answer.
    void onStoreLost();
    /// The store answered.
    void onStoreBack();
    /// A peer that reads the store spoke.
    void onHeard() { m_heardAt = m_clock.now(); }
    /// Removals aren't believed for so long, as a peer knows that the store was away.
    void deferRemovals(milliseconds time);
    [[nodiscard]] milliseconds removalsDeferred() const;
    /// Whether the removal of that server was read and isn't believed yet.
    [[nodiscard]] bool defers(const backend_server_id &id) const { return m_deferred.contains(id); }

    [[nodiscard]] const configuration_ptr &current() const { return m_configuration; }
    /// The current configuration as it was published.
    [[nodiscard]] const std::string &configurationText() const { return m_configurationText; }
    /// Servers are known, be they old.
    [[nodiscard]] bool listed() const { return m_listed; }
    /// When the store or a peer that reads it last spoke: what is known is at least that fresh.
    [[nodiscard]] steady_time heardAt() const { return m_heardAt; }
    void onConfiguration(std::function<void(const configuration_ptr &)> handler)
    {
        m_onConfiguration = std::move(handler);
    }

private:
    [[nodiscard]] std::vector<publication_news> applyAll(const std::vector<published_item> &items);
    void applyOne(const published_item &item, std::vector<publication_news> &news);
    void takeServer(const published_server &told, std::vector<publication_news> &news);
    void takeRemoval(const backend_server_id &id, std::vector<publication_news> &news);
    void takeConfiguration(const published_configuration &published,
                           std::vector<publication_news> &news);
    void takeEvacuation(const published_evacuation &change, std::vector<publication_news> &news);
    /// Tells servers and the log what has become of data centres since `before`.
    void onEvacuations(const std::set<data_center_id> &before, std::vector<publication_news> &news);

    const clock_source &m_clock;
    server_directory &m_directory;
    milliseconds m_removalDelay;
    configuration_ptr m_configuration;
    std::string m_configurationText;
    evacuation_state m_evacuations;
    bool m_listed = false;
    bool m_lost = false;
    steady_time m_heardAt{};
    steady_time m_deferUntil{}; ///< removals read before are deferred until then
    std::map<backend_server_id, steady_time> m_deferred;
    std::function<void(const configuration_ptr &)> m_onConfiguration;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::publication_news::what>{
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::ConfigurationInForce,
        "configuration_in_force"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::ConfigurationOlder, "configuration_older"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::Unreadable, "publication_unreadable"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::ServerAdded, "server_added"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::ServerCold, "server_cold"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::ServerLeaving, "server_leaving"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::ServerRemoved, "server_removed"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::RemovalDeferred, "server_removal_deferred"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::DataCenterEvacuated, "data_center_evacuated"},
    orchidlead::enum_name<orchidlead::gateway::publication_news::what>{
        orchidlead::gateway::publication_news::what::DataCenterReturned, "data_center_returned"},
};
