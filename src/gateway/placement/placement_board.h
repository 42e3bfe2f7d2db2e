#pragma once

#include "gateway/codec.h"
#include "gateway/exchange/first_answer_model.h"
#include "gateway/placement/engine_parts.h"
#include "gateway/placement/part_loads.h"
#include "gateway/placement/pool_admission.h"
#include "gateway/placement/recent_prompt_parts.h"
#include "gateway/placement/repeated_prefill.h"
#include "gateway/policy.h"
#include "gateway/servers/rate_pacer.h"
#include "gateway/servers/server_directory.h"
#include "gateway/servers/server_speed.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

using placement_id = std::uint64_t;

/// A request that the host of its pool is to place on a server. The server is a model engine or
/// belongs to a pool with rate-limited servers.
struct placement_query
{
    pool_key pool;
    stage_rank rank;
    milliseconds clientTimeout{0}; ///< longest time to wait for a rate-limited server
    bool admitted = false; ///< already admitted by the pool's host, before its stages
    std::vector<prompt_part> prompt; ///< parts in order; the last one belongs to the request alone
    data_center_id preferredDataCenter; ///< data centre that holds the inputs
    /// Size of the inputs that would have to be moved to another data centre.
    std::uint64_t transferBytes = 0;
    std::vector<backend_server_id> exclude; ///< servers already tried
    std::optional<software_version> version; ///< required version; empty: any
    residency allowed;
};

/// The server that a request is sent to, and when.
struct placement_result
{
    server_ptr server; ///< null: no server is available for the request
    /// Time until the request may be sent to the server. Without a server: time until there may be
    /// room, 0 if unknown.
    milliseconds wait{0};
    bool allRateLimited = false; ///< all servers that the request may use are rate-limited, or are
                                 ///< brittle and have as many requests as they may
    repeated_prefill repeated{}; ///< what the server reads although another one keeps it
};

/// Whether a request may start its stages.
struct admission
{
    bool granted = true;
    milliseconds retryDelay{0}; ///< time after which to retry if not granted; 0: unknown
    bool allRateLimited = false; ///< as in `placement_result`
};

/// Places requests on the servers of pools, mainly on model engines.
///
/// For the requests placed by this node, the board tracks the prompts that each engine still has to
/// read, the streams running on each engine, and the prompt parts cached there. A request goes to
/// the engine with the lowest cost, in the time that an engine of usual speed takes to read a
/// prompt token: the uncached tokens of its prompt, the tokens to be read before them and the
/// streams delayed by reading the prompt, at the engine's own speed, and the inputs that would have
/// to be moved to another data centre. The speed of each engine is learnt from the time until the
/// first token of its requests.
///
/// Shared parts of prompts that no engine is known to keep go to their home engine, on which all
/// boards agree. A part that an engine keeps is read again elsewhere only if that engine is busy,
/// earlier if the load of the part needs more engines.
///
/// Rate-limited servers get requests evenly at the rate of their limits. If all servers are
/// rate-limited, requests wait for their turn, and only as many are admitted as the limits allow.
class placement_board
{
public:
    placement_board(const clock_source &clock, const server_directory &directory,
                    const disabled_policies &disabledPolicies = {});

    /// Sets the number of tokens that an engine of a service can cache.
    void setCapacity(const service_id &service, std::uint64_t tokens);
    /// Chooses a server. `share` is the share of the rate limits of the pool's servers that this
    /// board may use. Rate-limited servers of other pools are never chosen.
    [[nodiscard]] placement_result place(placement_id id, const placement_query &query,
                                         double share = 0.0);
    /// Returns whether a request may start its stages. Stages are wasted work if no server accepts
    /// the request afterwards.
    [[nodiscard]] admission admit(const placement_query &query, double share);
    /// Called when the prompt of the request has been read.
    void onFirstToken(placement_id id);
    void onEnd(placement_id id);
    /// Records which engines keep which parts, as reported by a node that sent them there.
    void learnParts(const service_id &service, const std::vector<placed_part> &parts);

    /// Returns the number of placements whose requests have not ended.
    [[nodiscard]] std::size_t activeCount() const { return m_placements.size(); }

private:
    struct engine
    {
        service_id service;
        engine_parts parts;
        std::uint64_t prefillTokens = 0; ///< prompt tokens that are still to be read
        std::uint32_t streams = 0; ///< requests placed and not ended
        std::uint32_t unread = 0; ///< requests without a first token
        std::uint32_t longPrompts = 0; ///< prompts longer than a chunk that are still to be read
        server_speed speed;
    };
    struct placement
    {
        server_start server;
        std::uint64_t tokens = 0; ///< prompt tokens still to be read; 0 once they have been read
        steady_time startedAt;
        service_id service;
        /// Prompt tokens that the engine reads until the first token: those of the request, and
        /// those of other requests before them.
        std::uint64_t tokensToFirstToken = 0;
        bool isRead = false; ///< the first token has arrived
        steady_time sentAt; ///< when the request may be sent
    };

    /// Returns the servers of the pool that have the required version and have not been tried.
    [[nodiscard]] std::vector<server_ptr> untriedServers(const placement_query &query) const;
    /// Removes the servers of a brittle service that have as many requests as they may.
    void removeFullServers(std::vector<server_ptr> &servers, const service_id &service) const;
    /// Returns the servers of `poolServers` that may get a request now. If there are none, or if
    /// all of them are avoided, returns servers of other pools that the request may use.
    [[nodiscard]] std::vector<server_ptr> candidates(const std::vector<server_ptr> &poolServers,
                                                     const placement_query &query,
                                                     double share) const;
    /// Chooses an engine by cost and by which ones keep shared parts of the prompt.
    [[nodiscard]] server_ptr chooseEngine(const std::vector<server_ptr> &servers,
                                          const placement_query &query);
    /// Returns whether a home engine may read the prompt: it isn't avoided, slow, reading a long
    /// prompt or full, and evicts no other parts for it.
    [[nodiscard]] bool mayBeHome(const server &backend, const placement_query &query);
    /// Returns the servers in the data centre of the request's inputs if the inputs are large and
    /// the data centre has any; otherwise all.
    [[nodiscard]] static std::vector<server_ptr> nearInputs(const std::vector<server_ptr> &servers,
                                                            const placement_query &query);
    /// Returns the first home engine of the prompt's shared part that may read it. Null if the
    /// part is small or if all engines are busy.
    [[nodiscard]] server_ptr homeFor(const std::vector<server_ptr> &servers,
                                     const placement_query &query);
    /// Returns the next home engine of the prompt's shared part if the load of the part needs more
    /// engines than those that keep it, and all of these have requests without a first token. Null
    /// otherwise, or if all other engines are busy.
    [[nodiscard]] server_ptr copyFor(const std::vector<server_ptr> &servers,
                                     const placement_query &query);
    /// Returns the most tokens of the shared parts that one of the servers keeps, of those with at
    /// most `maxUnread` requests without a first token.
    [[nodiscard]] std::uint64_t mostKept(const std::vector<server_ptr> &servers,
                                         const placement_query &query, std::uint32_t maxUnread);
    [[nodiscard]] server_ptr cheapest(const std::vector<server_ptr> &servers,
                                      const placement_query &query, std::uint64_t keptElsewhere);
    /// Returns the server that may get a request first, if the wait is within
    /// `query.clientTimeout`.
    [[nodiscard]] placement_result earliestAllowed(const std::vector<server_ptr> &poolServers,
                                                   const placement_query &query,
                                                   double share) const;
    /// Returns the total rate limit of the servers if all that the request may use are
    /// rate-limited.
    [[nodiscard]] std::optional<double> poolRateLimit(const placement_query &query,
                                                      double share) const;
    [[nodiscard]] milliseconds tryPoolAdmission(const placement_query &query, double perSecond);
    /// Records the load that the request adds to the server, and the prompt parts cached there.
    void recordPlacement(placement_id id, const placement_query &query,
                         const placement_result &placed);
    /// Records that the prompt of a request is no longer to be read.
    static void markRead(placement &finished, engine &state);
    /// Learns the speed of an engine from a request whose first token has arrived.
    void learnSpeed(const placement &finished, engine &state);
    /// Returns the factor by which reading a prompt takes longer on an engine than usual.
    [[nodiscard]] double timeFactorOf(const server &backend, const engine &state) const;
    /// `keptElsewhere` are the tokens of the shared parts that some engine keeps.
    [[nodiscard]] double costOf(const server &backend, const placement_query &query,
                                std::uint64_t keptElsewhere);
    [[nodiscard]] engine &engineOf(const server &backend);
    /// Returns which shared parts the chosen server reads although another one keeps them.
    [[nodiscard]] repeated_prefill findRepeated(const server &chosen, const placement_query &query);
    /// Returns why a server that keeps parts of the prompt didn't get the request.
    [[nodiscard]] prefill_cause causeOf(const server_start &holder,
                                        const placement_query &query) const;
    [[nodiscard]] bool isNew(const pool_key &pool) const;
    void forget(const server_start &gone);
    [[nodiscard]] std::uint64_t keptLimit(const service_id &service) const;
    [[nodiscard]] static std::uint64_t uncachedTokens(const engine &state,
                                                      const placement_query &query);
    void keepParts(engine &state, const placement_query &query);
    void expirePlacements();
    /// Forgets the engines that have ended and have no requests left.
    void forgetGoneEngines();

    const clock_source &m_clock;
    const server_directory &m_directory;
    bool m_learnsSpeeds;
    bool m_usesHomes;
    bool m_usesCopies;
    std::unordered_map<service_id, std::uint64_t> m_capacities;
    std::unordered_map<service_id, first_answer_model>
        m_readTimes; ///< by tokens until the first one
    rate_pacer m_pacer;
    std::map<pool_key, pool_admission> m_admissions;
    std::map<server_start, engine> m_engines;
    std::uint64_t m_knownChanges = 0; ///< of the directory, when ended engines were forgotten last
    std::unordered_map<placement_id, placement> m_placements;
    lost_parts m_lostParts;
    part_loads m_partLoads;
    std::map<pool_key, steady_time> m_firstPlacements; ///< by this board
};

} // namespace orchidlead::gateway
