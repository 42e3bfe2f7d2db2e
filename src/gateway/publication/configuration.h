#pragma once

#include "gateway/servers/cold_start_settings.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Whether a request whose outcome is unknown may run again.
enum class request_kind {
    Safe, ///< may run more than once
    Unsafe, ///< runs at most once
    Stream, ///< answered by a series of events; as `Unsafe` unless the route is resumable
};

/// A share of a route's requests that goes to one service.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/// A stage of work that completes before the request itself runs: a number of pieces, each with one
/// result.
struct stage_spec
{
    service_id service;
    std::vector<std::size_t> after; ///< indexes of stages whose results are its inputs
    std::size_t resultBytes = 0; ///< approximate, for one piece
};

/// How requests for one host and path prefix are served.
struct route
{
    std::string name;
    std::string host; ///< lower case, without a port
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::Safe;
    std::vector<weighted_service> services; ///< at least one
    milliseconds timeout{10'000}; ///< from arrival to the final answer
    /// Latency for full credit; for streams, of the first event.
    milliseconds latencyObjective{1000};
    std::optional<milliseconds> pauseObjective; ///< for the longest pause between two events
    std::uint32_t maxAttempts = 1; ///< servers to which one request may be sent
    std::uint32_t priority = 0; ///< 0: the most urgent
    bool anonymous = false; ///< no API key required
    bool prefixAffinity = false; ///< prompts share prefixes that servers cache
    bool resumable = false; ///< an interrupted stream may resume at another server
    std::vector<stage_spec> stages;
    std::vector<region_id> regions; ///< where requests may be processed; empty: anywhere

    [[nodiscard]] bool repeatable() const
    {
        return kind == request_kind::Safe || (kind == request_kind::Stream && resumable);
    }
};

/// Capacity of one backend server of a service for stage calls.
struct stage_capacity
{
    std::uint32_t slots = 1; ///< concurrent calls
    std::uint32_t maxQueuedCalls = 0;
    std::uint32_t maxPiecesPerCall = 1;
    milliseconds callOverhead{0}; ///< fixed cost of a call, whatever its number of pieces
    std::chrono::microseconds timePerPiece{0}; ///< approximate
    std::uint64_t resultMemoryBytes = 0; ///< memory for results
    /// Counted from the end of the stage call that computed the results.
    milliseconds resultLifetime{0};
};

/// Capacity of one backend server of a service for running models.
struct engine_capacity
{
    std::uint32_t slots = 1; ///< concurrent requests
    std::uint64_t tokenCapacity = 0; ///< tokens, running requests and cached prompts together
};

/// A group of interchangeable backend servers.
struct service_spec
{
    service_id id;
    std::uint32_t maxConnections = 0; ///< to one server, from all callers together; 0: unlimited
    std::string healthPath; ///< of the health check of its servers; empty: they have none
    std::optional<stage_capacity> stage; ///< set if the servers process stages
    std::optional<engine_capacity> engine; ///< set if the servers run models
    cold_start_settings coldStart;
};

/// Limits on the requests and connections of clients.
struct client_limits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15'000};
};

struct customer_spec
{
    customer_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
    std::vector<region_id> regions; ///< where requests may be processed; empty: anywhere
};

/// One published configuration.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_spec> services;
    client_limits limits;
    std::vector<customer_spec> customers; ///< empty: no API keys required
};

/// A configuration with lookup indexes. Each request keeps the configuration under which it
/// started.
class configuration_index
{
public:
    explicit configuration_index(configuration content);

    [[nodiscard]] std::uint64_t version() const { return m_content.version; }
    [[nodiscard]] const configuration &content() const { return m_content; }
    /// Returns the route of `host` (a port is ignored) with the longest prefix that matches `path`,
    /// or null.
    [[nodiscard]] const route *findRoute(std::string_view host, std::string_view path) const;
    [[nodiscard]] const customer_spec *findCustomer(std::string_view key) const;
    [[nodiscard]] const service_spec *findService(const service_id &service) const;
    [[nodiscard]] bool needsKeys() const { return !m_content.customers.empty(); }

private:
    configuration m_content;
    std::map<std::string, std::vector<const route *>, std::less<>> m_hosts; ///< longest first
    std::unordered_map<std::string, const customer_spec *> m_keys;
    std::unordered_map<service_id, const service_spec *> m_services;
};

using configuration_ptr = std::shared_ptr<const configuration_index>;

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::request_kind>{
    orchidlead::enum_name<orchidlead::gateway::request_kind>{
        orchidlead::gateway::request_kind::Safe, "safe"},
    orchidlead::enum_name<orchidlead::gateway::request_kind>{
        orchidlead::gateway::request_kind::Unsafe, "unsafe"},
    orchidlead::enum_name<orchidlead::gateway::request_kind>{
        orchidlead::gateway::request_kind::Stream, "stream"},
};
