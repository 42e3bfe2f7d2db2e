#pragma once

#include <orchidlead/clock.h>

#include <algorithm>
#include <chrono>
#include <concepts>

namespace orchidlead {

/// What is known when it is asked whether work can still be on time.
struct admission_view
{
    std::chrono::microseconds remaining{0}; ///< until the deadline
    std::chrono::microseconds likely{0}; ///< time of the stages to come, at the policy's quantile
    std::chrono::microseconds queueWait{0}; ///< expected, in the longest of the queues
    bool underShare = false; ///< the customer has no more open than its equal share
};

/// Whether a request is taken, and whether queued work is still worth starting.
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
        Policy::PaidWorkQuantile
        } -> std::convertible_to<double>;
};

/// Takes only what is likely to be on time; where the load is others', the benefit of the doubt is
/// the customer's. Queued work is given up when it would likely be late, paid for or not: running
/// it would take the time of work that can still be on time.
struct deadline_admission
{
    static constexpr double AdmitQuantile = 0.9;
    static constexpr double UnderShareQuantile = 0.5;
    static constexpr double NewWorkQuantile = 0.75;
    static constexpr double PaidWorkQuantile = 0.75;

    [[nodiscard]] bool admits(const admission_view &view) const
    {
        // The expected wait is a mean; half of the waits are longer.
        const auto wait = view.underShare ? view.queueWait : 3 * view.queueWait / 2;
        return view.likely + wait <= view.remaining;
    }
    [[nodiscard]] bool worthStarting(const admission_view &view) const
    {
        return view.likely <= view.remaining;
    }
};

/// Baseline: takes everything that isn't past its deadline.
struct admit_all
{
    static constexpr double AdmitQuantile = 0.0;
    static constexpr double UnderShareQuantile = 0.0;
    static constexpr double NewWorkQuantile = 0.0;
    static constexpr double PaidWorkQuantile = 0.0;

    [[nodiscard]] bool admits(const admission_view &) const { return true; }
    [[nodiscard]] bool worthStarting(const admission_view &view) const
    {
        return view.remaining.count() > 0;
    }
};

static_assert(admission_policy<deadline_admission>);
static_assert(admission_policy<admit_all>);

} // namespace orchidlead
