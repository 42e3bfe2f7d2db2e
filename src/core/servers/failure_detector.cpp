#include <orchidlead/failure_detector.h>

#include <algorithm>

namespace orchidlead {

namespace {

using std::chrono::microseconds;

constexpr microseconds DefaultThreshold = std::chrono::seconds{5};
constexpr microseconds MinThreshold = std::chrono::milliseconds{20};
constexpr int FixedTailMultiple = 3;
constexpr double RelaxedTailMultiple = 5.0;
constexpr double MinTailMultiple = 1.2;
constexpr std::uint32_t MaxDoublings = 10;

microseconds scaled(microseconds value, double factor)
{
    return microseconds{static_cast<std::int64_t>(static_cast<double>(value.count()) * factor)};
}

} // namespace

microseconds fixed_suspicion_timeout::suspicionTimeout(const suspicion_input &view) const
{
    if (view.tail.count() == 0)
        return DefaultThreshold;
    return std::max(MinThreshold, view.tail * FixedTailMultiple);
}

// Applies risk-aware failure identification to requests: at risk are the deadline of the request
// and the pool's capacity to compensate for the server. Half of the slack is the latest time at
// which a retry of the same length can still succeed.
microseconds risk_aware_suspicion_timeout::suspicionTimeout(const suspicion_input &view) const
{
    if (view.tail.count() == 0)
        return DefaultThreshold;
    const microseconds relaxedTimeout =
        scaled(view.tail, RelaxedTailMultiple * (1.0 - view.suspectedShare));
    const microseconds minTimeout = scaled(view.tail, MinTailMultiple);
    const microseconds maxTimeout = view.slack / 2;
    return std::max({MinThreshold, minTimeout, std::min(relaxedTimeout, maxTimeout)});
}

failure_detector::failure_detector(const failure_detector_settings &settings)
    : m_settings(settings)
{ }

void failure_detector::setMember(std::uint32_t slot, bool member)
{
    if (slot >= m_slots.size())
        m_slots.resize(slot + 1);
    slot_state &state = m_slots[slot];
    if (state.member == member)
        return;
    if (state.health != server_health::Healthy)
        --m_suspected;
    member ? ++m_members : --m_members;
    state = slot_state{};
    state.member = member;
}

health_change failure_detector::onSuccess(std::uint32_t slot)
{
    slot_state &state = m_slots[slot];
    state.failures = 0;
    if (!state.member || state.health == server_health::Healthy)
        return health_change::None;
    state.health = server_health::Healthy;
    state.ejections = 0;
    --m_suspected;
    return health_change::Restored;
}

health_change failure_detector::onFailure(std::uint32_t slot, steady_time now)
{
    slot_state &state = m_slots[slot];
    if (!state.member || state.health == server_health::Ejected)
        return health_change::None;
    ++state.failures;
    if (state.health == server_health::Probing) {
        eject(state, now);
        return health_change::Ejected;
    }
    if (state.failures < m_settings.failuresToEject)
        return health_change::None;
    const double share = static_cast<double>(m_suspected + 1) / m_members;
    if (share > m_settings.maxEjectedShare)
        return health_change::None;
    ++m_suspected;
    eject(state, now);
    return health_change::Ejected;
}

void failure_detector::eject(slot_state &state, steady_time now)
{
    const std::uint32_t doublings = std::min(state.ejections, MaxDoublings);
    const auto wanted = m_settings.firstEjection * (1U << doublings);
    state.ejectedUntil =
        now + std::min<std::chrono::milliseconds>(wanted, m_settings.longestEjection);
    state.health = server_health::Ejected;
    ++state.ejections;
}

std::vector<std::uint32_t> failure_detector::startDueProbes(steady_time now)
{
    std::vector<std::uint32_t> due;
    if (m_suspected == 0)
        return due;
    for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
        slot_state &state = m_slots[slot];
        if (state.health != server_health::Ejected || state.ejectedUntil > now)
            continue;
        state.health = server_health::Probing;
        due.push_back(slot);
    }
    return due;
}

std::optional<steady_time> failure_detector::nextProbeAt() const
{
    std::optional<steady_time> earliestEnd;
    if (m_suspected == 0)
        return earliestEnd;
    for (const slot_state &state : m_slots) {
        if (state.health == server_health::Ejected
            && (!earliestEnd || state.ejectedUntil < *earliestEnd))
            earliestEnd = state.ejectedUntil;
    }
    return earliestEnd;
}

double failure_detector::suspectedShare() const
{
    return m_members == 0 ? 0.0 : static_cast<double>(m_suspected) / m_members;
}

} // namespace orchidlead
