#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace orchidlead::gateway {

/// Why an engine reads shared parts of a prompt that another engine keeps, or kept until recently.
enum class prefill_cause : std::uint8_t {
    SpreadByLoad, ///< an engine that keeps them was available, but too busy
    Evicted, ///< the engine that kept them has read others since
    EngineGone, ///< the engine that kept them has ended
    Excluded, ///< the engine that keeps them was tried already, is avoided, backs off or is leaving
    NewBoard, ///< the board has just begun to place requests, and doesn't know what engines keep
    LongerStageWait, ///< the preferred data centre has longer waits at the stages of the request
    NoEngineThere, ///< the preferred data centre has no usable engine
    Unreachable, ///< the preferred data centre could not be reached
};

/// The shared parts of a prompt that an engine is not known to keep, in prompt tokens.
struct repeated_prefill
{
    std::optional<prefill_cause> cause; ///< empty: nothing is known to be repeated
    std::uint32_t tokens = 0; ///< that are repeated for this cause
    std::uint32_t unkeptTokens = 0; ///< all, whether another engine keeps them or not

    friend bool operator==(const repeated_prefill &, const repeated_prefill &) = default;
};

/// The parts of prompts that no engine keeps any more, and why; for a limited time and number.
class lost_parts
{
public:
    explicit lost_parts(const clock_source &clock)
        : m_clock(clock)
    { }

    void add(const service_id &service, const std::string &part, prefill_cause why);
    /// Called when an engine gets the part again.
    void remove(const service_id &service, const std::string &part);
    [[nodiscard]] std::optional<prefill_cause> causeOf(const service_id &service,
                                                       const std::string &part) const;

private:
    struct loss
    {
        prefill_cause why = prefill_cause::Evicted;
        steady_time at;
    };

    const clock_source &m_clock;
    std::unordered_map<std::string, loss> m_lost; ///< by service and part
    std::deque<std::string> m_order; ///< oldest first; may contain parts that were removed
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::prefill_cause>{
    orchidlead::enum_name<orchidlead::gateway::prefill_cause>{
        orchidlead::gateway::prefill_cause::SpreadByLoad, "spread_by_load"},
    orchidlead::enum_name<orchidlead::gateway::prefill_cause>{
        orchidlead::gateway::prefill_cause::Evicted, "evicted"},
    orchidlead::enum_name<orchidlead::gateway::prefill_cause>{
        orchidlead::gateway::prefill_cause::EngineGone, "engine_gone"},
    orchidlead::enum_name<orchidlead::gateway::prefill_cause>{
        orchidlead::gateway::prefill_cause::Excluded, "excluded"},
    orchidlead::enum_name<orchidlead::gateway::prefill_cause>{
        orchidlead::gateway::prefill_cause::NewBoard, "new_board"},
    orchidlead::enum_name<orchidlead::gateway::prefill_cause>{
        orchidlead::gateway::prefill_cause::LongerStageWait, "other_data_center_longer_wait"},
    orchidlead::enum_name<orchidlead::gateway::prefill_cause>{
        orchidlead::gateway::prefill_cause::NoEngineThere, "other_data_center_no_engine"},
    orchidlead::enum_name<orchidlead::gateway::prefill_cause>{
        orchidlead::gateway::prefill_cause::Unreachable, "other_data_center_unreachable"},
};
