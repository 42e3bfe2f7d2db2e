#pragma once

#include "core/configuration/pipeline.h"

#include <orchidlead/latency_histogram.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// Class of a request's input size; a long archive and a chat line take different times.
[[nodiscard]] std::uint32_t inputSizeClass(std::size_t bytes);

/// Quantiles of stage times, seen by this node: by pipeline, stage and input size class, and by
/// service alone where that cell has seen too little. Bounded: cells beyond the bound share the
/// service's.
class stage_estimates
{
public:
    using duration = latency_histogram::duration;

    void observe(const pipeline_plan &plan, std::uint32_t stage, std::uint32_t sizeClass,
                 duration elapsed);

    /// Gives a quantile of one stage's time; zero where nothing is known yet.
    [[nodiscard]] duration quantile(const pipeline_plan &plan, std::uint32_t stage,
                                    std::uint32_t sizeClass, double quantile) const;

    /// Gives, for each stage, the longest way from its start to the end of the pipeline.
    [[nodiscard]] std::vector<duration> timesToEnd(const pipeline_plan &plan,
                                                   std::uint32_t sizeClass, double quantile) const;

private:
    static constexpr std::size_t MaxCells = 2'048;
    static constexpr std::uint32_t MinWeight = 16;

    [[nodiscard]] static std::uint64_t cellKey(const pipeline_plan &plan, std::uint32_t stage,
                                               std::uint32_t sizeClass);

    std::unordered_map<std::uint64_t, latency_histogram> m_cells;
    std::unordered_map<service_id, latency_histogram> m_services;
};

} // namespace orchidlead
