#include "gateway/placement/repeated_prefill.h"

namespace orchidlead::gateway {

namespace {

// How long the loss of a part is known: the parts of most prompts return within seconds.
constexpr std::chrono::seconds LossLifetime{60};
// Most losses that are known: a quarter of 60 engines that keep 15 long prompts each, four times.
constexpr std::size_t MaxLosses = 1024;

std::string keyOf(const service_id &service, const std::string &part)
{
    return service.value + '\n' + part;
}

} // namespace

void lost_parts::add(const service_id &service, const std::string &part, prefill_cause why)
{
    auto key = keyOf(service, part);
    m_lost[key] = {why, m_clock.now()};
    m_order.push_back(std::move(key));
    while (m_order.size() > MaxLosses) {
        m_lost.erase(m_order.front());
        m_order.pop_front();
    }
}

void lost_parts::remove(const service_id &service, const std::string &part)
{
    m_lost.erase(keyOf(service, part));
}

std::optional<prefill_cause> lost_parts::causeOf(const service_id &service,
                                                 const std::string &part) const
{
    const auto found = m_lost.find(keyOf(service, part));
    if (found == m_lost.end() || m_clock.now() - found->second.at > LossLifetime)
        return std::nullopt;
    return found->second.why;
}

} // namespace orchidlead::gateway
