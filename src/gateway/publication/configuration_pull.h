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

/// Where the text of a configuration is asked for.
enum class configuration_source {
    Peer,
    Store,
};

/// What is to be done now to get a later configuration.
struct pull_step
{
    configuration_source from = configuration_source::Store;
    vm_id peer; ///< empty: the store
    std::uint64_t version = 0; ///< at least this one
};

/// Gives the node that hands configurations on to `self`: the nodes of a data centre form a tree in
/// which the first ones of `order` are the roots and each node hands on to a few. Empty: `self` is
/// a root, or isn't among them.
[[nodiscard]] vm_id parentOf(const vm_id &self, std::span<const vm_id> order);

/// Decides whom a node asks for a configuration of which it was told.
///
/// The text goes along a tree, so that the store gives it to a few nodes of a data centre and no
/// node sends it to many. A parent that is gone or slow is passed over: after it the node that told
/// of the version is asked, then the store, until the version is in force.
class configuration_pull
{
public:
    configuration_pull(const clock_source &clock, vm_id self);

    /// A peer told of a version.
    void onTold(std::uint64_t version, const vm_id &teller);
    /// That version is in force on this node now.
    void onInForce(std::uint64_t version);
    /// The peer that was asked last can't answer.
    void onPeerFailed(const vm_id &peer);
    /// Gives what is to be done now, if anything; call when something happened and every 100 ms.
    [[nodiscard]] std::optional<pull_step> next(std::span<const vm_id> order);

private:
    const clock_source &m_clock;
    vm_id m_self;
    std::uint64_t m_wanted = 0;
    std::uint64_t m_inForce = 0;
    vm_id m_teller;
    vm_id m_asked; ///< empty: nobody, or the store
    std::size_t m_tries = 0; ///< for the wanted version
    steady_time m_waitUntil{}; ///< the answer may come until then
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::configuration_source>{
    orchidlead::enum_name<orchidlead::gateway::configuration_source>{
        orchidlead::gateway::configuration_source::Peer, "peer"},
    orchidlead::enum_name<orchidlead::gateway::configuration_source>{
        orchidlead::gateway::configuration_source::Store, "store"},
};
