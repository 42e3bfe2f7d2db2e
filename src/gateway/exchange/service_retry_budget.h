#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace orchidlead::gateway {

/// Limits on attempts beyond the first one of each request, across all nodes.
struct service_retry_budget_options
{
    double share = 0.2; ///< retries per request for the service
    double reserve = 50.0; ///< retries per window in addition to the share
    milliseconds window{10'000};
    /// This node's offset in the rotation in which nodes round a fraction of a retry up to a whole
    /// one: from 0 to 1, drawn by each node from a uniform distribution.
    double rotationOffset = 0.0;
};

/// This node's part of the retry budget of each service.
///
/// The nodes don't coordinate: each may use the share of its own requests plus the reserve divided
/// by the number of nodes that may be running. The sum thus stays within the limit whether or not
/// the nodes can communicate. A fraction of one retry becomes a whole retry for that fraction of
/// the nodes, and these nodes change over time.
class service_retry_budget
{
public:
    service_retry_budget(const clock_source &clock, const service_retry_budget_options &options);

    /// Sets the number of nodes among which the reserve is divided.
    void setNodes(std::size_t nodes) { m_nodes = nodes; }

    void onRequest(const service_id &service);
    /// Takes `count` retries from the budget. Returns false and takes none if fewer are left.
    [[nodiscard]] bool tryAcquire(const service_id &service, std::uint32_t count = 1);
    /// Returns a retry that was taken and not made.
    void giveBack(const service_id &service);
    /// Counts retries that are made regardless of the limit.
    void onForcedRetry(const service_id &service, std::uint32_t count);

    /// The retries of a service.
    struct usage
    {
        std::uint32_t taken = 0; ///< retries in the window
        double left = 0; ///< further retries allowed now
        std::uint32_t denied = 0; ///< retries denied since the last call of `takeUsage`
    };
    /// Returns the usage of each service that had requests, and resets the counts of denied
    /// retries.
    [[nodiscard]] std::map<service_id, usage> takeUsage();

private:
    static constexpr std::size_t Buckets = 10;
    struct bucket
    {
        std::int64_t bucketIndex = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    using buckets = std::array<bucket, Buckets>;

    struct service_usage
    {
        buckets ring{};
        std::uint32_t denied = 0;
    };

    /// The counts of the window that ends now.
    struct window_sum
    {
        double requests = 0;
        double retries = 0;
    };
    [[nodiscard]] window_sum sum(const buckets &ring) const;
    [[nodiscard]] double limit(const window_sum &counted) const;
    /// Returns the offset that is added before the limit is rounded down: from 0 to 1, distributed
    /// evenly over the nodes.
    [[nodiscard]] double roundingOffset() const;
    [[nodiscard]] bucket &currentBucket(const service_id &service);
    [[nodiscard]] std::int64_t bucketIndex() const;

    const clock_source &m_clock;
    service_retry_budget_options m_options;
    std::size_t m_nodes = 1;
    std::unordered_map<service_id, service_usage> m_services;
};

} // namespace orchidlead::gateway
