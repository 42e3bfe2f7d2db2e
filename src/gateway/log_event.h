#pragma once

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// Kinds of log lines that a gateway writes beside those of `wire::node_event` and
/// `publication_news`. Their fields are described in docs/LOGS.md.
enum class log_event : std::uint8_t {
    RequestTaken, ///< a request was read, and has a route
    StageSubmitted, ///< the pieces of a stage were handed to the host of its service
    StagesDone, ///< all pieces have results
    PieceFailed, ///< a piece has no result, and its request ends or begins its stages again
    TurnAnswered, ///< when bounded servers have room for a request, and where
    AttemptSent, ///< the request went to a server
    AttemptEnded, ///< and how that ended
    RetryDenied, ///< why it goes to no other server
    Request, ///< a request has its final answer, or its client left
    StagesRestarted, ///< results were lost or freed and are made again
    StageCallFailed, ///< a call brought no results
    PiecesFailed, ///< pieces of a call that have no result
    PiecesGivenUp, ///< by a host: pieces of one request's stage, with what crowded them out
    StagePool, ///< what a pool did in a second
    StageHostChanged, ///< another node hosts a service's pool now
    StageHostLost, ///< a host ended or fell silent
    ResultHandleUnreadable, ///< a handle names no address
    StoreReadBegun, ///< this node reads the store by itself
    StoreReadEnded, ///< others read it for this node
    StoreFetchFailed, ///< the configuration alone couldn't be read
    ConfigurationAsked, ///< of a peer or the store, since a later version is known of
    StoreLost,
    StoreRegained,
    StoreHistoryGone, ///< everything is read anew
    DataCenterLost, ///< nothing is heard of its nodes and servers
    DataCenterRegained,
    ServerAvoided, ///< it failed several times in a row
    ServerTrusted, ///< an avoided server answered
    ServerLimitChanged, ///< it takes another rate of requests from all nodes than before
    ServerSaidLeaving, ///< in an answer
    ServerAskedForTime, ///< in a refusal: it wants nothing of this node for a while
    ServerEnded, ///< under requests of this node: a new connection is refused
    ConnectionsLost, ///< amid answers, and a new one isn't refused
    QuarantineChanged, ///< how requests under which servers end are treated
    TrialAnswered, ///< whether a suspected request may be sent to one server
    RetryBudgetSpent, ///< second tries that a service's budget denied in a second
    LinesLeftOut, ///< about requests that went well, beyond the bound of a second
    ReloadIgnored, ///< settings count at the next start
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::log_event>{
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::RequestTaken, "request_taken"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageSubmitted, "stage_submitted"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StagesDone, "stages_done"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::PieceFailed, "piece_failed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::TurnAnswered, "turn_answered"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::AttemptSent, "attempt_sent"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::AttemptEnded, "attempt_ended"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::RetryDenied, "retry_denied"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{orchidlead::gateway::log_event::Request,
                                                          "request"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StagesRestarted, "stages_restarted"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageCallFailed, "stage_call_failed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::PiecesFailed, "pieces_failed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::PiecesGivenUp, "pieces_given_up"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{orchidlead::gateway::log_event::StagePool,
                                                          "stage_pool"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageHostChanged, "stage_host_changed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageHostLost, "stage_host_lost"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ResultHandleUnreadable, "result_handle_unreadable"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StoreReadBegun, "store_read_begun"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StoreReadEnded, "store_read_ended"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StoreFetchFailed, "store_fetch_failed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ConfigurationAsked, "configuration_asked"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{orchidlead::gateway::log_event::StoreLost,
                                                          "store_lost"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StoreRegained, "store_regained"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StoreHistoryGone, "store_history_gone"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::DataCenterLost, "data_center_lost"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::DataCenterRegained, "data_center_regained"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerAvoided, "server_avoided"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerTrusted, "server_trusted"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerLimitChanged, "server_limit_changed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerSaidLeaving, "server_said_leaving"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerAskedForTime, "server_asked_for_time"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerEnded, "server_ended"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ConnectionsLost, "connections_lost"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::QuarantineChanged, "quarantine_changed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::TrialAnswered, "trial_answered"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::RetryBudgetSpent, "retry_budget_spent"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::LinesLeftOut, "lines_left_out"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ReloadIgnored, "reload_ignored"},
};
