#include "gateway/exchange/retry_allowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Part of the bound that is used: windows slide, and these buckets don't.
constexpr double UsedPart = 0.8;
// In so many windows each node has had all places in the turns. Nodes whose turn begins and nodes
// whose turn ends may both use it in one window, which adds one in so many of the nodes.
constexpr double WindowsOfATurn = 64.0;

} // namespace

retry_allowance::retry_allowance(const clock_source &clock, const retry_allowance_options &options)
    : m_clock(clock)
    , m_options(options)
{ }

std::int64_t retry_allowance::slice() const
{
    const auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(m_options.window)
        / static_cast<std::int64_t>(Buckets);
    return m_clock.now().time_since_epoch() / length;
}

retry_allowance::bucket &retry_allowance::current(const service_id &service)
{
    const auto now = slice();
    auto &found = m_services[service].slices[static_cast<std::size_t>(now) % Buckets];
    if (found.slice != now)
        found = {now, 0, 0};
    return found;
}

retry_allowance::window_sum retry_allowance::sum(const buckets &slices) const
{
    const auto oldest = slice() - static_cast<std::int64_t>(Buckets);
    window_sum counted;
    for (const auto &each : slices) {
        if (each.slice <= oldest)
            continue;
        counted.requests += each.requests;
        counted.extras += each.extras;
    }
    return counted;
}

double retry_allowance::bound(const window_sum &counted) const
{
    const double reserve =
        m_options.reserve / static_cast<double>(std::max<std::size_t>(1, m_nodes));
    return std::floor(UsedPart * (m_options.share * counted.requests + reserve) + rounding());
}

// Rounded down alone, nothing would be left of a reserve that is divided among more nodes than it
// has tries.
double retry_allowance::rounding() const
{
    const std::chrono::duration<double> now = m_clock.now().time_since_epoch();
    const std::chrono::duration<double> window = m_options.window;
    const double place = m_options.turn + now / (window * WindowsOfATurn);
    return place - std::floor(place);
}

void retry_allowance::onRequest(const service_id &service)
{
    ++current(service).requests;
}

bool retry_allowance::tryTake(const service_id &service, std::uint32_t count)
{
    auto &newest = current(service);
    auto &state = m_services[service];
    const auto counted = sum(state.slices);
    if (counted.extras + count > bound(counted)) {
        state.denied += count;
        return false;
    }
    newest.extras += count;
    return true;
}

std::map<service_id, retry_allowance::usage> retry_allowance::takeUsage()
{
    std::map<service_id, usage> all;
    for (auto &[service, state] : m_services) {
        const auto counted = sum(state.slices);
        all[service] = {static_cast<std::uint32_t>(counted.extras),
                        std::max(0.0, bound(counted) - counted.extras),
                        std::exchange(state.denied, 0)};
    }
    return all;
}

void retry_allowance::onForced(const service_id &service, std::uint32_t count)
{
    current(service).extras += count;
}

} // namespace orchidlead::gateway
