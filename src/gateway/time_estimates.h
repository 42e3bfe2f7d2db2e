#pragma once

#include "gateway/configuration.h"
#include "gateway/stage_rank.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// Estimates how long the rest of a request takes, from what requests of its rank took lately.
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
    void onStage(const service_id &service, const stage_rank &rank, std::chrono::microseconds took);
    /// A piece that came to the stage's pool now would wait so long, as its host says.
    void onWait(const service_id &service, const stage_rank &rank, milliseconds wait);
    /// That wait, less what has passed since: the queue gets shorter meanwhile.
    [[nodiscard]] std::chrono::microseconds waitOf(const service_id &service,
                                                   const stage_rank &rank) const;
    /// A stage, with its wait: as seen lately, and at least one call with half a batch.
    [[nodiscard]] std::chrono::microseconds stageTime(const service_spec *service,
                                                      const stage_rank &rank) const;
    /// One call of a stage's service with half a batch.
    [[nodiscard]] static std::chrono::microseconds stageCall(const service_spec *service);

    /// For each stage of a route, how long it takes.
    [[nodiscard]] std::vector<std::chrono::microseconds>
    stageTimes(const configuration_index &configuration, const route &way,
               const stage_rank &rank) const;
    /// What a request that came now would meet.
    struct outlook
    {
        std::chrono::microseconds toAnswer{0}; ///< until the first answer, its stages included
        bool crowded = false; ///< at some stage more waits before it than the servers take at once
    };
    [[nodiscard]] outlook outlookOf(const configuration_index &configuration, const route &way,
                                    const service_id &service, const stage_rank &rank) const;
    /// For each stage of a route, how long what follows it takes: later stages, then the request.
    [[nodiscard]] std::vector<std::chrono::microseconds>
    afterStages(const configuration_index &configuration, const route &way,
                const service_id &service, const stage_rank &rank) const;

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
    std::map<std::pair<service_id, stage_rank>, told_wait> m_waits;
    std::unordered_map<service_id, double> m_firstAnswers; ///< µs
    std::map<std::pair<service_id, stage_rank>, seen_time> m_stages;
};

} // namespace orchidlead::gateway
