#pragma once

#include "gateway/codec.h"
#include "gateway/exchange/event_splitter.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/exchange/request_log.h"
#include "gateway/exchange/request_outcome.h"
#include "gateway/exchange/retry_allowance.h"
#include "gateway/exchange/time_estimates.h"
#include "gateway/gateway_metrics.h"
#include "gateway/log_event.h"
#include "gateway/placement/prompt_home.h"
#include "gateway/placement/request_placer.h"
#include "gateway/policy.h"
#include "gateway/publication/published_state.h"
#include "gateway/quarantine/quarantine_relay.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/quarantine/server_end_observer.h"
#include "gateway/servers/server_directory.h"
#include "gateway/stages/stage_router.h"
#include "gateway/stages/stage_work.h"
#include "http/connection_pool.h"
#include "http/inbound_connection.h"
#include "wire/log.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::gateway {

/// What all requests of a node share.
template <gateway_codec Codec>
struct gateway_context
{
    http::io_loop &loop;
    http::connection_pool &pool;
    server_directory &directory;
    retry_allowance &allowance;
    peer_network &peers;
    stage_router<Codec> &stages;
    request_placer &placer;
    quarantine_relay &quarantine;
    wire::log &log;
    gateway_metrics &metrics;
    const published_state &published;
    line_allowance &lines;
    data_center_id dataCenter;
    const policies_left_out &without;
    configuration_ptr configuration; ///< null until one is known
    time_estimates times;
    std::minstd_rand random; ///< for the shares of routes
    /// A connection broke off while a request was at the server.
    std::function<void(const server &, const interrupted_request &)> onBroken;
};

/// One client request, from its head to the end of its answer.
///
/// Does the stages, sends the request to a server, passes the answer on, and tries again elsewhere
/// where that is allowed. Whatever happens, the client gets one answer, which is true: 503 says
/// that no server has run the request or will, 502 and 504 that one may have.
template <gateway_codec Codec>
class exchange final : public std::enable_shared_from_this<exchange<Codec>>
{
public:
    /// `arrival`: from when on its time counts.
    exchange(gateway_context<Codec> &context, http::inbound_ptr client, http::request_head head,
             std::string body, steady_time arrival);

    void start();
    /// Says that no server runs the request, and when to come back.
    static void refuse(http::inbound_connection &client, milliseconds comeBack = ComeBack);
    /// Nothing comes from there any more: what is open there begins again elsewhere, if it may.
    void onDataCenterLost(const data_center_id &dataCenter);
    /// The process ends soon: a request that no server has yet is refused.
    void stopWaiting();

private:
    /// How an attempt ended, as far as trying again is concerned.
    enum class fate {
        NotSent, ///< no server got it
        NotRun, ///< a server refused it
        Unknown, ///< a server may have run it
        Failed, ///< a server ran it and answered with a failure
    };
    [[nodiscard]] static std::string_view nameOf(fate what);
    /// How the answer of the attempt is passed on.
    enum class passing {
        Nothing, ///< no head yet, or one that isn't passed on
        Buffered, ///< held until it is whole
        Bytes, ///< as they come
        Events, ///< whole events, as they come
    };

    [[nodiscard]] bool findRoute();
    /// Goes on with `next`, now or later, unless servers may end under the request.
    void passQuarantine(std::function<void()> next);
    void onTrialAnswer(bool granted, const std::function<void()> &next);
    [[nodiscard]] bool mayBeSent() const;
    void startStages();
    /// Goes on with `submitReadyPieces` once the request is let in, if it has to be.
    void passAdmission();
    void onAdmission(const admission &told);
    void submitReadyPieces();
    void onPiece(std::uint32_t stage, std::uint32_t piece, piece_report report);
    [[nodiscard]] request_outline outline() const;
    [[nodiscard]] data_center_id chooseHome();
    /// Engines that the request may go to: those of the own region, if there are some.
    [[nodiscard]] std::vector<server_ptr> nearEngines() const;
    /// As `chooseHome`, where this node's own data centre has no servers for the request.
    [[nodiscard]] data_center_id chooseHomeAway();
    /// `dataCenter` while its servers of that service may get work, else where the request's home
    /// is now.
    [[nodiscard]] data_center_id usableNear(const data_center_id &dataCenter,
                                            const service_id &service);
    /// Why the request can't be served now, as far as that is known before anything is spent on it.
    [[nodiscard]] std::optional<request_outcome> foreseenUnservable();
    /// Why no server of a service may get new work.
    [[nodiscard]] std::optional<request_outcome> whyAbsent(const service_id &service) const;
    /// Why no server can have the request itself now; takes down when one may.
    [[nodiscard]] std::optional<request_outcome> whyUnservable();
    /// The same of the pieces of a stage.
    [[nodiscard]] std::optional<request_outcome> whyUnservable(std::size_t stage);
    [[nodiscard]] pool_key stagePool(const service_id &service, const data_center_id &near);
    [[nodiscard]] bool foreseenLate() const;
    [[nodiscard]] bool resultsLieIn(const data_center_id &dataCenter) const;
    [[nodiscard]] bool mayRestartStages();
    void restartStages(std::string_view reason);
    void onStagesDone();
    [[nodiscard]] stage_rank stageRank() const { return {m_priority, m_route->priority}; }
    void withdrawPieces();
    void freeResults();

    void attempt();
    /// Whether the node that hosts the service's pool chooses the server.
    [[nodiscard]] bool mustBePlaced() const;
    [[nodiscard]] placement_wish makeWish();
    /// How long the request may wait for its turn and still be in its aim.
    [[nodiscard]] milliseconds slack() const;
    void place();
    void onPlaced(const placed_request &placed);
    void leavePlacement();
    [[nodiscard]] server_ptr chooseServer();
    void sendTo(server_ptr chosen);
    [[nodiscard]] data_center_id whereResultLies(const std::string &handle) const;
    [[nodiscard]] service_id pickService();
    /// Whether the chosen server may still have it: what waited for a turn or a connection was
    /// chosen by what was known before.
    [[nodiscard]] bool serverMayHaveIt() const;
    [[nodiscard]] std::optional<std::string> writeHead();
    /// Takes down what an answer says of the server, though it belongs to another request.
    void onForeignHead(const answer_marks &marks);
    void onHead(const http::response_head &head);
    void onBody(std::string_view bytes);
    void onEvents(std::string_view bytes);
    void onEnd(http::call_end how);
    /// Whether the request may be why the current attempt's server ended, if it did.
    [[nodiscard]] bool mayBeBlamed() const;
    void onBufferedEnd();
    void endAttempt();
    void onFate(fate what);
    /// A server there couldn't be reached; after some of them the request goes elsewhere.
    void leaveUnreached(const data_center_id &where);
    [[nodiscard]] bool mayTryAgain(fate what);
    void watchSilence(milliseconds limit);
    void onSilence();

    void beginAnswer();
    void passBackpressure();
    void answerOwn(int status, request_outcome outcome);
    void refuse(request_outcome outcome);
    [[nodiscard]] milliseconds comeBackAfter(request_outcome outcome) const;
    void giveUp(request_outcome outcome);
    void onClientGone();
    void onTimeout();
    void leaveQuarantine(request_outcome outcome);
    void finish(request_outcome outcome);

    [[nodiscard]] bool isLogged() const { return m_context.log.writes(wire::log_level::Info); }
    [[nodiscard]] wire::log_line lineOf(log_event kind) const;
    [[nodiscard]] milliseconds sinceArrival() const;
    [[nodiscard]] bool wentWell(request_outcome outcome) const;
    void logTaken();
    void logStage(std::uint32_t stage, std::size_t pieces);
    void logSent();
    void logAttemptEnd(std::string_view how);
    void logDenied(std::string_view why);
    void logTrial(bool granted);
    void logPlaced(const placed_request &placed);
    void logEnd(request_outcome outcome);

    [[nodiscard]] milliseconds left() const;

    gateway_context<Codec> &m_context;
    http::inbound_ptr m_client;
    http::request_head m_head;
    std::string m_body;
    configuration_ptr m_configuration;
    const route *m_route = nullptr;
    const customer_spec *m_customer = nullptr;
    residency m_residency; ///< where it may be worked on
    request_marks m_marks;
    request_digest m_digest; ///< the same for each repeat of this request
    data_center_id m_home; ///< where its work is best done
    data_center_id m_unreached; ///< where its servers couldn't be reached; empty: nowhere
    steady_time m_arrival;
    steady_time m_end; ///< the final answer is given by then
    std::uint32_t m_priority = 0;
    service_id m_service;
    bool m_done = false;
    request_log m_decisions;
    int m_told = 0; ///< status that the client got; 0: none
    std::optional<milliseconds> m_firstEvent; ///< when the client got the first one, from arrival

    std::optional<stage_work> m_work;
    std::vector<std::chrono::microseconds> m_afterStages; ///< time that follows each stage
    std::vector<steady_time> m_stageSince; ///< when its pieces were asked for
    std::vector<pool_key> m_stagePools; ///< of each stage; before it begins, where it is expected
    std::vector<piece_token> m_pieces; ///< submitted and open
    bool m_stagesRestarted = false;
    bool m_needsStages = false; ///< results were freed or lost

    placement_id m_placement = 0; ///< of the current attempt, or of its admission
    http::timer_id m_turnTimer = 0; ///< until the placement's turn
    bool m_admitted = false; ///< by the pool's host, before its stages
    milliseconds m_roomAfter{0}; ///< servers may take requests again then; 0: unknown
    server_ptr m_server; ///< of the current attempt
    std::vector<backend_server_id> m_tried;
    http::pool_call m_call = 0;
    std::uint32_t m_attempts = 0; ///< that reached a server
    std::uint32_t m_unsent = 0;
    std::uint32_t m_unsentAway = 0; ///< of these, to servers of other data centres
    bool m_withheld = false; ///< the chosen server may not have it any more
    bool m_onTrial = false; ///< is the one repeat of a suspected request that is tried
    std::optional<steady_time> m_answeredFrom; ///< first bytes of the current attempt's answer
    bool m_mayHaveRun = false;
    passing m_passing = passing::Nothing;
    http::response_head m_answer;
    answer_marks m_answerMarks;
    std::string m_buffered;
    event_splitter m_splitter;
    bool m_begun = false; ///< the client got a head
    steady_time m_sentAt{};
    http::timer_id m_endTimer = 0;
    http::timer_id m_silenceTimer = 0;
    steady_time m_lastHeard{};
};

} // namespace orchidlead::gateway

#include "gateway/exchange/exchange_impl.h"
