#pragma once

#include <orchidlead/clock.h>

#include <chrono>
#include <concepts>
#include <cstdint>

namespace orchidlead {

/// Limits how many attempts this process may have outstanding at one backend server.
template <class Policy>
concept concurrency_limit_policy = std::default_initializable<Policy> && requires(
    Policy &limit, const Policy &view, std::chrono::microseconds latency, std::uint32_t outstanding,
    steady_time now)
{
    {
        view.limit()
        } -> std::convertible_to<std::uint32_t>;
    limit.onAnswer(latency, outstanding, now);
    limit.onReport(outstanding, outstanding, now);
    limit.onRefused(outstanding, now);
};

/// Baseline: a constant limit.
template <std::uint32_t Limit = 64>
struct fixed_limit
{
    [[nodiscard]] std::uint32_t limit() const { return Limit; }
    void onAnswer(std::chrono::microseconds, std::uint32_t, steady_time) { }
    void onReport(std::uint32_t, std::uint32_t, steady_time) { }
    void onRefused(std::uint32_t, steady_time) { }
};

/// Additive increase, multiplicative decrease. The limit grows by one for every `limit` answers
/// while it is fully used. It shrinks by a factor when the server refuses, when it reports a queue,
/// and when the short-term latency exceeds a multiple of the long-term latency.
class aimd_limit
{
public:
    [[nodiscard]] std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }

    /// `outstanding` is the number before this answer.
    void onAnswer(std::chrono::microseconds latency, std::uint32_t outstanding, steady_time now);

    /// `running` and `queued` count the calls of all nodes at the server; they may be outdated.
    void onReport(std::uint32_t running, std::uint32_t queued, steady_time now);
    void onRefused(std::uint32_t outstanding, steady_time now);

private:
    void shrink(double factor, steady_time now);

    /// Starts low, because many nodes may start at the same time.
    double m_limit = 4.0;
    double m_longTerm = 0.0; ///< µs
    double m_shortTerm = 0.0; ///< µs
    steady_time m_lastShrunk{};
};

/// Scales the limit with the ratio of the long-term to the short-term latency, plus headroom for a
/// queue of the square root of the limit.
class gradient_limit
{
public:
    [[nodiscard]] std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    void onAnswer(std::chrono::microseconds latency, std::uint32_t outstanding, steady_time now);

    /// `running` and `queued` count the calls of all nodes at the server; they may be outdated.
    void onReport(std::uint32_t running, std::uint32_t queued, steady_time now);
    void onRefused(std::uint32_t outstanding, steady_time now);

private:
    double m_limit = 8.0;
    double m_longTerm = 0.0; ///< µs
    double m_shortTerm = 0.0; ///< µs
    steady_time m_lastShrunk{};
};

static_assert(concurrency_limit_policy<fixed_limit<>>);
static_assert(concurrency_limit_policy<aimd_limit>);
static_assert(concurrency_limit_policy<gradient_limit>);

} // namespace orchidlead
