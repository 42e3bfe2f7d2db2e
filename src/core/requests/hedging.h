#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <optional>

namespace orchidlead {

/// What is known when an attempt starts.
struct hedge_view
{
    std::chrono::microseconds typical{0}; ///< median time of such an attempt; 0: unknown
    std::chrono::microseconds late{0}; ///< 95th percentile
    std::chrono::microseconds slack{0}; ///< time for this stage if the later ones take their usual
};

/// When a second attempt is started beside the first.
template <class Policy>
concept hedging_policy = std::default_initializable<Policy> && requires(const Policy &policy,
                                                                        const hedge_view &view)
{
    {
        policy.after(view)
        } -> std::same_as<std::optional<std::chrono::microseconds>>;
};

/// Hedges when the attempt is later than most, and the slack that is left is what a second one
/// needs: before that moment waiting costs nothing.
struct slack_hedging
{
    [[nodiscard]] std::optional<std::chrono::microseconds> after(const hedge_view &view) const
    {
        if (view.typical.count() == 0)
            return std::nullopt;
        const auto lastMoment = view.slack - SecondTry * view.typical;
        return std::max(view.late, lastMoment);
    }

private:
    static constexpr int SecondTry = 2; ///< of the typical time, kept for the second attempt
};

/// Hedges whatever is later than most, however much slack there is.
struct quantile_hedging
{
    [[nodiscard]] std::optional<std::chrono::microseconds> after(const hedge_view &view) const
    {
        if (view.typical.count() == 0)
            return std::nullopt;
        return view.late;
    }
};

/// Baseline: never a second attempt.
struct no_hedging
{
    [[nodiscard]] std::optional<std::chrono::microseconds> after(const hedge_view &) const
    {
        return std::nullopt;
    }
};

static_assert(hedging_policy<slack_hedging>);
static_assert(hedging_policy<quantile_hedging>);
static_assert(hedging_policy<no_hedging>);

} // namespace orchidlead
