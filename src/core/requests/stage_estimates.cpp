#include "core/requests/stage_estimates.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace orchidlead {

namespace {
constexpr std::uint32_t SizeClasses = 8;
constexpr std::size_t SmallestClassBytes = 256;
constexpr std::uint64_t SizeClassBits = 3;
} // namespace

// Each class covers sizes four times as large as the class before it.
std::uint32_t inputSizeClass(std::size_t bytes)
{
    const auto doublings = static_cast<std::uint32_t>(std::bit_width(bytes / SmallestClassBytes));
    return std::min((doublings + 1) / 2, SizeClasses - 1);
}

// A collision of two 64-bit keys would only merge two estimates.
std::uint64_t stage_estimates::cellKey(const pipeline_plan &plan, std::uint32_t stage,
                                       std::uint32_t sizeClass)
{
    const std::string &name = plan.id.value;
    return XXH64(name.data(), name.size(), (std::uint64_t{stage} << SizeClassBits) | sizeClass);
}

void stage_estimates::observe(const pipeline_plan &plan, std::uint32_t stage,
                              std::uint32_t sizeClass, duration elapsed)
{
    m_services[plan.stages[stage].service].observe(elapsed);
    const std::uint64_t key = cellKey(plan, stage, sizeClass);
    const auto it = m_cells.find(key);
    if (it != m_cells.end())
        it->second.observe(elapsed);
    else if (m_cells.size() < MaxCells)
        m_cells[key].observe(elapsed);
}

stage_estimates::duration stage_estimates::quantile(const pipeline_plan &plan, std::uint32_t stage,
                                                    std::uint32_t sizeClass, double quantile) const
{
    const auto cell = m_cells.find(cellKey(plan, stage, sizeClass));
    if (cell != m_cells.end() && cell->second.weight() >= MinWeight)
        return cell->second.quantile(quantile);
    const auto service = m_services.find(plan.stages[stage].service);
    if (service != m_services.end() && service->second.weight() >= MinWeight)
        return service->second.quantile(quantile);
    return duration{0};
}

std::vector<stage_estimates::duration> stage_estimates::remainingTimes(const pipeline_plan &plan,
                                                                       std::uint32_t sizeClass,
                                                                       double wanted) const
{
    std::vector<duration> times(plan.stages.size());
    for (std::size_t stage = plan.stages.size(); stage-- > 0;) {
        times[stage] += quantile(plan, static_cast<std::uint32_t>(stage), sizeClass, wanted);
        for (const std::uint32_t input : plan.stages[stage].inputs)
            times[input] = std::max(times[input], times[stage]);
    }
    return times;
}

} // namespace orchidlead
