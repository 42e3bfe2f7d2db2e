#pragma once

#include <orchidlead/ids.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace orchidlead::wire {

/// Label value of all that have none of their own.
inline constexpr std::string_view OtherLabel = "other";

/// Bounds of customer labels.
struct customer_label_options
{
    std::size_t maxLabels = 20;
    std::size_t maxTracked = 200; ///< candidates that are counted
    std::uint64_t minRequests = 20; ///< before a customer may get a label
    double minShare = 0.01; ///< of all requests, to get a label
};

/// Picks the customers that get metrics of their own: those that were seen to be large.
///
/// A label once given stays, so that no counter ever goes back; their number is bounded.
class customer_labels
{
public:
    explicit customer_labels(customer_label_options options = {})
        : m_options(options)
    { }

    /// Counts one request and returns the label to count it under.
    [[nodiscard]] std::string_view labelFor(const customer_id &customer);

private:
    void track(const customer_id &customer);

    customer_label_options m_options;
    std::unordered_set<customer_id> m_labelled;
    std::unordered_map<customer_id, std::uint64_t> m_counts; ///< never too low, see the source
    std::uint64_t m_requests = 0;
};

} // namespace orchidlead::wire
