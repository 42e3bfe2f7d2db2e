#pragma once

#include "gateway/admission/stage_admission.h"
#include "gateway/peers/peer_network.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Identifies the admission of a request at its entry node; 0: none.
using admission_id = std::uint64_t;

/// What a request needs of one pool.
struct pool_demand
{
    pool_key pool;
    std::vector<reserved_stage> stages;
};

/// A request that is to be admitted.
struct admission_query
{
    std::string attempt;
    request_digest digest;
    customer_id customer;
    stage_rank rank;
    std::vector<pool_demand> pools; ///< different ones
    milliseconds maxRetryAfter{0}; ///< longest `Retry-After` that the client follows
};

/// The answers of the hosts of all pools.
struct admission_result
{
    struct pool_answer
    {
        pool_key pool;
        /// Empty: the host did not answer in time, or can't decide.
        std::optional<reservation_answer> answer;
    };
    bool granted = true; ///< no host refused
    milliseconds retryAfter{0}; ///< the longest one of the refusals
    bool turnHeld = false; ///< the host of that refusal reserves capacity at that time
    std::vector<pool_answer> pools;
};

/// Asks the hosts of all pools that a request needs, in parallel, to reserve places for its pieces,
/// and answers such queries of other nodes.
///
/// A host that doesn't answer in time, that can't decide, or whose link closes, counts as having
/// granted: the entry node decides by its own estimate. If a host refuses, the reservations at the
/// others are released.
class admission_client
{
public:
    using host_function = std::function<vm_id(const pool_key &)>;
    using result_handler = std::function<void(const admission_result &)>;

    /// `hostOf` returns the node that hosts a pool.
    admission_client(http::io_loop &loop, peer_network &peers, stage_admission &host,
                     host_function hostOf);

    /// Sets whether this node decides as a host. If not, its answers say that it can't decide.
    void setHostReadyCheck(std::function<bool()> isReady) { m_isHostReady = std::move(isReady); }
    /// Asks the hosts. `handler` is called once, never within this call, unless `release` is called
    /// first.
    admission_id ask(admission_query query, result_handler handler);
    /// Records that all pieces of a stage were sent, and to which pools. If some went elsewhere
    /// than to the host that reserved places for them, what is left of these is released.
    void onStageSubmitted(admission_id id, std::uint32_t stage, const std::vector<pool_key> &pools);
    /// Ends a query without an answer, and releases the reservations that weren't used.
    void release(admission_id id);

    /// Handles frames about reservations; ignores others.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);

private:
    using link_ptr = std::shared_ptr<peer_link>;

    /// A query to one host.
    struct pool_query
    {
        pool_key pool;
        reservation_id id = 0;
        link_ptr link; ///< to the host; null: this node
        std::vector<std::uint32_t> unusedStages; ///< without their pieces submitted
        bool lost = false; ///< the link to the host closed
        std::optional<reservation_answer> answer;
    };
    struct pending_admission
    {
        std::vector<pool_query> queries;
        result_handler handler; ///< empty once it has been called
        http::timer_id timer = 0;
    };

    [[nodiscard]] milliseconds hostTimeout(const vm_id &host) const;
    [[nodiscard]] reservation_answer answerAsHost(reservation_sender sender, const pool_key &pool,
                                                  const reservation_query &query);
    void onAnswer(const link_ptr &link, reservation_id id, const reservation_answer &answer);
    void onReleased(const link_ptr &link, const release_reservation_frame &frame);
    /// Calls the handler if all hosts have answered.
    void completeIfAnswered(admission_id id);
    void complete(admission_id id);
    void releaseQuery(const pool_query &query);
    void releaseStage(const pool_query &query, std::uint32_t stage);
    /// Returns whether all pieces sent to `pools` went to the host that answered a query.
    [[nodiscard]] bool wentToHost(const pool_query &query,
                                  const std::vector<pool_key> &pools) const;
    /// Returns whether a host has, or may have, reserved places.
    [[nodiscard]] static bool mayHold(const pool_query &query);

    http::io_loop &m_loop;
    peer_network &m_peers;
    stage_admission &m_host;
    host_function m_hostOf;
    std::function<bool()> m_isHostReady;
    admission_id m_lastAdmission = 0;
    reservation_id m_lastReservation = 0;
    std::unordered_map<admission_id, pending_admission> m_admissions;
    std::unordered_map<reservation_id, admission_id> m_unanswered;
};

} // namespace orchidlead::gateway
