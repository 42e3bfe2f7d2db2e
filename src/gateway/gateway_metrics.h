#pragma once

#include "gateway/configuration.h"
#include "gateway/request_outcome.h"
#include "gateway/stage_pool.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
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
    std::size_t peers = 0; ///< believed alive
    std::uint64_t serverConnections = 0; ///< opened since the start
    std::uint64_t droppedLogLines = 0;
};

/// Counts what a gateway does, in the text format of Prometheus. Labels are the names of two
/// enumerations, so their number is bounded whatever customers and routes there are.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics &) = delete;
    gateway_metrics &operator=(const gateway_metrics &) = delete;

    /// `kind` is empty where no route was found.
    void onRequest(std::optional<request_kind> kind, request_outcome outcome, milliseconds took);
    /// The first event of a stream went to its client, so long after the request came.
    void onFirstEvent(milliseconds took);
    void onStageCall(stage_call_end how, std::size_t pieces);

    [[nodiscard]] std::string text(const gateway_gauges &gauges);

private:
    class families;
    std::unique_ptr<families> m_families;
};

} // namespace orchidlead::gateway
