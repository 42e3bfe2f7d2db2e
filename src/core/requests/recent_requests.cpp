#include "core/requests/recent_requests.h"

#include <algorithm>

namespace orchidlead {

namespace {
constexpr std::size_t MaxDecisions = 64;
} // namespace

recent_requests::recent_requests(std::size_t capacity, const clock_source &clock)
    : m_capacity(std::max<std::size_t>(capacity, 1))
    , m_clock(clock)
{ }

void recent_requests::begin(const request_id &request, const customer_id &customer,
                            const pipeline_id &pipeline)
{
    if (m_order.size() == m_capacity) {
        m_traces.erase(m_order.front());
        m_order.pop_front();
    }
    request_trace trace;
    trace.request = request;
    trace.customer = customer;
    trace.pipeline = pipeline;
    trace.started = m_clock.now();
    m_order.push_back(request);
    m_traces.insert_or_assign(request, std::move(trace));
}

void recent_requests::addDecision(const log_decision &decision)
{
    const auto found = m_traces.find(decision.key.request);
    if (found == m_traces.end())
        return;
    request_trace &trace = found->second;
    if (trace.decisions.size() == MaxDecisions) {
        ++trace.droppedDecisions;
        return;
    }
    const auto at = std::chrono::duration_cast<milliseconds>(m_clock.now() - trace.started);
    trace.decisions.push_back({at, decision});
}

void recent_requests::end(const final_answer &answer)
{
    const auto found = m_traces.find(answer.request);
    if (found == m_traces.end())
        return;
    found->second.answer = answer;
    // Outputs may be large and are not part of the trace.
    found->second.answer->output.reset();
}

const request_trace *recent_requests::find(const request_id &request) const
{
    const auto found = m_traces.find(request);
    return found == m_traces.end() ? nullptr : &found->second;
}

} // namespace orchidlead
