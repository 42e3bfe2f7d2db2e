#pragma once

#include "gateway/admission/overload_order.h"
#include "gateway/admission/stage_admission.h"
#include "gateway/exchange/request_outcome.h"
#include "gateway/exchange/service_retry_budget.h"
#include "gateway/placement/repeated_prefill.h"
#include "gateway/publication/configuration.h"
#include "gateway/stages/stage_pool.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::gateway {

/// Current state of the node, sampled when metrics are read.
struct gateway_gauges
{
    bool ready = false;
    bool storeConnected = false;
    std::uint64_t configurationVersion = 0;
    std::size_t connections = 0; ///< client connections
    std::size_t answering = 0; ///< requests without a final answer
    std::size_t servers = 0; ///< usable servers
    std::size_t coldServers = 0; ///< usable servers that can handle only few requests yet
    std::size_t limitedServers = 0; ///< usable servers that stated a rate limit to this node
    std::size_t leavingServers = 0; ///< published as leaving, or announced in an answer
    std::size_t backedOffServers = 0; ///< usable servers that this node must not send to now
    std::size_t evacuatedDataCenters = 0;
    std::uint64_t callsSentByRelay = 0; ///< calls of this node that peers relayed, since the start
    std::uint64_t callsRelayed = 0; ///< calls that this node relayed for peers, since the start
    std::size_t streamOrigins = 0; ///< streams of which this node keeps the version that began them
    bool serversCutOff = false; ///< this node can open no connection to any server
    std::map<std::string, std::size_t> members; ///< by state, this node included
    std::map<service_id, std::size_t> waitingPieces; ///< in the pools hosted by this node
    /// Bytes of results that backend servers hold for the pools hosted by this node.
    std::map<service_id, std::uint64_t> heldResultBytes;
    std::map<service_id, admission_counts> admissions; ///< to the pools hosted by this node
    std::map<service_id, turn_summary> turns; ///< at the pools hosted by this node
    std::map<service_id, service_retry_budget::usage> retries;
    std::uint64_t placements = 0; ///< requests that this node placed on servers, for itself or
                                  ///< other nodes, and that have not ended
    milliseconds publishedAge{0}; ///< since the last answer of the store or of a peer reading it
    milliseconds configurationAge{0}; ///< since this node applied its current configuration
    std::uint64_t serverConnections = 0; ///< connections to servers opened since the start
    std::uint64_t droppedLogLines = 0;
};

/// Outcome of a call of a stage pool.
struct stage_call_report
{
    stage_call_end end = stage_call_end::Answered;
    std::size_t pieces = 0;
    milliseconds longestWait{0}; ///< longest time that a piece of the call waited
    milliseconds took{0};
};

/// What happened to a redirected piece at this node.
enum class redirection_event : std::uint8_t {
    Away, ///< a pool hosted here redirected it
    Received, ///< it arrived at a pool hosted here
    Returned, ///< this node sent it back to its pool, as the other one couldn't take it
};

/// Collects the metrics of a gateway and writes them in the Prometheus text format. Labels are
/// names of enumerators, services, routes and customers. Only a limited number of services, of
/// routes and of customers get series of their own.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics &) = delete;
    gateway_metrics &operator=(const gateway_metrics &) = delete;

    /// Records a finished request. `matchedRoute` is null where no route was found.
    void onRequest(const route *matchedRoute, request_outcome outcome, milliseconds took);
    /// Records the time from a request's arrival until the first event of its stream was sent.
    void onFirstEvent(milliseconds took);
    /// Records the number of header fields in a client's request that only the system may set.
    void onReservedFields(std::uint32_t count);
    /// Records how long a freed result was held at its server.
    void onResultFreed(const service_id &service, const hold_times &held);
    /// Records shared parts of a prompt that an engine reads although another one keeps them.
    void onRepeatedPrefill(const service_id &service, prefill_cause cause, std::uint32_t tokens);
    void onStageCall(const service_id &service, const stage_call_report &call);
    /// Records a decision of a pool on a request of this cost.
    void onPoolDecision(const service_id &service, const customer_id &customer, pool_time cost,
                        refusal_cause cause);
    void onRedirected(const service_id &service, redirection_event kind, std::uint32_t pieces);
    /// Records pieces of hedged calls.
    void onHedgedPieces(const service_id &service, hedge_event event, std::size_t pieces);

    [[nodiscard]] std::string text(const gateway_gauges &gauges);

private:
    class families;
    std::unique_ptr<families> m_families;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::redirection_event>{
    orchidlead::enum_name<orchidlead::gateway::redirection_event>{
        orchidlead::gateway::redirection_event::Away, "away"},
    orchidlead::enum_name<orchidlead::gateway::redirection_event>{
        orchidlead::gateway::redirection_event::Received, "received"},
    orchidlead::enum_name<orchidlead::gateway::redirection_event>{
        orchidlead::gateway::redirection_event::Returned, "returned"},
};
