#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace orchidlead::gateway {

/// The kind of source from which the text of a configuration is requested.
enum class configuration_source {
    Peer,
    Store,
};

/// The next request to send for a later configuration.
struct pull_step
{
    configuration_source from = configuration_source::Store;
    vm_id peer; ///< empty if the request goes to the store
    std::uint64_t version = 0; ///< the minimum version wanted
};

/// Returns the parent of `self` in the distribution tree of a data centre. The first nodes of
/// `order` are the roots, and each node forwards configurations to a few children. The result is
/// empty if `self` is a root or is not in `order`.
[[nodiscard]] vm_id parentOf(const vm_id &self, std::span<const vm_id> order);

/// Chooses the source from which a node requests an announced configuration.
///
/// The text is distributed along a tree, so that the store sends the text to a few nodes of a data
/// centre and no node sends it to many. If the parent is unreachable or slow, the request goes to
/// the node that announced the version and then to the store, until the version is in force.
class configuration_pull
{
public:
    configuration_pull(const clock_source &clock, vm_id self);

    /// Records that a peer announced a version.
    void onVersionAnnounced(std::uint64_t version, const vm_id &announcer);
    /// Records that a version is now in force on this node.
    void onVersionInForce(std::uint64_t version);
    /// Records that the last request to `peer` cannot be answered.
    void onPeerFailed(const vm_id &peer);
    /// Returns the next request to send, if any. Call after every event and every 100 ms.
    [[nodiscard]] std::optional<pull_step> next(std::span<const vm_id> order);

private:
    const clock_source &m_clock;
    vm_id m_self;
    std::uint64_t m_wantedVersion = 0;
    std::uint64_t m_versionInForce = 0;
    vm_id m_announcer;
    vm_id m_askedPeer; ///< empty if no request was sent or the last went to the store
    std::size_t m_attempts = 0; ///< requests sent for the wanted version
    steady_time m_answerDeadline{}; ///< the next attempt follows at this time
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::configuration_source>{
    orchidlead::enum_name<orchidlead::gateway::configuration_source>{
        orchidlead::gateway::configuration_source::Peer, "peer"},
    orchidlead::enum_name<orchidlead::gateway::configuration_source>{
        orchidlead::gateway::configuration_source::Store, "store"},
};
