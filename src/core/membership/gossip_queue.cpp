#include "core/membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace orchidlead {

std::vector<vm_id> gossip_queue::take(std::size_t count, std::uint32_t limit)
{
    std::vector<std::pair<std::uint32_t, vm_id>> waiting;
    waiting.reserve(m_transmissions.size());
    for (const auto &[vm, transmissions] : m_transmissions)
        waiting.emplace_back(transmissions, vm);
    const std::size_t takenCount = std::min(count, waiting.size());
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(takenCount),
                      waiting.end());
    std::vector<vm_id> taken;
    for (std::size_t i = 0; i < takenCount; ++i) {
        auto &[transmissions, vm] = waiting[i];
        if (transmissions + 1 >= limit)
            m_transmissions.erase(vm);
        else
            m_transmissions[vm] = transmissions + 1;
        taken.push_back(std::move(vm));
    }
    return taken;
}

void gossip_queue::countTransmission(const vm_id &vm, std::uint32_t limit)
{
    const auto found = m_transmissions.find(vm);
    if (found != m_transmissions.end() && ++found->second >= limit)
        m_transmissions.erase(found);
}

std::uint32_t retransmitLimit(std::size_t members, std::size_t queued)
{
    constexpr std::uint32_t MinTransmissions = 3;
    constexpr std::size_t LongQueue = 32;
    const auto log2Members = static_cast<std::uint32_t>(std::bit_width(members));
    return queued > LongQueue ? MinTransmissions + log2Members / 2
                              : MinTransmissions + log2Members + log2Members / 2;
}

bool byte_rate_limiter::canSend(steady_time now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
    return m_tokens > 0;
}

} // namespace orchidlead
