#pragma once

#include "gateway/servers/server_directory.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace orchidlead::gateway {

/// What became of a piece of a hedged call.
enum class hedge_event : std::uint8_t {
    Started,
    Used, ///< its result was the first one
    Freed, ///< its result was freed: the first call was sooner, or the piece was withdrawn
    Failed, ///< it has no result
};

/// Pieces of a hedged call that has ended.
struct hedge_counts
{
    std::uint32_t used = 0;
    std::uint32_t freed = 0;
    std::uint32_t failed = 0;
};

/// Decides from which time on a call of a pool is overdue, so that its pieces may be computed a
/// second time at another server (a hedged call), and limits the number of hedged calls.
class hedged_calls
{
public:
    /// Maximum number of hedged calls within `Window`, as a fraction of the other calls.
    static constexpr double MaxShare = 0.05;
    /// As long as the window of the retry budget, which limits hedged calls as well.
    static constexpr std::chrono::seconds Window{10};
    /// A call is overdue after this many times its expected duration.
    static constexpr double OverdueFactor = 1.5;
    /// Time between the expected end of a hedged call and the `softDeadline` of its pieces, as a
    /// fraction of its duration. In the emulation, 476 pieces are late with hanging servers (588
    /// with 0, 438 with 0.5, 612 without hedged calls), and 422 with servers slowed down by 5 times
    /// (504 with 0, 508 with 0.5, 452 without hedged calls).
    static constexpr double ReserveShare = 0.25;

    explicit hedged_calls(const clock_source &clock)
        : m_clock(clock)
    { }

    void setEnabled(bool enabled) { m_enabled = enabled; }
    [[nodiscard]] bool enabled() const { return m_enabled; }

    /// Counts a call that isn't hedged.
    void onCall() { ++currentBucket().calls; }
    void onHedgedCall() { ++currentBucket().hedged; }
    /// Records that a server answered a call. `ratio` is the duration of the call divided by the
    /// one at nominal speed.
    void onAnswered(const server_start &server, double ratio);
    /// Returns when a call that starts now is overdue; `nominal` is its duration at nominal speed.
    [[nodiscard]] steady_time overdueAt(const server_start &server,
                                        std::chrono::microseconds nominal) const;
    /// Returns whether the limit allows another hedged call now.
    [[nodiscard]] bool allowsAnother() const;
    /// Drops the records of servers for which `exists` returns false.
    void forgetServers(const std::function<bool(const server_start &)> &exists);

private:
    /// Number of calls over which the usual speed of a server is judged. A slowdown of 0.6 s covers
    /// one to three calls, so it doesn't reach the median; a lasting one does after five calls.
    static constexpr std::size_t JudgedCalls = 9;
    static constexpr std::size_t Buckets = 10;

    class call_ratios
    {
    public:
        call_ratios() { m_ratios.fill(1.0); }
        void add(double ratio) { m_ratios.at(m_next++ % JudgedCalls) = ratio; }
        [[nodiscard]] double median() const;

    private:
        std::array<double, JudgedCalls> m_ratios{};
        std::size_t m_next = 0;
    };
    struct bucket
    {
        std::int64_t index = -1;
        std::uint32_t calls = 0;
        std::uint32_t hedged = 0;
    };

    [[nodiscard]] std::int64_t bucketIndex() const;
    [[nodiscard]] bucket &currentBucket();

    const clock_source &m_clock;
    bool m_enabled = true;
    std::array<bucket, Buckets> m_buckets{};
    std::map<server_start, call_ratios> m_ratios;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::hedge_event>{
    orchidlead::enum_name<orchidlead::gateway::hedge_event>{
        orchidlead::gateway::hedge_event::Started, "started"},
    orchidlead::enum_name<orchidlead::gateway::hedge_event>{orchidlead::gateway::hedge_event::Used,
                                                            "used"},
    orchidlead::enum_name<orchidlead::gateway::hedge_event>{orchidlead::gateway::hedge_event::Freed,
                                                            "freed"},
    orchidlead::enum_name<orchidlead::gateway::hedge_event>{
        orchidlead::gateway::hedge_event::Failed, "failed"},
};
