#pragma once

#include "gateway/codec.h"
#include "gateway/placement/pool_admission.h"
#include "gateway/servers/rate_pace.h"
#include "gateway/servers/server_directory.h"
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

/// A request that looks for a server whose requests are placed in one place: a model engine, or one
/// of a pool in which some bear only so many.
struct placement_wish
{
    pool_key pool;
    stage_rank rank;
    milliseconds patience{0}; ///< longest time that it may wait for its turn
    bool admitted = false; ///< by the pool's host, before its stages
    std::vector<prompt_part> prompt; ///< parts in order; the last belongs to the request alone
    data_center_id near; ///< where its inputs lie
    std::uint64_t nearBytes = 0; ///< of inputs that would cross to another data centre
    std::vector<backend_server_id> exclude; ///< tried already
    residency allowed;
};

/// Where a request goes, and when.
struct placed_request
{
    server_ptr server; ///< null: there is none for it
    /// Until its turn there; without a server until there may be room, 0: unknown.
    milliseconds wait{0};
    bool allBounded = false; ///< all servers it may go to bear only so many requests
};

/// Whether a request may go on to its stages.
struct admission
{
    bool granted = true;
    milliseconds comeBack{0}; ///< where it isn't; 0: unknown
    bool allBounded = false; ///< as in `placed_request`
};

/// Places requests on the servers of pools, model engines above all.
///
/// Knows, for the requests that were placed here, which engine reads which prompt, which streams
/// run where, and which parts of prompts each engine keeps. A request goes where it costs least,
/// counted in prompt tokens: what must be read for it, what is to be read before it, the streams
/// that its reading holds up, and inputs that would cross to another data centre.
///
/// Servers that bear only so many requests get them evenly, at the pace of their bounds. Where all
/// are bounded, requests wait their turn, and as many are let in as the bounds allow.
class placement_board
{
public:
    placement_board(const clock_source &clock, const server_directory &directory);

    /// Tokens that an engine of a service keeps.
    void setCapacity(const service_id &service, std::uint64_t tokens);
    /// Chooses a server. `share`: of what bounded servers of the pool bear, the part that this
    /// board may use; of others it uses nothing.
    [[nodiscard]] placed_request place(placement_id id, const placement_wish &wish,
                                       double share = 0.0);
    /// Whether a request may go on to its stages: where it will find no turn, they would be done
    /// for nothing.
    [[nodiscard]] admission admit(const placement_wish &wish, double share);
    /// The request's prompt is read.
    void onFirstAnswer(placement_id id);
    void onEnd(placement_id id);

    [[nodiscard]] std::size_t open() const { return m_placements.size(); }

private:
    struct kept_part
    {
        std::uint32_t tokens = 0;
        steady_time used;
    };
    struct engine
    {
        std::unordered_map<std::string, kept_part> parts;
        std::uint64_t keptTokens = 0;
        std::uint64_t reading = 0; ///< tokens of prompts that are still to be read
        std::uint32_t streams = 0; ///< requests placed and not ended
    };
    struct placement
    {
        server_start server;
        std::uint64_t tokens = 0; ///< to be read; 0 once they are
        steady_time began;
    };

    /// Servers of the pool that haven't been tried.
    [[nodiscard]] std::vector<server_ptr> untried(const placement_wish &wish) const;
    /// Those of `inPool` that may get a request now. Where none is left, or all are in doubt, those
    /// of other pools are as good, if the request may go there.
    [[nodiscard]] std::vector<server_ptr> candidates(const std::vector<server_ptr> &inPool,
                                                     const placement_wish &wish,
                                                     double share) const;
    [[nodiscard]] server_ptr cheapest(const std::vector<server_ptr> &servers,
                                      const placement_wish &wish);
    /// The server whose next turn comes first, where it comes in time.
    [[nodiscard]] placed_request nextTurn(const std::vector<server_ptr> &inPool,
                                          const placement_wish &wish, double share) const;
    /// What the servers take a second, where all that the request may go to are bounded.
    [[nodiscard]] std::optional<double> rateOf(const placement_wish &wish, double share) const;
    [[nodiscard]] milliseconds askAdmission(const placement_wish &wish, double perSecond);
    /// Takes down what the request costs the server and leaves there.
    void note(placement_id id, const placement_wish &wish, const server &chosen);
    [[nodiscard]] double costOf(const server &which, const placement_wish &wish);
    [[nodiscard]] static std::uint64_t missingTokens(const engine &state,
                                                     const placement_wish &wish);
    void keep(engine &state, const placement_wish &wish, std::uint64_t capacity);
    void forgetLapsed();

    const clock_source &m_clock;
    const server_directory &m_directory;
    std::unordered_map<service_id, std::uint64_t> m_capacities;
    rate_pace m_pace;
    std::map<pool_key, pool_admission> m_admissions;
    std::map<server_start, engine> m_engines;
    std::unordered_map<placement_id, placement> m_placements;
};

} // namespace orchidlead::gateway
