#pragma once

#include "gateway/configuration.h"

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Estimates how long the rest of a request takes, without the waits that a backlog adds.
class time_estimates
{
public:
    /// A server's first answer to a request came after so long.
    void onFirstAnswer(const service_id &service, std::chrono::microseconds took);
    /// Time from sending to the first answer, averaged; a guess where nothing was seen.
    [[nodiscard]] std::chrono::microseconds firstAnswer(const service_id &service) const;
    /// One call of a stage's service with half a batch.
    [[nodiscard]] static std::chrono::microseconds stageCall(const service_spec *service);

    /// For each stage of a route, how long what follows it takes: later stages, then the request.
    [[nodiscard]] std::vector<std::chrono::microseconds>
    afterStages(const configuration_index &configuration, const route &way,
                const service_id &service) const;

private:
    std::unordered_map<service_id, double> m_firstAnswers; ///< µs
};

} // namespace orchidlead::gateway
