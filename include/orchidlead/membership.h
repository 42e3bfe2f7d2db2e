#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace orchidlead {

/// What a node believes of another one.
enum class member_state {
    Alive,
    Suspect, ///< silent, but not yet given up: slow isn't dead
    Leaving, ///< said so itself, or the VM list did: finishes its work, takes no new role
    Dead,
};

template <>
inline constexpr std::array enumNames<member_state>{
    enum_name<member_state>{member_state::Alive, "alive"},
    enum_name<member_state>{member_state::Suspect, "suspect"},
    enum_name<member_state>{member_state::Leaving, "leaving"},
    enum_name<member_state>{member_state::Dead, "dead"},
};

/// One VM as the platform lists it.
struct listed_vm
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    socket_address peerAddress; ///< UDP gossip and TCP JSON-RPC share the number
    bool leaving = false;

    friend auto operator<=>(const listed_vm &, const listed_vm &) = default;
};

/// One VM as this node sees it.
struct member
{
    listed_vm vm;
    orchidlead::incarnation incarnation = 0; ///< 0: never heard of
    member_state state = member_state::Suspect;
    steady_time lastHeard; ///< of the member itself, directly or by gossip
};

/// Action: send these bytes to a peer's gossip port.
struct gossip_datagram
{
    socket_address to;
    std::string bytes;
};

} // namespace orchidlead
