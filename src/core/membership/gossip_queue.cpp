#include "core/membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace orchidlead {

std::vector<vm_id> gossip_queue::take(std::size_t count, std::uint32_t limit)
{
    std::vector<std::pair<std::uint32_t, vm_id>> waiting;
    waiting.reserve(m_told.size());
    for (const auto &[vm, told] : m_told)
        waiting.emplace_back(told, vm);
    const std::size_t kept = std::min(count, waiting.size());
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(kept),
                      waiting.end());
    std::vector<vm_id> taken;
    for (std::size_t i = 0; i < kept; ++i) {
        auto &[told, vm] = waiting[i];
        if (told + 1 >= limit)
            m_told.erase(vm);
        else
            m_told[vm] = told + 1;
        taken.push_back(std::move(vm));
    }
    return taken;
}

void gossip_queue::heard(const vm_id &vm, std::uint32_t limit)
{
    const auto found = m_told.find(vm);
    if (found != m_told.end() && ++found->second >= limit)
        m_told.erase(found);
}

std::uint32_t retransmitLimit(std::size_t members, std::size_t news)
{
    constexpr std::uint32_t Least = 3;
    constexpr std::size_t Much = 32;
    const auto doublings = static_cast<std::uint32_t>(std::bit_width(members));
    return news > Much ? Least + doublings / 2 : Least + doublings + doublings / 2;
}

bool byte_allowance::open(steady_time now)
{
    const std::chrono::duration<double> elapsed = now - m_at;
    m_at = now;
    m_left = std::min(m_burst, m_left + elapsed.count() * m_rate);
    return m_left > 0;
}

} // namespace orchidlead
