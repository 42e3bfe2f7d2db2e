#pragma once

#include "core/requests/engine_types.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// One decision of the engine about a request.
struct traced_decision
{
    milliseconds at{0}; ///< since the start of the trace
    log_decision decision;
};

/// The trace of one request through its stages.
struct request_trace
{
    request_id request;
    customer_id customer;
    pipeline_id pipeline;
    steady_time started;
    std::optional<final_answer> answer; ///< without output; absent while the request is open
    std::vector<traced_decision> decisions;
    std::size_t droppedDecisions = 0; ///< decisions beyond the limit
};

/// Traces of the most recent requests.
class recent_requests
{
public:
    recent_requests(std::size_t capacity, const clock_source &clock);

    /// Starts a trace. Evicts the oldest trace if the capacity is reached.
    void begin(const request_id &request, const customer_id &customer, const pipeline_id &pipeline);
    void addDecision(const log_decision &decision);
    void end(const final_answer &answer);

    /// Returns the trace of a request, or null if there is none.
    [[nodiscard]] const request_trace *find(const request_id &request) const;

private:
    std::size_t m_capacity;
    const clock_source &m_clock;
    std::deque<request_id> m_order; ///< oldest first
    std::unordered_map<request_id, request_trace> m_traces;
};

} // namespace orchidlead
