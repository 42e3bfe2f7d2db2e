#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace orchidlead::gateway {

/// How often requests may reach servers beyond the first time, over all nodes.
struct retry_allowance_options
{
    double share = 0.2; ///< of the requests for the service
    double reserve = 50.0; ///< beside the share, in one window
    milliseconds window{10'000};
    /// This node's place in the turns in which nodes get a whole try for their parts of one: from 0
    /// to 1, drawn evenly by each node.
    double turn = 0.0;
};

/// This node's part of the second tries of each service.
///
/// The nodes don't agree on anything: each takes its share of its own requests, and the reserve
/// divided by the number of nodes that may be there. So the sum keeps the bound whoever hears whom.
/// A part of one try is a whole try for so many of the nodes, and for others as time goes on.
class retry_allowance
{
public:
    retry_allowance(const clock_source &clock, const retry_allowance_options &options);

    /// The number of nodes among which the reserve is divided.
    void setNodes(std::size_t nodes) { m_nodes = nodes; }

    void onRequest(const service_id &service);
    /// Takes the right to `count` second tries, if there is.
    [[nodiscard]] bool tryTake(const service_id &service, std::uint32_t count = 1);
    /// Counts second tries that couldn't be avoided.
    void onForced(const service_id &service, std::uint32_t count);

    /// What a service's second tries came to.
    struct usage
    {
        std::uint32_t taken = 0; ///< in the window
        double left = 0; ///< that may still be taken now
        std::uint32_t denied = 0; ///< since they were last told
    };
    /// Tells the usage of each service that had requests; what was denied counts anew.
    [[nodiscard]] std::map<service_id, usage> takeUsage();

private:
    static constexpr std::size_t Buckets = 10;
    struct bucket
    {
        std::int64_t slice = -1;
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };
    using buckets = std::array<bucket, Buckets>;

    struct service_state
    {
        buckets slices{};
        std::uint32_t denied = 0;
    };

    /// What was counted in the window that ends now.
    struct window_sum
    {
        double requests = 0;
        double extras = 0;
    };
    [[nodiscard]] window_sum sum(const buckets &slices) const;
    [[nodiscard]] double bound(const window_sum &counted) const;
    /// What is added before the bound is rounded down: from 0 to 1, over all nodes evenly spread.
    [[nodiscard]] double rounding() const;
    [[nodiscard]] bucket &current(const service_id &service);
    [[nodiscard]] std::int64_t slice() const;

    const clock_source &m_clock;
    retry_allowance_options m_options;
    std::size_t m_nodes = 1;
    std::unordered_map<service_id, service_state> m_services;
};

} // namespace orchidlead::gateway
