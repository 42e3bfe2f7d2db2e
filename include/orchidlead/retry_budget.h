#pragma once

#include <algorithm>
#include <concepts>

namespace orchidlead {

/// Limits the second attempts, that is retries and hedges, of one pool.
template <class Policy>
concept retry_budget_policy = std::default_initializable<Policy> && requires(Policy &budget)
{
    budget.onFirstAttempt();
    {
        budget.tryAcquire()
        } -> std::same_as<bool>;
};

/// Token bucket for second attempts: each first attempt adds a fraction of a token, up to a small
/// reserve, which permits second attempts when there is little traffic.
class retry_budget
{
public:
    explicit retry_budget(double share = DefaultShare, double reserve = DefaultReserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_tokens(reserve)
    { }

    void onFirstAttempt() { m_tokens = std::min(m_reserve, m_tokens + m_share); }

    /// Takes a token for one second attempt. Returns false if there is none.
    [[nodiscard]] bool tryAcquire()
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

/// Baseline: no second attempts.
struct no_retries
{
    void onFirstAttempt() { }
    [[nodiscard]] bool tryAcquire() { return false; }
};

/// Baseline: second attempts are limited only by the maximum number of attempts per stage.
struct unlimited_retries
{
    void onFirstAttempt() { }
    [[nodiscard]] bool tryAcquire() { return true; }
};

static_assert(retry_budget_policy<retry_budget>);
static_assert(retry_budget_policy<no_retries>);
static_assert(retry_budget_policy<unlimited_retries>);

} // namespace orchidlead
