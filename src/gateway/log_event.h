#pragma once

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// Kinds of log lines that a gateway writes beside those of `wire::node_event` and
/// `publication_news`. Their fields are described in docs/LOGS.md.
enum class log_event : std::uint8_t {
    Request, ///< a request has its final answer, or its client left
    StagesRestarted, ///< results were lost or freed and are made again
    StageCallFailed, ///< a call brought no results
    PiecesFailed, ///< pieces of a call that have no result
    StagePool, ///< what a pool did in a second
    StageHostLost, ///< a host ended or fell silent
    ResultHandleUnreadable, ///< a handle names no address
    StoreLost,
    StoreRegained,
    StoreHistoryGone, ///< everything is read anew
    ReloadIgnored, ///< settings count at the next start
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::log_event>{
    orchidlead::enum_name<orchidlead::gateway::log_event>{orchidlead::gateway::log_event::Request,
                                                          "request"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StagesRestarted, "stages_restarted"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageCallFailed, "stage_call_failed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::PiecesFailed, "pieces_failed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{orchidlead::gateway::log_event::StagePool,
                                                          "stage_pool"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageHostLost, "stage_host_lost"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ResultHandleUnreadable, "result_handle_unreadable"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{orchidlead::gateway::log_event::StoreLost,
                                                          "store_lost"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StoreRegained, "store_regained"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StoreHistoryGone, "store_history_gone"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ReloadIgnored, "reload_ignored"},
};
