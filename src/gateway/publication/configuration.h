#pragma once

#include "gateway/servers/cold_start.h"

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

/// What may be done with a request whose fate is unknown.
enum class request_kind {
    Safe, ///< may run more than once
    Unsafe, ///< runs at most once
    Stream, ///< answered by a series of events; as `Unsafe` unless it may be resumed
};

/// A share of a route's requests that goes to one service.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/// Work that must be done before a request can run: some pieces, each with a result.
struct stage_spec
{
    service_id service;
    std::vector<std::size_t> after; ///< stages whose results are its inputs
    std::size_t resultBytes = 0; ///< about, of one piece
};

/// How requests of one host and path prefix are served.
struct route
{
    std::string name;
    std::string host; ///< lower case, without a port
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::Safe;
    std::vector<weighted_service> services; ///< at least one
    milliseconds timeout{10'000}; ///< the client has a final answer by then
    milliseconds objective{1000}; ///< full credit within it; streams: to the first event
    std::optional<milliseconds> pauseObjective; ///< longest pause between two events
    std::uint32_t maxAttempts = 1; ///< servers that one request may be sent to
    std::uint32_t priority = 0; ///< 0: the most urgent
    bool anonymous = false; ///< needs no key
    bool prefixAffinity = false; ///< prompts share parts that servers keep
    bool resumable = false; ///< a broken stream may go on at another server
    std::vector<stage_spec> stages;
    std::vector<region_id> regions; ///< where it may be worked on; empty: anywhere

    [[nodiscard]] bool repeatable() const
    {
        return kind == request_kind::Safe || (kind == request_kind::Stream && resumable);
    }
};

/// How one backend server of a service does the pieces of stages.
struct stage_capacity
{
    std::uint32_t slots = 1; ///< calls in progress at once
    std::uint32_t queue = 0; ///< calls that may wait
    std::uint32_t batch = 1; ///< pieces in a call
    milliseconds callTime{0}; ///< of a call, whatever it holds
    std::chrono::microseconds pieceTime{0}; ///< about, for each piece
    std::uint64_t roomBytes = 0; ///< for results
    milliseconds resultLifetime{0}; ///< from the end of the call
};

/// How one backend server of a service runs models.
struct engine_capacity
{
    std::uint32_t slots = 1; ///< requests at once
    std::uint64_t tokenCapacity = 0; ///< of its memory, running requests and kept prompts together
};

/// A kind of backend servers.
struct service_spec
{
    service_id id;
    std::uint32_t maxConnections = 0; ///< to one server, of all callers; 0: not bounded
    std::optional<stage_capacity> stage; ///< where it serves stages
    std::optional<engine_capacity> engine; ///< where it runs models
    cold_start coldStart;
};

/// Bounds on what clients may send.
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
    std::optional<std::uint32_t> priority; ///< goes before the route's
    std::vector<region_id> regions; ///< where its requests may be worked on; empty: anywhere
};

/// One published configuration.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_spec> services;
    client_limits limits;
    std::vector<customer_spec> customers; ///< empty: nobody needs a key
};

/// A configuration with what finds its parts fast. Requests hold the one that they began with.
class configuration_index
{
public:
    explicit configuration_index(configuration content);

    [[nodiscard]] std::uint64_t version() const { return m_content.version; }
    [[nodiscard]] const configuration &content() const { return m_content; }
    /// Finds the route of that host (a port is ignored) with the longest prefix of the path.
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
