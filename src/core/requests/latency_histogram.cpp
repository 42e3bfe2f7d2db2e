#include <orchidlead/latency_histogram.h>

#include <algorithm>
#include <cmath>

namespace orchidlead {

namespace {
constexpr double SmallestBucketUs = 64.0;
}

std::size_t latency_histogram::bucketOf(duration value)
{
    const double ratio = static_cast<double>(value.count()) / SmallestBucketUs;
    if (ratio <= 1.0)
        return 0;
    const auto bucket = static_cast<std::size_t>(std::log2(ratio) * BucketsPerOctave);
    return std::min(bucket, Buckets - 1);
}

latency_histogram::duration latency_histogram::midpointOf(std::size_t bucket)
{
    const double octaves = (static_cast<double>(bucket) + 0.5) / BucketsPerOctave;
    return duration{static_cast<std::int64_t>(SmallestBucketUs * std::exp2(octaves))};
}

void latency_histogram::observe(duration value)
{
    ++m_counts[bucketOf(value)];
    if (++m_weight >= MaxWeight)
        halveCounts();
}

void latency_histogram::halveCounts()
{
    m_weight = 0;
    for (auto &count : m_counts) {
        count = static_cast<std::uint16_t>(count / 2);
        m_weight += count;
    }
}

latency_histogram::duration latency_histogram::quantile(double quantile) const
{
    if (m_weight == 0)
        return duration{0};
    const auto wanted = static_cast<std::uint32_t>(std::ceil(quantile * m_weight));
    const std::uint32_t rank = std::clamp<std::uint32_t>(wanted, 1, m_weight);
    std::uint32_t seen = 0;
    for (std::size_t bucket = 0; bucket < Buckets; ++bucket) {
        seen += m_counts[bucket];
        if (seen >= rank)
            return midpointOf(bucket);
    }
    return midpointOf(Buckets - 1);
}

} // namespace orchidlead
