#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace orchidlead {

/// Estimates quantiles of recent durations in fixed memory.
///
/// Buckets grow by a factor of 2^(1/8) from 64 µs on, so a quantile is within 5 % or so. Old
/// observations fade: all counts are halved whenever their sum reaches a bound.
class latency_histogram
{
public:
    using duration = std::chrono::microseconds;

    void observe(duration value);

    /// Gives the duration that a share `quantile` (0 to 1) of the observations don't exceed;
    /// zero without observations.
    [[nodiscard]] duration quantile(double quantile) const;

    /// Gives the number of observations, faded ones counted in part.
    [[nodiscard]] std::uint32_t weight() const { return m_weight; }

private:
    static constexpr std::size_t BucketsPerOctave = 8;
    static constexpr std::size_t Octaves = 21;
    static constexpr std::size_t Buckets = BucketsPerOctave * Octaves;
    static constexpr std::uint32_t MaxWeight = 1024;

    [[nodiscard]] static std::size_t bucketOf(duration value);
    [[nodiscard]] static duration middleOf(std::size_t bucket);
    void halve();

    std::array<std::uint16_t, Buckets> m_counts{};
    std::uint32_t m_weight = 0;
};

} // namespace orchidlead
