#pragma once

#include "wire/customer_labels.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orchidlead::wire {

/// Name, help text and labels of a metric, and how many label sets it may have.
struct family_description
{
    std::string name;
    std::string help;
    std::vector<std::string> labels;
    std::size_t maxSeries = 1;
};

/// Buckets of times, in seconds.
inline const prometheus::Histogram::BucketBoundaries secondsBuckets{
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8, 16, 32};

/// A metric with a bounded number of label sets; what goes beyond is kept under "other".
template <class Metric>
class bounded_family
{
public:
    bounded_family(prometheus::Registry &registry, family_description description)
        : m_description(std::move(description))
        , m_family(build(registry, m_description))
    { }

    /// Returns the metric with these values of the labels, in their order.
    [[nodiscard]] Metric &at(std::vector<std::string> values)
    {
        auto found = m_series.find(values);
        if (found == m_series.end() && m_series.size() >= m_description.maxSeries) {
            std::fill(values.begin(), values.end(), std::string{OtherLabel});
            found = m_series.find(values);
        }
        if (found == m_series.end())
            found = m_series.emplace(values, &add(values)).first;
        return *found->second;
    }

private:
    static prometheus::Family<Metric> &build(prometheus::Registry &registry,
                                             const family_description &description);

    Metric &add(const std::vector<std::string> &values)
    {
        prometheus::Labels labels;
        for (std::size_t at = 0; at < values.size(); ++at)
            labels.emplace(m_description.labels[at], values[at]);
        if constexpr (std::is_same_v<Metric, prometheus::Histogram>)
            return m_family.Add(labels, secondsBuckets);
        else
            return m_family.Add(labels);
    }

    family_description m_description;
    prometheus::Family<Metric> &m_family;
    std::map<std::vector<std::string>, Metric *> m_series;
};

template <>
inline prometheus::Family<prometheus::Counter> &
bounded_family<prometheus::Counter>::build(prometheus::Registry &registry,
                                           const family_description &description)
{
    return prometheus::BuildCounter()
        .Name(description.name)
        .Help(description.help)
        .Register(registry);
}

template <>
inline prometheus::Family<prometheus::Gauge> &
bounded_family<prometheus::Gauge>::build(prometheus::Registry &registry,
                                         const family_description &description)
{
    return prometheus::BuildGauge()
        .Name(description.name)
        .Help(description.help)
        .Register(registry);
}

template <>
inline prometheus::Family<prometheus::Histogram> &
bounded_family<prometheus::Histogram>::build(prometheus::Registry &registry,
                                             const family_description &description)
{
    return prometheus::BuildHistogram()
        .Name(description.name)
        .Help(description.help)
        .Register(registry);
}

using counter_family = bounded_family<prometheus::Counter>;
using gauge_family = bounded_family<prometheus::Gauge>;
using histogram_family = bounded_family<prometheus::Histogram>;

} // namespace orchidlead::wire
