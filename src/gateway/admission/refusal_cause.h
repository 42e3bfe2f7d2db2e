#pragma once

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// Why a pool refused a request. Sent as a number.
enum class refusal_cause : std::uint8_t {
    None, ///< not refused
    Late, ///< its pieces can't begin in time
    OverShare, ///< its customer was granted more than its share
    Turn, ///< capacity is reserved for turns, or the request came before its own turn
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::refusal_cause>{
    orchidlead::enum_name<orchidlead::gateway::refusal_cause>{
        orchidlead::gateway::refusal_cause::None, "none"},
    orchidlead::enum_name<orchidlead::gateway::refusal_cause>{
        orchidlead::gateway::refusal_cause::Late, "late"},
    orchidlead::enum_name<orchidlead::gateway::refusal_cause>{
        orchidlead::gateway::refusal_cause::OverShare, "over_share"},
    orchidlead::enum_name<orchidlead::gateway::refusal_cause>{
        orchidlead::gateway::refusal_cause::Turn, "turn"},
};
