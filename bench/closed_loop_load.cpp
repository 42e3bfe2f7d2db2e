#include "bench/closed_loop_load.h"

#include <algorithm>
#include <utility>

namespace orchidlead::bench {

namespace {

constexpr int Ok = 200;

} // namespace

std::chrono::nanoseconds load_result::quantile(double share) const
{
    if (latencies.empty())
        return {};
    auto sorted = latencies;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

load_result closed_loop_load::run(const load_bounds &bounds)
{
    m_bounds = bounds;
    m_until = std::chrono::steady_clock::now() + bounds.time;
    m_started = 0;
    m_result = {};
    for (std::size_t i = 0; i < bounds.concurrency && mayStart(); ++i)
        startOne();
    m_loop.run();
    return std::exchange(m_result, {});
}

bool closed_loop_load::mayStart() const
{
    return m_started < m_bounds.calls && std::chrono::steady_clock::now() < m_until;
}

void closed_loop_load::startOne()
{
    ++m_started;
    ++m_open;
    const auto began = std::chrono::steady_clock::now();
    auto status = std::make_shared<int>(0);
    net::call_events events;
    events.onHead = [status](int got, const net::header_list &) { *status = got; };
    events.onEnd = [this, began, status](net::call_end end) { onEnd(began, *status, end); };
    m_client.start(m_call, std::move(events));
}

void closed_loop_load::onEnd(std::chrono::steady_clock::time_point began, int status,
                             net::call_end end)
{
    --m_open;
    if (end != net::call_end::Complete) {
        ++m_result.failed;
    } else if (status != Ok) {
        ++m_result.refused;
    } else {
        ++m_result.answered;
        m_result.latencies.push_back(std::chrono::steady_clock::now() - began);
    }
    if (mayStart())
        startOne();
    else if (m_open == 0)
        m_loop.stop();
}

} // namespace orchidlead::bench
