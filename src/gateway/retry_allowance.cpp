#include "gateway/retry_allowance.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Part of the bound that is used: windows slide, and these buckets don't.
constexpr double UsedPart = 0.8;

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
    auto &found = m_services[service][static_cast<std::size_t>(now) % Buckets];
    if (found.slice != now)
        found = {now, 0, 0};
    return found;
}

void retry_allowance::onRequest(const service_id &service)
{
    ++current(service).requests;
}

bool retry_allowance::tryTake(const service_id &service, std::uint32_t count)
{
    auto &newest = current(service);
    const auto now = slice();
    double requests = 0;
    double extras = 0;
    for (const auto &each : m_services[service]) {
        if (each.slice <= now - static_cast<std::int64_t>(Buckets))
            continue;
        requests += each.requests;
        extras += each.extras;
    }
    const double reserve =
        m_options.reserve / static_cast<double>(std::max<std::size_t>(1, m_nodes));
    if (extras + count > UsedPart * (m_options.share * requests + reserve))
        return false;
    newest.extras += count;
    return true;
}

void retry_allowance::onForced(const service_id &service, std::uint32_t count)
{
    current(service).extras += count;
}

} // namespace orchidlead::gateway
