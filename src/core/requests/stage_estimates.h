#pragma once

#include "core/configuration/pipeline.h"

#include <orchidlead/latency_histogram.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// Returns the size class of an input. Stage times depend on the size of the input.
[[nodiscard]] std::uint32_t inputSizeClass(std::size_t bytes);

/// Quantiles of stage times observed by this node, by pipeline, stage and input size class. Where
/// such a cell has too few observations, or would exceed the limit of cells, the quantiles of the
/// service are used.
class stage_estimates
{
public:
    using duration = latency_histogram::duration;

    void observe(const pipeline_plan &plan, std::uint32_t stage, std::uint32_t sizeClass,
                 duration elapsed);

    /// Returns a quantile of a stage's time, or zero if there are too few observations.
    [[nodiscard]] duration quantile(const pipeline_plan &plan, std::uint32_t stage,
                                    std::uint32_t sizeClass, double quantile) const;

    /// Returns, for each stage, the length of the critical path from its start to the end of the
    /// pipeline.
    [[nodiscard]] std::vector<duration>
    remainingTimes(const pipeline_plan &plan, std::uint32_t sizeClass, double quantile) const;

private:
    static constexpr std::size_t MaxCells = 2'048;
    static constexpr std::uint32_t MinWeight = 16;

    [[nodiscard]] static std::uint64_t cellKey(const pipeline_plan &plan, std::uint32_t stage,
                                               std::uint32_t sizeClass);

    std::unordered_map<std::uint64_t, latency_histogram> m_cells;
    std::unordered_map<service_id, latency_histogram> m_services;
};

} // namespace orchidlead
