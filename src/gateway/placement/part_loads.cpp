#include "gateway/placement/part_loads.h"

#include <algorithm>
#include <cmath>

namespace orchidlead::gateway {

namespace {

// Age at which a request counts for about a third: half of a burst, which takes 5 to 7 s. With 1 s,
// more tokens were read again for the same times to the first token.
constexpr part_loads::seconds TimeConstant{3.0};
// Age at which the work of a request has decayed to less than a hundredth.
constexpr part_loads::seconds Lifetime = 5 * TimeConstant;

} // namespace

double part_loads::onRequest(const service_id &service, const std::string &part, seconds work)
{
    if (m_parts.size() >= MaxParts)
        dropOldParts();
    const auto now = m_clock.now();
    auto &entry = m_parts[service.value + '\n' + part];
    const seconds elapsed = now - entry.lastRequest;
    entry = {entry.work * std::exp(-elapsed / TimeConstant) + work.count(), now};
    return entry.work / TimeConstant.count();
}

void part_loads::dropOldParts()
{
    const auto now = m_clock.now();
    std::erase_if(m_parts,
                  [&](const auto &entry) { return now - entry.second.lastRequest > Lifetime; });
    if (m_parts.size() < MaxParts)
        return;
    m_parts.erase(std::ranges::min_element(
        m_parts, {}, [](const auto &entry) { return entry.second.lastRequest; }));
}

} // namespace orchidlead::gateway
