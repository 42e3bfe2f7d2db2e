#include <orchidlead/router.h>

#include <xxhash.h>

namespace orchidlead {

namespace {

constexpr int MaxRandomDraws = 6;
constexpr std::uint64_t RingPointsPerServer = 32; ///< evens out the shares of the servers
constexpr std::size_t PrefixCandidates = 2;
constexpr double PrefixLatencyBound = 2.0; ///< relative to the pool's latency
constexpr double ReportWeight = 0.5; ///< reports lag, own counts don't
constexpr double MaxRemoteScore = 0.8; ///< relative to the local score

bool isUsable(const routing_entry &entry, std::uint32_t slot, const routing_request &request)
{
    if (request.avoidProbing && entry.probing)
        return false;
    return std::find(request.avoid.begin(), request.avoid.end(), slot) == request.avoid.end();
}

// A few random draws nearly always find a usable slot. The scan is for pools in which most slots
// were already tried.
std::optional<std::uint32_t> sample(const routing_view &view, std::span<const std::uint32_t> slots,
                                    const routing_request &request, random_source &random)
{
    if (slots.empty())
        return std::nullopt;
    for (int attempt = 0; attempt < MaxRandomDraws; ++attempt) {
        const std::uint32_t slot = slots[random.below(slots.size())];
        if (isUsable(view.entries[slot], slot, request))
            return slot;
    }
    for (const std::uint32_t slot : slots) {
        if (isUsable(view.entries[slot], slot, request))
            return slot;
    }
    return std::nullopt;
}

double slowStartShare(const routing_entry &entry, std::chrono::milliseconds span, steady_time now)
{
    constexpr double MinShare = 0.1;
    if (entry.slowStartBegin == steady_time{})
        return 1.0;
    const auto since =
        std::chrono::duration<double, std::milli>(now - entry.slowStartBegin).count();
    return std::clamp(since / static_cast<double>(span.count()), MinShare, 1.0);
}

} // namespace

void round_robin_router::onMembers(std::span<const routing_entry>,
                                   std::span<const std::uint32_t> members)
{
    m_members.assign(members.begin(), members.end());
}

std::optional<routing_choice>
round_robin_router::pick(const routing_view &view, const routing_request &request, random_source &)
{
    for (std::size_t tried = 0; tried < m_members.size(); ++tried) {
        m_next = (m_next + 1) % m_members.size();
        const std::uint32_t slot = m_members[m_next];
        const routing_entry &entry = view.entries[slot];
        if (!entry.available || !isUsable(entry, slot, request))
            continue;
        routing_choice choice;
        choice.slot = slot;
        choice.reason = "round robin";
        choice.consider(slot);
        return choice;
    }
    return std::nullopt;
}

void load_router::onMembers(std::span<const routing_entry> entries,
                            std::span<const std::uint32_t> members)
{
    m_ring.clear();
    m_ring.reserve(members.size() * RingPointsPerServer);
    for (const std::uint32_t slot : members) {
        for (std::uint64_t point = 0; point < RingPointsPerServer; ++point) {
            const std::uint64_t name = entries[slot].nameHash;
            m_ring.push_back({XXH64(&point, sizeof point, name), slot});
        }
    }
    std::sort(m_ring.begin(), m_ring.end(),
              [](const ring_point &a, const ring_point &b) { return a.hash < b.hash; });
}

// Expected time to an answer: the latency of the server times the work ahead, plus the round trip
// to its data centre.
double load_router::score(const routing_view &view, std::uint32_t slot, steady_time now) const
{
    const routing_entry &entry = view.entries[slot];
    const double poolLatency =
        view.meanLatency > 0.0 ? view.meanLatency : m_settings.defaultLatency;
    const double latency = entry.latency > 0.0 ? entry.latency : poolLatency;
    const std::uint32_t others = entry.reported - std::min(entry.reported, entry.outstanding);
    const double load = 1.0 + entry.outstanding + ReportWeight * others;
    const double remote = entry.local ? 0.0 : m_settings.remoteLatency;
    return latency * load / slowStartShare(entry, m_settings.slowStart, now) + remote;
}

std::optional<std::uint32_t> load_router::pickByPrefix(const routing_view &view,
                                                       const routing_request &request,
                                                       routing_choice &choice) const
{
    if (request.prefixHash == 0 || m_ring.empty())
        return std::nullopt;
    const double maxLoad = m_settings.affinityLoadBound * view.meanOutstanding + 1.0;
    auto point = std::lower_bound(
        m_ring.begin(), m_ring.end(), request.prefixHash,
        [](const ring_point &entry, std::uint64_t hash) { return entry.hash < hash; });
    std::size_t candidates = 0;
    std::uint32_t last = 0;
    for (std::size_t step = 0; step < m_ring.size() && candidates < PrefixCandidates; ++step) {
        if (point == m_ring.end())
            point = m_ring.begin();
        const std::uint32_t slot = (point++)->slot;
        if (candidates > 0 && slot == last)
            continue;
        ++candidates;
        last = slot;
        choice.consider(slot);
        const routing_entry &entry = view.entries[slot];
        const bool slow = entry.latency > PrefixLatencyBound * view.meanLatency;
        const bool slowStarting = slowStartShare(entry, m_settings.slowStart, request.now) < 1.0;
        const bool full = entry.outstanding > maxLoad;
        if (entry.available && !full && !slow && !slowStarting && isUsable(entry, slot, request))
            return slot;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> load_router::betterOfTwo(const routing_view &view,
                                                      std::span<const std::uint32_t> slots,
                                                      const routing_request &request,
                                                      random_source &random,
                                                      routing_choice &choice) const
{
    const auto first = sample(view, slots, request, random);
    if (!first)
        return std::nullopt;
    choice.consider(*first);
    const auto second = sample(view, slots, request, random);
    if (!second || *second == *first)
        return first;
    choice.consider(*second);
    const bool secondBetter = score(view, *second, request.now) < score(view, *first, request.now);
    return secondBetter ? second : first;
}

std::optional<routing_choice>
load_router::pick(const routing_view &view, const routing_request &request, random_source &random)
{
    routing_choice choice;
    if (const auto slot = pickByPrefix(view, request, choice)) {
        choice.slot = *slot;
        choice.reason = "prefix likely cached";
        return choice;
    }
    const auto local = betterOfTwo(view, view.local, request, random, choice);
    const auto remote = sample(view, view.remote, request, random);
    if (!local && !remote)
        return std::nullopt;
    if (remote)
        choice.consider(*remote);
    if (local) {
        const double localScore = score(view, *local, request.now);
        const bool stay =
            !remote || score(view, *remote, request.now) >= MaxRemoteScore * localScore;
        if (stay) {
            choice.slot = *local;
            choice.reason = "better score of two";
            return choice;
        }
    }
    choice.slot = *remote;
    choice.reason = local ? "other data centre is faster" : "no local server available";
    return choice;
}

} // namespace orchidlead
