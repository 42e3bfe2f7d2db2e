#pragma once

#include "gateway/codec.h"
#include "gateway/servers/cold_start_pace.h"
#include "gateway/servers/server_directory.h"

#include <orchidlead/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

using placement_id = std::uint64_t;

/// A request that looks for a model engine.
struct engine_wish
{
    pool_key pool;
    std::vector<prompt_part> prompt; ///< parts in order; the last belongs to the request alone
    data_center_id near; ///< where its inputs lie
    std::uint64_t nearBytes = 0; ///< of inputs that would cross to another data centre
    std::vector<backend_server_id> exclude; ///< tried already
    residency allowed;
};

/// Places requests on model engines.
///
/// Knows, for the requests that were placed here, which engine reads which prompt, which streams
/// run where, and which parts of prompts each engine keeps. A request goes where it costs least,
/// counted in prompt tokens: what must be read for it, what is to be read before it, the streams
/// that its reading holds up, and inputs that would cross to another data centre.
class engine_board
{
public:
    engine_board(const clock_source &clock, const server_directory &directory);

    /// Tokens that an engine of a service keeps.
    void setCapacity(const service_id &service, std::uint64_t tokens);
    /// Chooses an engine; null where there is none. `coldShare`: of what cold engines of the pool
    /// bear, the part that this board may use; of others it uses nothing.
    [[nodiscard]] server_ptr place(placement_id id, const engine_wish &wish,
                                   double coldShare = 0.0);
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

    [[nodiscard]] std::vector<server_ptr> candidates(const engine_wish &wish,
                                                     double coldShare) const;
    [[nodiscard]] double costOf(const server &which, const engine_wish &wish);
    [[nodiscard]] static std::uint64_t missingTokens(const engine &state, const engine_wish &wish);
    void keep(engine &state, const engine_wish &wish, std::uint64_t capacity);
    void forgetLapsed();

    const clock_source &m_clock;
    const server_directory &m_directory;
    std::unordered_map<service_id, std::uint64_t> m_capacities;
    cold_start_pace m_coldPace;
    std::map<server_start, engine> m_engines;
    std::unordered_map<placement_id, placement> m_placements;
};

} // namespace orchidlead::gateway
