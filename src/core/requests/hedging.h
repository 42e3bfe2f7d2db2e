#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <optional>

namespace orchidlead {

/// Inputs of the hedging decision, which is made when an attempt starts.
struct hedge_view
{
    std::chrono::microseconds median{0}; ///< of the time of similar attempts; 0: unknown
    std::chrono::microseconds p95{0}; ///< of the time of similar attempts
    /// Time until the deadline minus the median times of the later stages.
    std::chrono::microseconds slack{0};
};

/// Decides how long after the start of an attempt to start a second one in parallel. No hedge if
/// there is no delay.
template <class Policy>
concept hedging_policy = std::default_initializable<Policy> && requires(const Policy &policy,
                                                                        const hedge_view &view)
{
    {
        policy.hedgeDelay(view)
        } -> std::same_as<std::optional<std::chrono::microseconds>>;
};

/// Hedges when the attempt takes longer than the 95th percentile and the remaining slack is just
/// enough for a second attempt. Waiting until then does not endanger the deadline.
struct slack_hedging
{
    [[nodiscard]] std::optional<std::chrono::microseconds> hedgeDelay(const hedge_view &view) const
    {
        if (view.median.count() == 0)
            return std::nullopt;
        const auto latestDelay = view.slack - ReservedMedians * view.median;
        return std::max(view.p95, latestDelay);
    }

private:
    /// Time reserved for the second attempt, in median attempt times.
    static constexpr int ReservedMedians = 2;
};

/// Hedges at the 95th percentile, regardless of the slack.
struct quantile_hedging
{
    [[nodiscard]] std::optional<std::chrono::microseconds> hedgeDelay(const hedge_view &view) const
    {
        if (view.median.count() == 0)
            return std::nullopt;
        return view.p95;
    }
};

/// Baseline: no hedging.
struct no_hedging
{
    [[nodiscard]] std::optional<std::chrono::microseconds> hedgeDelay(const hedge_view &) const
    {
        return std::nullopt;
    }
};

static_assert(hedging_policy<slack_hedging>);
static_assert(hedging_policy<quantile_hedging>);
static_assert(hedging_policy<no_hedging>);

} // namespace orchidlead
