#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace orchidlead {

/// Estimates quantiles of recent durations in fixed memory.
///
/// Bucket bounds grow by a factor of 2^(1/8) from 64 µs, so the error of a quantile is about 5 %.
/// Older observations lose weight: all counts are halved when their sum reaches `MaxWeight`.
class latency_histogram
{
public:
    using duration = std::chrono::microseconds;

    void observe(duration value);

    /// Returns the quantile for `quantile` in [0, 1], or zero without observations.
    [[nodiscard]] duration quantile(double quantile) const;

    /// Returns the sum of all counts. Older observations count less than one each.
    [[nodiscard]] std::uint32_t weight() const { return m_weight; }

private:
    static constexpr std::size_t BucketsPerOctave = 8;
    static constexpr std::size_t Octaves = 21;
    static constexpr std::size_t Buckets = BucketsPerOctave * Octaves;
    static constexpr std::uint32_t MaxWeight = 1024;

    [[nodiscard]] static std::size_t bucketOf(duration value);
    [[nodiscard]] static duration midpointOf(std::size_t bucket);
    void halveCounts();

    std::array<std::uint16_t, Buckets> m_counts{};
    std::uint32_t m_weight = 0;
};

} // namespace orchidlead
