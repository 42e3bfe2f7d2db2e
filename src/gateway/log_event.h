#pragma once

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>

namespace orchidlead::gateway {

/// Types of log lines of a gateway, beside those of `wire::node_event` and `publication_event`.
/// Their fields are described in docs/LOGS.md.
enum class log_event : std::uint8_t {
    RequestTaken, ///< a request was read and matches a route
    AdmissionRefused, ///< a host refused to reserve places for a request, and what was ahead
    StageSubmitted, ///< the pieces of a stage were submitted to the host of its service
    StagesDone, ///< all pieces have results
    PieceFailed, ///< a piece has no result; its request fails or restarts its stages
    TurnAnswered, ///< where, and after which wait, a request is sent because of rate limits
    AttemptSent, ///< a request was sent to a server
    AttemptEnded, ///< outcome of an attempt
    AttemptHeld, ///< a call whose server is silent stays open while another server is tried
    AttemptResumed, ///< such a call goes on, or is waited for again, and why
    ServerChecked, ///< whether a server that is to replace a silent one responds
    ServerStartChecked, ///< whether a server at which a stream is to go on is of the known start
    RetryDenied, ///< why a request is not retried at another server
    Request, ///< a request has its final answer, or its client disconnected
    StreamOrigin, ///< which version began a stream that a client continues, and how that is known
    OpenRunsRead, ///< what servers were running when this node started
    StagesRestarted, ///< results were lost or freed and are computed again
    StageCallFailed, ///< a stage call returned no results
    PiecesFailed, ///< pieces of a stage call that have no result
    PiecesGivenUp, ///< pieces of one request's stage that a host dropped, and what displaced them
    PiecesRedirected, ///< waiting pieces were sent to a less loaded pool of their service
    HedgedCall, ///< pieces of an overdue stage call were sent to a second server
    HedgedCallEnded, ///< what became of these pieces
    StagePool, ///< summary of a pool over one second
    StageHostChanged, ///< another node now hosts a service's pool
    StageHostLost, ///< a host ended or stopped responding
    LostPeerResultsFreed, ///< results of a node whose process ended were freed
    ResultHandleUnreadable, ///< a result handle contains no address
    StoreReadBegun, ///< this node starts reading the store itself
    StoreReadEnded, ///< this node gets published state from peers again
    StoreFetchFailed, ///< a read of the configuration alone failed
    ConfigurationAsked, ///< a peer or the store is asked for a later configuration version
    StoreLost,
    StoreRegained,
    StoreAnswerOverdue, ///< a watch has no answer in time and is repeated on a new connection
    StoreHistoryGone, ///< the store's change history is gone; everything is read anew
    DataCenterLost, ///< no signal arrives from the data centre's nodes and servers
    DataCenterRegained,
    ServerAccessChanged, ///< this node lost all connections to servers, or opened one again
    CallRelayed, ///< a peer sends a call of this node, which is cut off from all servers
    RelayedCallEnded, ///< outcome of a call that this node relayed for a peer
    ServerAvoided, ///< a server failed several times in a row
    ServerTrusted, ///< an avoided server answered
    ServerLimitChanged, ///< a server's rate limit for all nodes together changed
    ServerSaidLeaving, ///< a server announced in an answer that it is leaving
    ServerSaidBrittle, ///< a server reported that it falls over if it refuses too much
    ServerAskedForTime, ///< a server refused and asked this node to back off
    ServerEnded, ///< connections broke during requests, and a new connection is refused
    ConnectionsLost, ///< connections broke during answers, and a new connection is not refused
    QuarantineChanged, ///< quarantine level of a request suspected of crashing servers
    TrialAnswered, ///< whether a request suspected of crashing servers may be sent to one server
    RetryBudgetSpent, ///< retries denied by a service's retry budget within a second
    LinesLeftOut, ///< lines about successful requests above the limit per second
    ReloadIgnored, ///< settings take effect only at the next start
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::log_event>{
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::RequestTaken, "request_taken"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::AdmissionRefused, "admission_refused"},
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
        orchidlead::gateway::log_event::AttemptHeld, "attempt_held"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::AttemptResumed, "attempt_resumed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerChecked, "server_checked"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerStartChecked, "server_start_checked"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::RetryDenied, "retry_denied"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{orchidlead::gateway::log_event::Request,
                                                          "request"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StreamOrigin, "stream_origin"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::OpenRunsRead, "open_runs_read"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StagesRestarted, "stages_restarted"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageCallFailed, "stage_call_failed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::PiecesFailed, "pieces_failed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::PiecesGivenUp, "pieces_given_up"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::PiecesRedirected, "pieces_redirected"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::HedgedCall, "hedged_call"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::HedgedCallEnded, "hedged_call_ended"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{orchidlead::gateway::log_event::StagePool,
                                                          "stage_pool"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageHostChanged, "stage_host_changed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StageHostLost, "stage_host_lost"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::LostPeerResultsFreed, "lost_peer_results_freed"},
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
        orchidlead::gateway::log_event::StoreAnswerOverdue, "store_answer_overdue"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::StoreHistoryGone, "store_history_gone"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::DataCenterLost, "data_center_lost"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::DataCenterRegained, "data_center_regained"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerAccessChanged, "server_access_changed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::CallRelayed, "call_relayed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::RelayedCallEnded, "relayed_call_ended"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerAvoided, "server_avoided"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerTrusted, "server_trusted"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerLimitChanged, "server_limit_changed"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerSaidLeaving, "server_said_leaving"},
    orchidlead::enum_name<orchidlead::gateway::log_event>{
        orchidlead::gateway::log_event::ServerSaidBrittle, "server_said_brittle"},
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
