#include "wire/customer_labels.h"

#include <algorithm>

namespace orchidlead::wire {

std::string_view customer_labels::labelFor(const customer_id &customer)
{
    ++m_requests;
    const auto labelled = m_labelled.find(customer);
    if (labelled != m_labelled.end())
        return labelled->value;
    if (m_labelled.size() >= m_options.maxLabels)
        return OtherLabel;
    track(customer);
    const std::uint64_t count = m_counts.at(customer);
    const double share = static_cast<double>(count) / static_cast<double>(m_requests);
    if (count < m_options.minRequests || share < m_options.minShare)
        return OtherLabel;
    m_counts.erase(customer);
    return m_labelled.insert(customer).first->value;
}

// Counts by the space-saving method: a newcomer takes the place and the count of the smallest, so
// that a large customer is never missed, and a small one is overestimated by the smallest count at
// most. With more places than one over the least share, that is below the share.
void customer_labels::track(const customer_id &customer)
{
    const auto known = m_counts.find(customer);
    if (known != m_counts.end()) {
        ++known->second;
        return;
    }
    std::uint64_t inherited = 0;
    if (m_counts.size() >= m_options.maxTracked) {
        const auto smallest = std::min_element(
            m_counts.begin(), m_counts.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        inherited = smallest->second;
        m_counts.erase(smallest);
    }
    m_counts.emplace(customer, inherited + 1);
}

} // namespace orchidlead::wire
