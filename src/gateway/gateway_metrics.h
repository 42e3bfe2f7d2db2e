#pragma once

#include "gateway/exchange/request_outcome.h"
#include "gateway/exchange/retry_allowance.h"
#include "gateway/publication/configuration.h"
#include "gateway/stages/stage_pool.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace orchidlead::gateway {

/// What the node is like when it is asked.
struct gateway_gauges
{
    bool ready = false;
    bool storeConnected = false;
    std::uint64_t configurationVersion = 0;
    std::size_t connections = 0; ///< of clients
    std::size_t answering = 0; ///< requests without a final answer
    std::size_t servers = 0; ///< that may get work
    std::size_t coldServers = 0; ///< of these, that bear only few requests yet
    std::size_t limitedServers = 0; ///< of these, that name a limit to this node
    std::size_t leavingServers = 0; ///< published or heard to leave
    std::size_t backedOffServers = 0; ///< usable ones that want nothing of this node now
    std::size_t evacuatedDataCenters = 0;
    std::map<std::string, std::size_t> members; ///< by state, this node included
    std::map<service_id, std::size_t> waitingPieces; ///< of the pools hosted here
    std::map<service_id, retry_allowance::usage> retries;
    std::uint64_t placements = 0; ///< requests on the engine board of this node
    milliseconds publishedAge{0}; ///< since the store or a peer that reads it last spoke
    milliseconds configurationAge{0}; ///< since the one in force came into force here
    std::uint64_t serverConnections = 0; ///< opened since the start
    std::uint64_t droppedLogLines = 0;
};

/// How a call of a stage pool went.
struct stage_call_report
{
    stage_call_end end = stage_call_end::Answered;
    std::size_t pieces = 0;
    milliseconds longestWait{0}; ///< of a piece, before the call
    milliseconds took{0};
};

/// Counts what a gateway does, in the text format of Prometheus. Labels are names of enumerations,
/// services and routes; of the last two only the first so many have rows of their own.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics &) = delete;
    gateway_metrics &operator=(const gateway_metrics &) = delete;

    /// `way` is null where no route was found.
    void onRequest(const route *way, request_outcome outcome, milliseconds took);
    /// The first event of a stream went to its client, so long after the request came.
    void onFirstEvent(milliseconds took);
    /// A client sent so many fields that only the system may set.
    void onForgedFields(std::uint32_t count);
    void onStageCall(const service_id &service, const stage_call_report &call);

    [[nodiscard]] std::string text(const gateway_gauges &gauges);

private:
    class families;
    std::unique_ptr<families> m_families;
};

} // namespace orchidlead::gateway
