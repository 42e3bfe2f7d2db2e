#pragma once

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// Why the rest of a stream can't be used.
enum class stream_defect : std::uint8_t {
    EventTooLarge, ///< an event exceeded the size limit
    MissingEvents, ///< event numbers had a gap
    RepeatedEvents, ///< more than `MaxRepeatedEvents` events were repeated
    OtherAnswer, ///< another answer follows
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::stream_defect>{
    orchidlead::enum_name<orchidlead::gateway::stream_defect>{
        orchidlead::gateway::stream_defect::EventTooLarge, "event_too_large"},
    orchidlead::enum_name<orchidlead::gateway::stream_defect>{
        orchidlead::gateway::stream_defect::MissingEvents, "missing_events"},
    orchidlead::enum_name<orchidlead::gateway::stream_defect>{
        orchidlead::gateway::stream_defect::RepeatedEvents, "repeated_events"},
    orchidlead::enum_name<orchidlead::gateway::stream_defect>{
        orchidlead::gateway::stream_defect::OtherAnswer, "other_answer"},
};
