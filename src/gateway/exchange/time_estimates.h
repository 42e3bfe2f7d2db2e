#pragma once

#include "gateway/publication/configuration.h"
#include "gateway/servers/pool_key.h"
#include "gateway/stages/stage_rank.h"

#include <orchidlead/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// A request as far as its times depend on it. Lives no longer than what it refers to.
struct request_outline
{
    const configuration_index &configuration;
    const route &way;
    const service_id &service; ///< that the request itself goes to
    stage_rank rank;
    const std::vector<pool_key> &pools; ///< of each stage
    const std::vector<std::uint32_t> &pieces; ///< of each stage; 0: the stage is left out
};

/// Estimates how long the rest of a request takes, from what requests of its rank took lately and
/// what the hosts of stage pools tell of their queues.
class time_estimates
{
public:
    explicit time_estimates(const clock_source &clock)
        : m_clock(clock)
    { }

    /// A server's first answer to a request came after so long.
    void onFirstAnswer(const service_id &service, std::chrono::microseconds took);
    /// Time from sending to the first answer, averaged; a guess where nothing was seen.
    [[nodiscard]] std::chrono::microseconds firstAnswer(const service_id &service) const;
    /// All pieces of a stage have results so long after they were asked for.
    void onStage(const pool_key &pool, const stage_rank &rank, std::chrono::microseconds took);
    /// A piece that came to the pool now would wait so long, as its host says.
    void onWait(const pool_key &pool, const stage_rank &rank, milliseconds wait);
    /// That wait, less what has passed since: the queue gets shorter meanwhile.
    [[nodiscard]] std::chrono::microseconds waitOf(const pool_key &pool,
                                                   const stage_rank &rank) const;
    /// A stage, with its wait: as seen lately, and at least one call with half a batch. `service`
    /// is the pool's; null: nothing is known of it.
    [[nodiscard]] std::chrono::microseconds
    stageTime(const service_spec *service, const pool_key &pool, const stage_rank &rank) const;
    /// One call of a stage's service with half a batch.
    [[nodiscard]] static std::chrono::microseconds stageCall(const service_spec *service);

    /// How long each stage takes; no time where it is left out.
    [[nodiscard]] std::vector<std::chrono::microseconds>
    stageTimes(const request_outline &request) const;
    /// What a request that came now would meet.
    struct outlook
    {
        std::chrono::microseconds toAnswer{0}; ///< until the first answer, its stages included
        bool crowded = false; ///< at some stage more waits before it than the servers take at once
    };
    [[nodiscard]] outlook outlookOf(const request_outline &request) const;
    /// For each stage, how long what follows it takes: later stages, then the request. `stageTimes`
    /// are those of this request.
    [[nodiscard]] std::vector<std::chrono::microseconds>
    afterStages(const request_outline &request,
                const std::vector<std::chrono::microseconds> &stageTimes) const;

private:
    struct seen_time
    {
        double average = 0; ///< µs
        steady_time at;
    };
    struct told_wait
    {
        milliseconds wait{0};
        steady_time at;
    };

    const clock_source &m_clock;
    std::unordered_map<service_id, double> m_firstAnswers; ///< µs
    std::map<std::pair<pool_key, stage_rank>, seen_time> m_stages;
    std::map<std::pair<pool_key, stage_rank>, told_wait> m_waits;
};

} // namespace orchidlead::gateway
