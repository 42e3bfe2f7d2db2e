#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/random_source.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace orchidlead {

/// Routing state of one backend server, indexed by slot. The slots of a pool are dense.
struct routing_entry
{
    std::uint64_t nameHash = 0; ///< the same in every process
    std::uint32_t outstanding = 0; ///< attempts of this process
    std::uint32_t limit = 1; ///< maximum of `outstanding`
    /// Running and queued calls according to the server's last report, which lags.
    std::uint32_t reported = 0;
    double latency = 0.0; ///< smoothed, ms; 0: no samples yet
    steady_time slowStartBegin{}; ///< start of the slow start
    bool local = true; ///< in this process's data centre
    bool available = false; ///< an attempt may be sent now
    bool probing = false; ///< being probed after an ejection
};

/// Inputs to one routing decision.
struct routing_request
{
    /// Of the start of the prompt; 0: no affinity.
    std::uint64_t prefixHash = 0;
    std::span<const std::uint32_t> avoid; ///< slots already tried
    bool avoidProbing = false; ///< for calls that must not be repeated
    steady_time now;
};

struct routing_settings
{
    double remoteLatency = 2.0; ///< ms, round trip to another data centre
    double defaultLatency = 10.0; ///< ms, for a server without samples
    std::chrono::milliseconds slowStart{5'000};
    /// Relative to the mean number of outstanding attempts per server.
    double affinityLoadBound = 1.25;
};

/// The state of a pool that routing decisions read.
struct routing_view
{
    std::span<const routing_entry> entries; ///< by slot
    std::span<const std::uint32_t> local; ///< available slots of this data centre
    std::span<const std::uint32_t> remote; ///< available slots of other data centres
    double meanOutstanding = 0.0; ///< per member
    double meanLatency = 0.0; ///< ms, over all members
};

/// The chosen slot and the candidates of the decision.
struct routing_choice
{
    static constexpr std::size_t MaxCandidates = 4;

    std::uint32_t slot = 0;
    std::string_view reason;
    std::uint32_t candidates[MaxCandidates] = {};
    std::uint32_t candidateCount = 0;

    void consider(std::uint32_t candidate)
    {
        if (candidateCount < MaxCandidates)
            candidates[candidateCount++] = candidate;
    }
};

/// Chooses one of the available slots. `onMembers` is called when the set of members changes.
template <class Policy>
concept routing_policy = std::constructible_from<Policy, const routing_settings &> && requires(
    Policy &policy, const routing_view &view, const routing_request &request, random_source &random,
    std::span<const std::uint32_t> members)
{
    policy.onMembers(view.entries, members);
    {
        policy.pick(view, request, random)
        } -> std::same_as<std::optional<routing_choice>>;
};

/// Baseline: available slots in round-robin order, regardless of load, latency and data centre.
class round_robin_router
{
public:
    explicit round_robin_router(const routing_settings &) { }
    void onMembers(std::span<const routing_entry>, std::span<const std::uint32_t> members);
    [[nodiscard]] std::optional<routing_choice>
    pick(const routing_view &view, const routing_request &request, random_source &random);

private:
    std::vector<std::uint32_t> m_members;
    std::size_t m_next = 0;
};

/// Power of two choices by latency and load. Load is the number of this process's outstanding
/// attempts plus the server's lagging reports at a lower weight. Prefers this data centre unless
/// another one is faster despite the round trip. Prefers the server that probably caches the
/// prompt's prefix, up to a load bound.
class load_router
{
public:
    explicit load_router(const routing_settings &settings)
        : m_settings(settings)
    { }

    void onMembers(std::span<const routing_entry> entries, std::span<const std::uint32_t> members);
    [[nodiscard]] std::optional<routing_choice>
    pick(const routing_view &view, const routing_request &request, random_source &random);

private:
    struct ring_point
    {
        std::uint64_t hash = 0;
        std::uint32_t slot = 0;
    };

    [[nodiscard]] double score(const routing_view &view, std::uint32_t slot, steady_time now) const;
    [[nodiscard]] std::optional<std::uint32_t> pickByPrefix(const routing_view &view,
                                                            const routing_request &request,
                                                            routing_choice &choice) const;
    [[nodiscard]] std::optional<std::uint32_t> betterOfTwo(const routing_view &view,
                                                           std::span<const std::uint32_t> slots,
                                                           const routing_request &request,
                                                           random_source &random,
                                                           routing_choice &choice) const;

    routing_settings m_settings;
    std::vector<ring_point> m_ring; ///< for consistent hashing; sorted by hash
};

static_assert(routing_policy<round_robin_router>);
static_assert(routing_policy<load_router>);

} // namespace orchidlead
