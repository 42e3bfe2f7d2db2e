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

/// What routing knows of one backend server. Kept by slot; slots of a pool are dense.
struct routing_entry
{
    std::uint64_t nameHash = 0; ///< the same in every process
    std::uint32_t outstanding = 0; ///< own attempts
    std::uint32_t limit = 1; ///< of own attempts
    std::uint32_t reported = 0; ///< running and queued, as the server said last; lags
    double latency = 0.0; ///< smoothed, ms; 0: nothing seen yet
    steady_time returnedAt{}; ///< start of its slow start
    bool local = true; ///< in the own data centre
    bool available = false; ///< may get one more attempt now
    bool probing = false; ///< on probation after failures
};

/// What a routing decision is for.
struct routing_request
{
    std::uint64_t prefixHash = 0; ///< of the prompt's beginning; 0: no affinity wanted
    std::span<const std::uint32_t> avoid; ///< slots tried before
    bool avoidProbing = false; ///< the call may not be repeated
    steady_time now;
};

struct routing_settings
{
    double remoteLatency = 2.0; ///< ms, there and back to another data centre
    double usualLatency = 10.0; ///< ms, of a server not seen yet
    std::chrono::milliseconds slowStart{5'000};
    double affinityLoadBound = 1.25; ///< over the mean number of outstanding attempts
};

/// The part of a pool that decisions read.
struct routing_view
{
    std::span<const routing_entry> entries; ///< by slot
    std::span<const std::uint32_t> local; ///< available slots of the own data centre
    std::span<const std::uint32_t> remote; ///< available slots of others
    double meanOutstanding = 0.0; ///< over all members
    double usualLatency = 0.0; ///< ms, over all members
};

/// The slots that a decision weighed and the one it chose.
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

/// Baseline: each available slot in turn, without regard to load, latency or data centre.
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

/// Chooses the better of two samples by latency and load: own outstanding attempts first, the
/// lagging reports as a hint. Prefers the own data centre while it isn't slower than another one
/// with the way there, and the server that likely caches the prompt's prefix up to a load bound.
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
    [[nodiscard]] std::optional<std::uint32_t>
    affine(const routing_view &view, const routing_request &request, routing_choice &choice) const;
    [[nodiscard]] std::optional<std::uint32_t> betterOfTwo(const routing_view &view,
                                                           std::span<const std::uint32_t> slots,
                                                           const routing_request &request,
                                                           random_source &random,
                                                           routing_choice &choice) const;

    routing_settings m_settings;
    std::vector<ring_point> m_ring; ///< sorted by hash
};

static_assert(routing_policy<round_robin_router>);
static_assert(routing_policy<load_router>);

} // namespace orchidlead
