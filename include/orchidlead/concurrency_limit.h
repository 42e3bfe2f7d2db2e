#pragma once

#include <orchidlead/clock.h>

#include <chrono>
#include <concepts>
#include <cstdint>

namespace orchidlead {

/// How many attempts this process may have outstanding at one backend server.
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

/// Baseline: the same limit for ever.
template <std::uint32_t Limit = 64>
struct fixed_limit
{
    [[nodiscard]] std::uint32_t limit() const { return Limit; }
    void onAnswer(std::chrono::microseconds, std::uint32_t, steady_time) { }
    void onReport(std::uint32_t, std::uint32_t, steady_time) { }
    void onRefused(std::uint32_t, steady_time) { }
};

/// Grows by one for each limit's worth of answers while it is used up; shrinks by a factor when
/// the server refuses or reports a queue, or when answers take more than a multiple of their
/// long-term time.
class aimd_limit
{
public:
    [[nodiscard]] std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }

    /// `outstanding` is the number before this answer.
    void onAnswer(std::chrono::microseconds latency, std::uint32_t outstanding, steady_time now);

    /// Takes the numbers of calls that run and wait at the server, of all nodes; may be old.
    void onReport(std::uint32_t running, std::uint32_t queued, steady_time now);
    void onRefused(std::uint32_t outstanding, steady_time now);

private:
    void shrink(double factor, steady_time now);

    double m_limit = 4.0; ///< many nodes start at once
    double m_longTerm = 0.0; ///< µs
    double m_shortTerm = 0.0; ///< µs
    steady_time m_lastShrunk{};
};

/// Follows the ratio of the long-term to the recent answer time, with room for a queue of the
/// square root of the limit.
class gradient_limit
{
public:
    [[nodiscard]] std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    void onAnswer(std::chrono::microseconds latency, std::uint32_t outstanding, steady_time now);

    /// Takes the numbers of calls that run and wait at the server, of all nodes; may be old.
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
