#include "gateway/exchange/service_retry_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Fraction of the retry budget that a node uses, because the budget is a limit in a sliding window
// and the buckets don't slide.
constexpr double UsedFractionOfBudget = 0.8;
// Number of windows in which the rounding offset of a node goes through its whole range. In one
// window, both the nodes that start to round up and those that stop may use the extra retry, which
// adds one retry for every 64 nodes.
constexpr double WindowsPerRotation = 64.0;

} // namespace

service_retry_budget::service_retry_budget(const clock_source &clock,
                                           const service_retry_budget_options &options)
    : m_clock(clock)
    , m_options(options)
{ }

std::int64_t service_retry_budget::bucketIndex() const
{
    const auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(m_options.window)
        / static_cast<std::int64_t>(Buckets);
    return m_clock.now().time_since_epoch() / length;
}

service_retry_budget::bucket &service_retry_budget::currentBucket(const service_id &service)
{
    const auto now = bucketIndex();
    auto &found = m_services[service].ring[static_cast<std::size_t>(now) % Buckets];
    if (found.bucketIndex != now)
        found = {now, 0, 0};
    return found;
}

service_retry_budget::window_sum service_retry_budget::sum(const buckets &ring) const
{
    const auto oldest = bucketIndex() - static_cast<std::int64_t>(Buckets);
    window_sum counted;
    for (const auto &each : ring) {
        if (each.bucketIndex <= oldest)
            continue;
        counted.requests += each.requests;
        counted.retries += each.retries;
    }
    return counted;
}

double service_retry_budget::limit(const window_sum &counted) const
{
    const double reserve =
        m_options.reserve / static_cast<double>(std::max<std::size_t>(1, m_nodes));
    return std::floor(UsedFractionOfBudget * (m_options.share * counted.requests + reserve)
                      + roundingOffset());
}

// If the limit were always rounded down, nothing would remain of a reserve with fewer retries than
// there are nodes.
double service_retry_budget::roundingOffset() const
{
    const std::chrono::duration<double> now = m_clock.now().time_since_epoch();
    const std::chrono::duration<double> window = m_options.window;
    const double position = m_options.rotationOffset + now / (window * WindowsPerRotation);
    return position - std::floor(position);
}

void service_retry_budget::onRequest(const service_id &service)
{
    ++currentBucket(service).requests;
}

bool service_retry_budget::tryAcquire(const service_id &service, std::uint32_t count)
{
    auto &newest = currentBucket(service);
    auto &state = m_services[service];
    const auto counted = sum(state.ring);
    if (counted.retries + count > limit(counted)) {
        state.denied += count;
        return false;
    }
    newest.retries += count;
    return true;
}

// The bucket in which it was taken may have expired since.
void service_retry_budget::giveBack(const service_id &service)
{
    auto &newest = currentBucket(service);
    if (newest.retries > 0) {
        --newest.retries;
        return;
    }
    for (auto &each : m_services[service].ring) {
        if (each.retries > 0) {
            --each.retries;
            return;
        }
    }
}

std::map<service_id, service_retry_budget::usage> service_retry_budget::takeUsage()
{
    std::map<service_id, usage> all;
    for (auto &[service, state] : m_services) {
        const auto counted = sum(state.ring);
        all[service] = {static_cast<std::uint32_t>(counted.retries),
                        std::max(0.0, limit(counted) - counted.retries),
                        std::exchange(state.denied, 0)};
    }
    return all;
}

void service_retry_budget::onForcedRetry(const service_id &service, std::uint32_t count)
{
    currentBucket(service).retries += count;
}

} // namespace orchidlead::gateway
