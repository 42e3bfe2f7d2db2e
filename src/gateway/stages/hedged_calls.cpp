#include "gateway/stages/hedged_calls.h"

#include <algorithm>

namespace orchidlead::gateway {

double hedged_calls::call_ratios::median() const
{
    auto sorted = m_ratios;
    std::ranges::nth_element(sorted, sorted.begin() + JudgedCalls / 2);
    return sorted.at(JudgedCalls / 2);
}

std::int64_t hedged_calls::bucketIndex() const
{
    constexpr auto Length = std::chrono::duration_cast<std::chrono::nanoseconds>(Window)
        / static_cast<std::int64_t>(Buckets);
    return m_clock.now().time_since_epoch() / Length;
}

hedged_calls::bucket &hedged_calls::currentBucket()
{
    const auto index = bucketIndex();
    auto &found = m_buckets.at(static_cast<std::size_t>(index) % Buckets);
    if (found.index != index)
        found = {index, 0, 0};
    return found;
}

void hedged_calls::onAnswered(const server_start &server, double ratio)
{
    m_ratios[server].add(ratio);
}

// The moving average that ranks servers isn't used: a single slow call raises it by almost half, so
// the next call of a server that has just become slow would be overdue only when it ends. The
// median of several calls follows a server that is always slow, which would otherwise be hedged in
// each call. A server that is faster than usual counts as usual, because the other server is.
steady_time hedged_calls::overdueAt(const server_start &server,
                                    std::chrono::microseconds nominal) const
{
    const auto found = m_ratios.find(server);
    const double usual = found == m_ratios.end() ? 1.0 : std::max(1.0, found->second.median());
    return m_clock.now()
        + std::chrono::duration_cast<std::chrono::microseconds>(nominal * (OverdueFactor * usual));
}

bool hedged_calls::allowsAnother() const
{
    const auto oldest = bucketIndex() - static_cast<std::int64_t>(Buckets);
    double calls = 0;
    double hedged = 0;
    for (const auto &each : m_buckets) {
        if (each.index <= oldest)
            continue;
        calls += each.calls;
        hedged += each.hedged;
    }
    return hedged + 1 <= MaxShare * calls;
}

void hedged_calls::forgetServers(const std::function<bool(const server_start &)> &exists)
{
    std::erase_if(m_ratios, [&](const auto &entry) { return !exists(entry.first); });
}

} // namespace orchidlead::gateway
