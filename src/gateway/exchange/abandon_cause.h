#pragma once

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// Why this node stops waiting for the answer of a call that its server has not ended.
enum class abandon_cause : std::uint8_t {
    Silent, ///< no bytes arrived for longer than the idle limit
    DataCenterLost, ///< no signal arrives from the server's data centre
    ServersCutOff, ///< this node reaches no server
    Unusable, ///< the bytes of the answer can't be forwarded
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::abandon_cause>{
    orchidlead::enum_name<orchidlead::gateway::abandon_cause>{
        orchidlead::gateway::abandon_cause::Silent, "silent"},
    orchidlead::enum_name<orchidlead::gateway::abandon_cause>{
        orchidlead::gateway::abandon_cause::DataCenterLost, "data_center_lost"},
    orchidlead::enum_name<orchidlead::gateway::abandon_cause>{
        orchidlead::gateway::abandon_cause::ServersCutOff, "servers_cut_off"},
    orchidlead::enum_name<orchidlead::gateway::abandon_cause>{
        orchidlead::gateway::abandon_cause::Unusable, "unusable"},
};
