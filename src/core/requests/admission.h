#pragma once

#include <orchidlead/clock.h>

#include <algorithm>
#include <chrono>
#include <concepts>

namespace orchidlead {

/// Inputs of the decision whether work can still meet its deadline.
struct admission_view
{
    std::chrono::microseconds remaining{0}; ///< until the deadline
    /// Time of the remaining stages, at a quantile that the policy chooses.
    std::chrono::microseconds estimatedTime{0};
    std::chrono::microseconds queueWait{0}; ///< expected wait in the longest queue
    bool underShare = false; ///< the customer has at most its equal share of open requests
};

/// Decides whether to admit a request and whether to start queued work.
template <class Policy>
concept admission_policy =
    std::default_initializable<Policy> && requires(const Policy &policy, const admission_view &view)
{
    {
        policy.admits(view)
        } -> std::same_as<bool>;
    {
        policy.worthStarting(view)
        } -> std::same_as<bool>;
    {
        Policy::AdmitQuantile
        } -> std::convertible_to<double>;
    {
        Policy::NewWorkQuantile
        } -> std::convertible_to<double>;
    {
        Policy::InProgressQuantile
        } -> std::convertible_to<double>;
};

/// Admits only requests that are likely to meet their deadline. The estimate is more optimistic for
/// customers within their fair share, since the load comes from other customers.
///
/// Queued work that would likely be late is shed, even if earlier stages of its request have run:
/// it would take capacity from work that can still meet its deadline.
struct deadline_admission
{
    static constexpr double AdmitQuantile = 0.9;
    static constexpr double UnderShareQuantile = 0.5;
    static constexpr double NewWorkQuantile = 0.75;
    static constexpr double InProgressQuantile = 0.75;

    [[nodiscard]] bool admits(const admission_view &view) const
    {
        // The expected wait is a mean, and half of the waits are longer.
        const auto wait = view.underShare ? view.queueWait : 3 * view.queueWait / 2;
        return view.estimatedTime + wait <= view.remaining;
    }
    [[nodiscard]] bool worthStarting(const admission_view &view) const
    {
        return view.estimatedTime <= view.remaining;
    }
};

/// Baseline: admits all requests whose deadline has not passed.
struct admit_all
{
    static constexpr double AdmitQuantile = 0.0;
    static constexpr double UnderShareQuantile = 0.0;
    static constexpr double NewWorkQuantile = 0.0;
    static constexpr double InProgressQuantile = 0.0;

    [[nodiscard]] bool admits(const admission_view &) const { return true; }
    [[nodiscard]] bool worthStarting(const admission_view &view) const
    {
        return view.remaining.count() > 0;
    }
};

static_assert(admission_policy<deadline_admission>);
static_assert(admission_policy<admit_all>);

} // namespace orchidlead
