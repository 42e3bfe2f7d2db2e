#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/outcome.h>

#include <array>
#include <cstdint>
#include <vector>

/// Statistics of the request engine, for the operator API and the metrics.
namespace orchidlead {

/// Busy time and tokens of backend servers.
struct stage_cost
{
    std::uint64_t attempts = 0;
    milliseconds busy{0}; ///< of all attempts
    milliseconds lostBusy{0}; ///< of attempts whose result was not used
    std::uint64_t tokens = 0;
};

/// Counts of requests by outcome, of a customer or of all customers.
struct outcome_counts
{
    std::uint64_t submitted = 0;
    std::array<std::uint64_t, enumNames<outcome>.size()> ended{}; ///< indexed by `outcome`
    std::uint64_t attained = 0; ///< answered within the deadline
};

/// One pool of backend servers.
struct service_stats
{
    service_id service;
    std::uint32_t servers = 0;
    std::uint32_t usableServers = 0; ///< neither leaving nor ejected
    std::uint32_t queued = 0;
    std::uint32_t inFlight = 0;
    std::uint64_t firstTries = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t failures = 0;
    std::uint64_t refused = 0; ///< requests refused or shed because of this pool
    milliseconds p50{0};
    milliseconds p95{0};
    milliseconds p99{0};
    milliseconds queueWait{0}; ///< smoothed
};

/// One stage of a pipeline.
struct pipeline_stage_stats
{
    pipeline_id pipeline;
    stage_id stage;
    stage_cost cost;
};

enum class server_state {
    Usable,
    Suspected, ///< ejected: gets no work until it is probed
    Probing,
    Leaving,
};

template <>
inline constexpr std::array enumNames<server_state>{
    enum_name<server_state>{server_state::Usable, "usable"},
    enum_name<server_state>{server_state::Suspected, "suspected"},
    enum_name<server_state>{server_state::Probing, "probing"},
    enum_name<server_state>{server_state::Leaving, "leaving"},
};

struct backend_server_stats
{
    backend_server_id server;
    service_id service;
    server_state state = server_state::Usable;
    std::uint32_t outstanding = 0;
    std::uint32_t limit = 0;
    std::uint32_t reportedRunning = 0;
    std::uint32_t reportedQueued = 0;
    milliseconds latency{0}; ///< smoothed
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
};

/// One customer. Customers beyond the limit share one entry without an id.
struct customer_stats
{
    customer_id customer;
    outcome_counts outcomes;
    stage_cost cost;
};

/// All statistics of the engine at one time.
struct engine_stats
{
    outcome_counts outcomes;
    std::uint64_t open = 0; ///< requests without a final answer
    std::uint64_t droppedAnswers = 0; ///< late, duplicate or misdirected
    std::vector<service_stats> services;
    std::vector<pipeline_stage_stats> stages;
    std::vector<backend_server_stats> servers;
    std::vector<customer_stats> customers;
};

} // namespace orchidlead
