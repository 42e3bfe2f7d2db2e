#pragma once

#include "gateway/admission/admission_client.h"
#include "gateway/admission/reserved_stages.h"
#include "gateway/admission/unasked_allowance.h"
#include "gateway/codec.h"
#include "gateway/exchange/answer_time_model.h"
#include "gateway/exchange/exchange_limits.h"
#include "gateway/exchange/latency_estimator.h"
#include "gateway/exchange/request_log.h"
#include "gateway/exchange/request_outcome.h"
#include "gateway/exchange/second_answer_scanner.h"
#include "gateway/exchange/server_attempt.h"
#include "gateway/exchange/service_retry_budget.h"
#include "gateway/gateway_metrics.h"
#include "gateway/log_event.h"
#include "gateway/placement/prompt_affinity.h"
#include "gateway/placement/request_placer.h"
#include "gateway/policy.h"
#include "gateway/publication/published_state.h"
#include "gateway/quarantine/quarantine_relay.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/quarantine/request_subjects.h"
#include "gateway/quarantine/server_crash_detector.h"
#include "gateway/servers/server_directory.h"
#include "gateway/servers/server_start_reader.h"
#include "gateway/servers/server_transport.h"
#include "gateway/stages/stage_progress.h"
#include "gateway/stages/stage_router.h"
#include "gateway/stages/stage_versions.h"
#include "gateway/streams/stream_origin_relay.h"
#include "http/inbound_connection.h"
#include "wire/log.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::gateway {

/// Times of a planned stop of this process.
struct stop_schedule
{
    /// Requests that arrive later are refused unless they are known to end in time.
    steady_time lateFrom;
    steady_time answerBy; ///< all requests have an answer then
};

/// State shared by all requests of a node.
template <gateway_codec Codec>
struct gateway_context
{
    http::io_loop &loop;
    server_transport &transport;
    server_start_reader<Codec> &starts;
    server_directory &directory;
    service_retry_budget &retryBudget;
    peer_network &peers;
    stage_router<Codec> &stages;
    request_placer &placer;
    admission_client &admission;
    quarantine_relay &quarantine;
    stream_origin_relay &streamOrigins;
    wire::log &log;
    gateway_metrics &metrics;
    const published_state &published;
    log_rate_limiter &logLimiter;
    data_center_id dataCenter;
    const disabled_policies &disabledPolicies;
    configuration_ptr configuration; ///< null until one was received
    latency_estimator latencyEstimator;
    answer_time_model answerTimes;
    std::optional<stop_schedule> stop; ///< set once the process stops
    unasked_allowance unaskedAllowance;
    std::minstd_rand random; ///< for the service weights of routes
    /// Called when a connection breaks while a request is in flight to the server.
    std::function<void(const server &, const std::vector<crash_subject> &)> onConnectionBroken;
};

/// Handles one client request, from its head to the end of its answer.
///
/// Runs the stages, sends the request to a server, forwards the answer, and retries on another
/// server if that is allowed. The client gets exactly one answer in every case, and its status is
/// reliable: 503 means that no server has run the request or will run it, 502 and 504 that a server
/// may have run it.
template <gateway_codec Codec>
class exchange final : public std::enable_shared_from_this<exchange<Codec>>
{
public:
    /// `arrival` is the start of the request's timeout.
    exchange(gateway_context<Codec> &context, http::inbound_ptr client, http::request_head head,
             std::string body, steady_time arrival);

    void start();
    /// Answers that no server runs the request and when to retry.
    static void refuse(http::inbound_connection &client, milliseconds retryDelay = RetryDelay);
    /// Handles the loss of a data centre: work in progress there is restarted in another data
    /// centre if that is allowed.
    void onDataCenterLost(const data_center_id &dataCenter);
    /// Repeats a call that was lost as this node was cut off from all servers, if that is allowed.
    void onServersCutOff();
    /// Gives the request up if a server has not begun to answer it and the subject, now
    /// quarantined, is one of its own: it would crash the server.
    void onQuarantined(const request_digest &subject);
    /// Refuses the request if it has not been sent to a server yet and isn't expected to end before
    /// this process stops.
    void refuseIfWaiting();
    /// Answers the request now, whatever it waits for, because this process ends.
    void onStopTimeout();

private:
    /// How an attempt ended; determines whether it may be retried.
    enum class attempt_result {
        NotSent, ///< no server received the request
        NotRun, ///< a server refused the request without running it
        Unknown, ///< a server may have run the request
        Failed, ///< a server ran the request and answered with an error
    };
    [[nodiscard]] static std::string_view nameOf(attempt_result what);

    [[nodiscard]] bool findRoute();
    /// Returns whether the request, which has just arrived, may begin although this process stops.
    [[nodiscard]] bool mayBeginInStop() const;
    /// Returns whether the request is known to have its answer by then.
    [[nodiscard]] bool endsBy(steady_time time) const;
    /// Restricts a stream that the client continues to the version that began it, then calls
    /// `begin`.
    void findStreamOrigin();
    void onStreamOrigin(const origin_lookup &found);
    /// Returns the longest time for which a stream that the client continues may have existed.
    [[nodiscard]] milliseconds maxStreamAge() const;
    /// Records that the current server wrote the first event of the stream.
    void recordStreamOrigin();
    /// Starts the work on a request that is valid.
    void begin();
    /// Calls `next`, now or later, unless the quarantine stops the request because it may crash
    /// servers.
    void checkQuarantine(std::function<void()> next);
    void onTrialAnswer(const request_digest &subject, bool granted,
                       const std::function<void()> &next);
    [[nodiscard]] bool isSendingAllowed() const;
    /// Returns the strictest status of the request and the parts of its prompt.
    [[nodiscard]] request_quarantine::quarantine_status quarantineStatus() const;
    /// Returns the broadest of them that is suspected.
    [[nodiscard]] request_digest suspectedSubject() const;
    /// Records that a server answered the request, so that neither it nor its parts crash servers.
    void reportPartsServed();
    void startStages();
    /// Calls `submitReadyPieces`, after the request is admitted if it needs admission.
    void requestAdmission();
    void onAdmission(const admission &answer);
    /// Calls `submitReadyPieces`, after the hosts of the stages have reserved places for all
    /// pieces.
    void reserveStages();
    [[nodiscard]] admission_query makeAdmissionQuery();
    void onStagesReserved(const admission_result &result);
    void releaseStages();
    void submitReadyPieces();
    /// Submits a piece and returns the pool that it was sent to.
    pool_key submitPiece(stage_progress::ready_piece ready,
                         const std::optional<software_version> &version);
    /// Returns the software version at which a stage must be computed; empty: its service has had
    /// a single one.
    [[nodiscard]] std::optional<software_version> requiredStageVersion(std::uint32_t stage);
    void onPiece(std::uint32_t stage, std::uint32_t piece, piece_report report);
    /// Records the software version of a result; returns whether it fits those in use.
    [[nodiscard]] bool acceptStageVersion(std::uint32_t stage, const piece_report &report);
    /// Frees a result that doesn't fit those in use, and submits its piece again.
    void repeatPiece(std::uint32_t stage, std::uint32_t piece, const std::string &handle);
    [[nodiscard]] request_outline outline() const;
    [[nodiscard]] data_center_id choosePreferredDataCenter();
    /// Returns the engines that the request may use: those of the own region if there are any.
    [[nodiscard]] std::vector<server_ptr> preferredEngines() const;
    /// Returns the usable servers of the required version.
    [[nodiscard]] std::vector<server_ptr> usableServers() const;
    /// The part of `choosePreferredDataCenter` for requests that have no usable servers in this
    /// node's data centre.
    [[nodiscard]] data_center_id chooseRemoteDataCenter();
    /// Returns `dataCenter` if it has usable servers of the service, else the preferred data centre
    /// of the request, which is chosen again if it has no usable servers either.
    [[nodiscard]] data_center_id usableDataCenter(const data_center_id &dataCenter,
                                                  const service_id &service);
    /// Returns why the request can't be served now, as far as that is known before any work is
    /// done.
    [[nodiscard]] std::optional<request_outcome> anyUnservableReason();
    /// Returns why no server of a service may get new work.
    [[nodiscard]] std::optional<request_outcome> absenceReason(const service_id &service) const;
    /// Returns why no server can take the request itself now, and records when one may again.
    [[nodiscard]] std::optional<request_outcome> unservableReason();
    /// Does the same for the pieces of a stage.
    [[nodiscard]] std::optional<request_outcome> unservableReason(std::size_t stage);
    [[nodiscard]] pool_key stagePool(const service_id &service,
                                     const data_center_id &preferredDataCenter);
    [[nodiscard]] bool isPredictedLate() const;
    /// Returns whether the hosts of stage pools decide on the admission of requests, with turns.
    [[nodiscard]] bool hostsKnowTurns() const;
    [[nodiscard]] milliseconds maxRetryAfter() const;
    [[nodiscard]] bool hasResultsIn(const data_center_id &dataCenter) const;
    [[nodiscard]] bool mayRestartStages();
    void restartStages(std::string_view reason);
    void onStagesDone();
    [[nodiscard]] stage_rank stageRank() const
    {
        return rankOf(m_priority, m_route->priority, m_originFound);
    }
    void cancelPieces();
    void freeStageResults();

    void attempt();
    /// Returns whether the node that hosts the pool of the service chooses the server.
    [[nodiscard]] bool needsPlacement() const;
    [[nodiscard]] placement_query makeQuery();
    /// Returns `dataCenter` if it has usable servers of the required version, else one that has.
    [[nodiscard]] data_center_id dataCenterOfVersion(const data_center_id &dataCenter);
    /// Returns how long the request may wait for its dispatch and still meet its latency objective.
    [[nodiscard]] milliseconds slack() const;
    void place();
    void onPlaced(const placement_result &placed);
    /// Returns the placement's repeated parts with the cause that this node knows, if it sent the
    /// request to another data centre than the preferred one.
    [[nodiscard]] repeated_prefill repeatedPrefill(const placement_result &placed) const;
    void endPlacement();
    [[nodiscard]] server_ptr chooseServer();
    void sendTo(server_ptr chosen);
    [[nodiscard]] data_center_id resultLocation(const std::string &handle) const;
    [[nodiscard]] service_id pickService();
    /// Returns whether the chosen server may still get the request. The server may have become
    /// ineligible while the request waited for its dispatch or a connection.
    [[nodiscard]] bool isServerEligible() const;
    [[nodiscard]] std::optional<std::string> writeHead();
    /// Ends the current call, whose answer can't be used, and handles its end as if the connection
    /// had reported it.
    void abandonUnusableCall();
    /// Returns whether an answer says that its server has not run the request.
    [[nodiscard]] static bool isRefusal(int code, const response_metadata &metadata);
    /// Returns whether an answer is one for the client: no refusal, and no unsigned success.
    [[nodiscard]] static bool mayForward(int code, const response_metadata &metadata);
    void onHead(const http::response_head &head);
    void onBody(std::string_view bytes);
    void onEvents(std::string_view bytes);
    void forwardEvents(std::string_view events);
    void onEnd(http::call_end how);
    /// Returns whether the current answer has no length and no chunks.
    [[nodiscard]] bool endsWithConnection() const;
    /// Forwards bytes of an answer that is too long to be buffered.
    void forwardBytes(std::string_view bytes);
    /// Returns whether the complete answer contains bytes of another one.
    [[nodiscard]] bool isAnswerMixed() const;
    /// Reports that the connection of an attempt broke, if the request may be the cause.
    void reportConnectionBroken(const server_attempt &broken, http::call_end how);
    /// Returns whether the request may be the cause if the server of an attempt crashed.
    [[nodiscard]] bool mayHaveCrashedServer(const server_attempt &broken) const;
    /// Returns whether the end of an attempt shows that its server fails for all nodes.
    [[nodiscard]] bool hasServerFailed(const server_attempt &ended, http::call_end how) const;
    /// Returns whether the data centre is this one or has sent signals since shortly before
    /// `since`.
    [[nodiscard]] bool sendsSignals(const data_center_id &where, steady_time since) const;
    void onBufferedEnd();
    void endAttempt();
    void onAttemptResult(attempt_result what);
    /// Counts a server that could not be reached; after several in another data centre, the request
    /// goes to this node's own.
    void avoidUnreachable(const data_center_id &where);
    [[nodiscard]] bool mayRetry(attempt_result what);
    /// Returns whether an answer of which the client has a part can go on at another server.
    [[nodiscard]] bool isContinuable() const;
    /// Returns the time without an answer after which another server gets the request.
    [[nodiscard]] milliseconds unansweredLimit() const;
    /// The same by the latency objective alone.
    [[nodiscard]] milliseconds objectiveLimit() const;
    void startIdleTimer(milliseconds limit);
    void onIdleTimer();
    /// Returns how long the current answer may be idle before another server is tried.
    [[nodiscard]] milliseconds idleLimit() const;

    /// Tries another server while the current call, which is silent or was lost, stays open. Does
    /// nothing unless another server responds and the retry budget has an attempt left.
    void tryElsewhere(abandon_cause why);
    /// Returns whether a server that isn't silent itself may get the request.
    [[nodiscard]] bool otherServerResponds() const;
    /// Returns servers that must not get the request: those tried, and silent ones if it is sent
    /// elsewhere because of a silence.
    [[nodiscard]] std::vector<backend_server_id> excludedServers() const;
    [[nodiscard]] std::vector<backend_server_id> silentServers() const;
    void holdCurrent(abandon_cause why);
    /// Sends the request to a server that replaces a held attempt, after the server has shown that
    /// it responds; else another one is tried.
    void sendReplacement(server_ptr chosen);
    /// Returns whether it is unknown if the server responds now, and it may be asked.
    [[nodiscard]] bool needsHealthCheck(const server &chosen) const;
    void startHealthCheck(const server_ptr &chosen);
    void onHealthCheckEnd(const server_ptr &chosen, bool healthy);
    void cancelHealthCheck();
    /// Tries another server than one that doesn't respond.
    void onNoResponse(const server_ptr &chosen);
    /// Sends the request to a server. If a stream of which the client has a part goes on there, the
    /// server is first asked for its start.
    void sendChecked(server_ptr chosen);
    [[nodiscard]] bool needsStartCheck(const server &chosen) const;
    /// Sends the request, or tries another server if the version of this one is unknown.
    void onServerStart(const server_ptr &chosen, start_evidence shown);
    /// Does so by the list of servers, if the server doesn't say.
    void sendIfListed(const server_ptr &chosen);
    /// Ends the held attempts once a replacement has had the request for `MaxHandoverTime`.
    void startHandoverTimer();
    void onHandoverEnd();
    /// Makes the attempt with this id the current one; called when bytes of its answer arrive.
    /// Returns false if the bytes must be ignored.
    [[nodiscard]] bool selectForHead(std::uint64_t id, const http::response_head &head);
    [[nodiscard]] bool selectForBody(std::uint64_t id, std::string_view bytes);
    /// The same when the answer ends: a held one may be complete without further bytes.
    [[nodiscard]] bool selectForEnd(std::uint64_t id, http::call_end how);
    /// Continues with a held attempt; ends what replaced it.
    void resume(std::uint64_t id);
    /// Waits for the last held attempt again, as another one isn't possible or has failed. Returns
    /// false if there is none.
    [[nodiscard]] bool resumeHeld(std::string_view why);
    /// Ends the current attempt and the stages that were restarted for it.
    void stopReplacement();
    void onHeldEnd(std::uint64_t id, http::call_end how);
    /// Removes an attempt from the held ones and ends its placement. Its call has ended, or is
    /// abandoned by the caller.
    [[nodiscard]] server_attempt takeHeld(std::uint64_t id);
    /// Returns the held attempt with this id; null if there is none.
    [[nodiscard]] server_attempt *findHeld(std::uint64_t id);
    /// Removes an attempt from the held ones, with its placement and its call.
    [[nodiscard]] server_attempt extractHeld(std::uint64_t id);
    /// Returns whether an attempt has begun an answer that can be forwarded.
    [[nodiscard]] static bool isAnswering(const server_attempt &each);
    /// Ends the call of a held attempt, whose answer can't be used.
    void abandonHeld(std::uint64_t id, abandon_cause why);
    /// Records the start of a response and what its server reports in it.
    void recordResponse(const server_attempt &to, const response_metadata &metadata);
    /// Ends the calls of all held attempts: another one answers the request, or it has ended.
    void endHeld();
    /// Ends the calls of the held attempts that fit.
    template <class Predicate>
    void endHeld(Predicate fits);
    /// Records that the server of the current attempt is no longer silent.
    void onHeardAgain();
    /// Reads the answer of the current attempt again, if that was paused for a slow client.
    void resumeReading();

    void beginAnswer();
    /// Whether an answer that is too long to be buffered may be forwarded while it arrives.
    [[nodiscard]] bool mayForwardUnfinished() const;
    /// Whether the status of the answer says that the request hasn't run.
    [[nodiscard]] bool claimsNotRun() const;
    void applyBackpressure();
    void respondWithStatus(int status, request_outcome outcome);
    void refuse(request_outcome outcome);
    [[nodiscard]] bool isFinal(request_outcome outcome) const;
    [[nodiscard]] milliseconds retryDelayFor(request_outcome outcome) const;
    void failRequest(request_outcome outcome);
    void onClientGone();
    void onTimeout();
    /// Ends all calls and answers with 504 if a server may have run the request, else refuses it.
    /// An answer of which the client has a part is broken off.
    void endUnanswered(request_outcome outcome);
    void updateQuarantine(request_outcome outcome);
    void finish(request_outcome outcome);

    [[nodiscard]] bool logsDecisions() const { return m_context.log.writes(wire::log_level::Info); }
    [[nodiscard]] wire::log_line lineOf(log_event kind) const;
    [[nodiscard]] milliseconds sinceArrival() const;
    [[nodiscard]] bool succeededInTime(request_outcome outcome) const;
    void logAccepted();
    void logStage(std::uint32_t stage, std::size_t pieces);
    void logAdmissionRefused(const admission_result &result);
    void logSent();
    void logAttemptEnd(const server_attempt &ended, std::string_view how);
    void logHeld(const server_attempt &held);
    void logResumed(std::string_view why);
    void logHealthCheck(const server &checked, bool healthy);
    void logServerStart(const server &asked, start_evidence shown);
    void logRetryDenied(std::string_view why);
    /// Returns the first shared parts of the prompt, for the log.
    [[nodiscard]] std::string sharedPartsText() const;
    void logTrial(const request_digest &subject, bool granted);
    void logStreamOrigin(const origin_lookup &found);
    void logPlaced(const placement_result &placed, const repeated_prefill &repeated);
    void logEnd(request_outcome outcome);

    [[nodiscard]] milliseconds timeLeft() const;

    gateway_context<Codec> &m_context;
    http::inbound_ptr m_client;
    http::request_head m_head;
    std::string m_body;
    configuration_ptr m_configuration;
    const route *m_route = nullptr;
    const customer_spec *m_customer = nullptr;
    residency m_residency; ///< regions where the request may be processed
    request_metadata m_metadata;
    request_digest m_digest; ///< equal for all repeats of this request
    std::vector<crash_subject> m_subjects; ///< this request and the shared parts of its prompt
    data_center_id m_preferredDataCenter; ///< preferred data centre for the work
    /// Why the request isn't processed in the data centre whose engines keep its prompt; empty: it
    /// is, or there is none.
    std::optional<prefill_cause> m_otherDataCenter;
    data_center_id m_unreachableDataCenter; ///< where servers could not be reached; empty: none
    steady_time m_arrival;
    /// From when the latency objective counts: the arrival, or the restart of the stages of a
    /// stream that had begun in its objective.
    steady_time m_objectiveFrom;
    steady_time m_deadline; ///< deadline of the final answer
    std::uint32_t m_priority = 0;
    service_id m_service;
    std::optional<request_digest> m_stream; ///< on streaming routes
    /// Version on which the stream began or must begin; empty: any.
    std::optional<software_version> m_version;
    bool m_originFound = false; ///< the request continues a stream that is known to have begun
    bool m_done = false;
    request_log m_decisions;
    int m_clientStatus = 0; ///< status sent to the client; 0: none
    /// Time from arrival to the first event sent to the client.
    std::optional<milliseconds> m_timeToFirstEvent;

    std::optional<stage_progress> m_stageProgress;
    std::vector<std::chrono::microseconds> m_timesAfterStages; ///< estimated time after each stage
    std::vector<steady_time> m_stageSubmittedAt; ///< when the pieces of each stage were submitted
    std::vector<pool_key> m_stagePools; ///< of each stage; expected pool until the stage starts
    admission_id m_stageAdmission = 0; ///< asked or granted for the stages
    std::set<pool_key> m_reservedPools; ///< whose hosts have reserved places for the stages
    std::vector<piece_token> m_pieces; ///< submitted and not completed
    stage_versions m_stageVersions;
    bool m_stagesRestarted = false;
    bool m_needsStages = false; ///< results were freed or lost

    server_attempt m_current;
    second_answer_scanner<Codec> m_scanner; ///< of the answer that is forwarded as it arrives
    std::uint64_t m_lastAttemptId = 0;
    /// Attempts whose servers are silent and whose calls stay open while others are tried, until
    /// another one has had the request for `MaxHandoverTime`. All of them are before the same
    /// event, as the first one that has bytes for the client ends the others.
    std::vector<server_attempt> m_held;
    bool m_retryUnused = false; ///< a retry was taken from the budget and nothing was sent since
    std::uint32_t m_fruitlessTries = 0; ///< replacements of silent calls that failed
    http::timer_id m_handoverTimer = 0; ///< until the held attempts end
    server_transport::call_id m_healthCheck =
        0; ///< of the server that is to replace a held attempt
    http::timer_id m_healthCheckTimer = 0;
    /// To the server at which the stream is to go on.
    typename server_start_reader<Codec>::question_id m_startQuestion = 0;
    server_ptr m_startUnstated; ///< that server, while the list is to show its start
    bool m_waitLogged = false; ///< why the current silent call isn't replaced was logged
    http::timer_id m_dispatchTimer = 0; ///< until the assigned dispatch time
    bool m_admitted = false; ///< by the pool's host, before its stages
    milliseconds m_capacityDelay{0}; ///< delay until servers may take requests again; 0: unknown
    std::vector<backend_server_id> m_triedServers;
    std::uint32_t m_attempts = 0; ///< that reached a server
    std::uint32_t m_unsentAttempts = 0;
    steady_time m_firstUnsentRemoteAt{}; ///< time of the first of `m_unsentRemoteAttempts`
    std::uint32_t m_unsentRemoteAttempts = 0; ///< unsent attempts to servers of other data centres
    bool m_serverIneligible = false; ///< the chosen server may no longer get the request
    /// The suspected request or part that this request may try on one server.
    std::optional<request_digest> m_trial;
    bool m_mayHaveRun = false;
    bool m_headSent = false; ///< a response head was sent to the client
    http::timer_id m_deadlineTimer = 0;
    http::timer_id m_idleTimer = 0;
};

} // namespace orchidlead::gateway

#include "gateway/exchange/exchange_impl.h"
