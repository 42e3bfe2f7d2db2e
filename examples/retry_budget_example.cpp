// Shows how a client protects an overloaded or failing server: a concurrency limit adapts to the
// number of concurrent calls that the server accepts, and a retry budget limits second attempts to
// a fraction of the first attempts.

#include "claims.h"

#include <orchidlead/concurrency_limit.h>
#include <orchidlead/retry_budget.h>

#include <algorithm>
#include <iostream>

using namespace orchidlead;
using namespace std::chrono_literals;

namespace {

constexpr int RoundsPerPhase = 300;
constexpr std::uint32_t NewCallsPerRound = 12;
constexpr auto AnswerTime = 10ms;
constexpr double Share = 0.1; ///< second attempts per first attempt
constexpr double Reserve = 7.0; ///< tokens that the budget starts with, and its maximum

/// Accepts `capacity` concurrent calls, answers them after `AnswerTime` and refuses further calls.
struct fake_server
{
    std::uint32_t capacity = 0;
};

struct phase_counts
{
    std::uint32_t firstAttempts = 0;
    std::uint32_t secondAttempts = 0;
    std::uint32_t refused = 0;
};

/// Calls a server. The limit and the budget are template parameters, as in the library itself.
template <concurrency_limit_policy Limit, retry_budget_policy Budget>
class guarded_client
{
public:
    explicit guarded_client(manual_clock &clock)
        : m_clock(clock)
    { }

    phase_counts run(const fake_server &server)
    {
        phase_counts counts;
        for (int i = 0; i < RoundsPerPhase; ++i)
            runRound(server, counts);
        return counts;
    }

    [[nodiscard]] std::uint32_t limit() const { return m_limit.limit(); }

private:
    // Calls above the limit are dropped. Each round has new calls.
    void runRound(const fake_server &server, phase_counts &counts)
    {
        const std::uint32_t sent = std::min(m_limit.limit(), NewCallsPerRound + m_pendingRetries);
        const std::uint32_t secondAttempts = std::min(sent, m_pendingRetries);
        counts.secondAttempts += secondAttempts;
        counts.firstAttempts += sent - secondAttempts;
        for (std::uint32_t i = secondAttempts; i < sent; ++i)
            m_budget.onFirstAttempt();

        const std::uint32_t accepted = std::min(sent, server.capacity);
        counts.refused += sent - accepted;
        m_pendingRetries = 0;
        for (std::uint32_t i = accepted; i < sent; ++i) {
            m_limit.onRefused(accepted, m_clock.now());
            if (m_budget.tryAcquire())
                ++m_pendingRetries; // without a token the call fails immediately
        }
        m_clock.advance(AnswerTime);
        for (std::uint32_t outstanding = accepted; outstanding > 0; --outstanding)
            m_limit.onAnswer(AnswerTime, outstanding, m_clock.now());
    }

    manual_clock &m_clock;
    Limit m_limit;
    Budget m_budget{};
    std::uint32_t m_pendingRetries = 0;
};

void print(std::string_view phase, const phase_counts &counts, std::uint32_t limit)
{
    std::cout << phase << ": " << counts.firstAttempts << " first attempts, "
              << counts.secondAttempts << " second attempts, " << counts.refused
              << " refused, limit " << limit << '\n';
}

} // namespace

int main()
{
    claims shown;
    manual_clock clock; // advanced only by the client
    guarded_client<aimd_limit, retry_budget> client{clock};

    const phase_counts healthy = client.run({8});
    print("healthy ", healthy, client.limit());
    shown.check(client.limit() >= 5 && client.limit() <= 9,
                "the limit adapted to the 8 concurrent calls");

    const phase_counts failing = client.run({0});
    print("failing ", failing, client.limit());
    shown.check(client.limit() == 1, "the limit fell to one call, which probes the server");
    shown.check(failing.secondAttempts > 0, "some calls were retried");
    shown.check(failing.secondAttempts <= Share * failing.firstAttempts + Reserve,
                "second attempts stayed within the budget");

    const phase_counts restored = client.run({8});
    print("restored", restored, client.limit());
    shown.check(client.limit() >= 5 && client.limit() <= 9,
                "the limit adapted to the 8 concurrent calls again");

    // Without a limit and a budget, the failing server gets all calls and retries.
    guarded_client<fixed_limit<>, unlimited_retries> unguarded{clock};
    const phase_counts flood = unguarded.run({0});
    print("no guard", flood, unguarded.limit());
    shown.check(flood.refused > 10 * failing.refused,
                "without guards it refuses over ten times more calls");
    return shown.exitCode();
}
