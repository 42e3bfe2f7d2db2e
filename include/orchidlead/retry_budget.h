#pragma once

#include <algorithm>
#include <concepts>

namespace orchidlead {

/// What limits second tries (retries and hedges alike) of one pool.
template <class Policy>
concept retry_budget_policy = std::default_initializable<Policy> && requires(Policy &budget)
{
    budget.onFirstTry();
    {
        budget.tryTake()
        } -> std::same_as<bool>;
};

/// Grants second tries as a share of first tries, with a small reserve for quiet times.
class retry_budget
{
public:
    explicit retry_budget(double share = DefaultShare, double reserve = DefaultReserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_tokens(reserve)
    { }

    void onFirstTry() { m_tokens = std::min(m_reserve, m_tokens + m_share); }

    /// Takes the right to one second try, if there is one.
    [[nodiscard]] bool tryTake()
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

    [[nodiscard]] double tokens() const { return m_tokens; }

private:
    static constexpr double DefaultShare = 0.1;
    static constexpr double DefaultReserve = 7.0;

    double m_share;
    double m_reserve;
    double m_tokens;
};

/// Baseline: no second try at all.
struct no_retries
{
    void onFirstTry() { }
    [[nodiscard]] bool tryTake() { return false; }
};

/// Baseline: as many second tries as the attempts of a stage allow.
struct unlimited_retries
{
    void onFirstTry() { }
    [[nodiscard]] bool tryTake() { return true; }
};

static_assert(retry_budget_policy<retry_budget>);
static_assert(retry_budget_policy<no_retries>);
static_assert(retry_budget_policy<unlimited_retries>);

} // namespace orchidlead
