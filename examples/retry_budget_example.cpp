// Shows how a client protects a server that is in trouble: a concurrency limit finds out how many
// calls the server takes at once, and a retry budget keeps second tries to a share of first ones.

#include "claims.h"

#include <orchidlead/concurrency_limit.h>
#include <orchidlead/retry_budget.h>

#include <algorithm>
#include <iostream>

using namespace orchidlead;
using namespace std::chrono_literals;

namespace {

constexpr int Rounds = 300; ///< in a phase
constexpr std::uint32_t Demand = 12; ///< new calls in a round
constexpr auto AnswerTime = 10ms;
constexpr double Share = 0.1; ///< of second tries in first ones
constexpr double Reserve = 7.0; ///< second tries that are granted in quiet times

/// Takes `capacity` calls at once, answers them after 10 ms and refuses the others at once.
struct fake_server
{
    std::uint32_t capacity = 0;
};

struct phase_counts
{
    std::uint32_t firstTries = 0;
    std::uint32_t secondTries = 0;
    std::uint32_t refused = 0;
};

/// Calls the server; both guards are template parameters, as in the library itself.
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
        for (int i = 0; i < Rounds; ++i)
            runRound(server, counts);
        return counts;
    }

    [[nodiscard]] std::uint32_t limit() const { return m_limit.limit(); }

private:
    // What the limit holds back is dropped; new calls come in each round.
    void runRound(const fake_server &server, phase_counts &counts)
    {
        const std::uint32_t sent = std::min(m_limit.limit(), Demand + m_waitingRetries);
        const std::uint32_t secondTries = std::min(sent, m_waitingRetries);
        counts.secondTries += secondTries;
        counts.firstTries += sent - secondTries;
        for (std::uint32_t i = secondTries; i < sent; ++i)
            m_budget.onFirstTry();

        const std::uint32_t accepted = std::min(sent, server.capacity);
        counts.refused += sent - accepted;
        m_waitingRetries = 0;
        for (std::uint32_t i = accepted; i < sent; ++i) {
            m_limit.onRefused(accepted, m_clock.now());
            if (m_budget.tryTake())
                ++m_waitingRetries; // without a token the call fails at once, and truthfully
        }
        m_clock.advance(AnswerTime);
        for (std::uint32_t outstanding = accepted; outstanding > 0; --outstanding)
            m_limit.onAnswer(AnswerTime, outstanding, m_clock.now());
    }

    manual_clock &m_clock;
    Limit m_limit;
    Budget m_budget{};
    std::uint32_t m_waitingRetries = 0;
};

void print(std::string_view phase, const phase_counts &counts, std::uint32_t limit)
{
    std::cout << phase << ": " << counts.firstTries << " first tries, " << counts.secondTries
              << " second tries, " << counts.refused << " refused, limit " << limit << '\n';
}

} // namespace

int main()
{
    claims shown;
    manual_clock clock; // time passes only where the example says so
    guarded_client<aimd_limit, retry_budget> client{clock};

    const phase_counts healthy = client.run({8});
    print("healthy ", healthy, client.limit());
    shown.check(client.limit() >= 5 && client.limit() <= 9, "the limit found the 8 places");

    const phase_counts failing = client.run({0});
    print("failing ", failing, client.limit());
    shown.check(client.limit() == 1, "the limit fell to one call, which probes the server");
    shown.check(failing.secondTries > 0, "some calls were tried again");
    shown.check(failing.secondTries <= Share * failing.firstTries + Reserve,
                "second tries stayed within the budget");

    const phase_counts restored = client.run({8});
    print("restored", restored, client.limit());
    shown.check(client.limit() >= 5 && client.limit() <= 9, "the limit found the places again");
    // What the budget and the limit prevent: with neither, the server in trouble gets all of it.
    guarded_client<fixed_limit<>, unlimited_retries> unguarded{clock};
    const phase_counts flood = unguarded.run({0});
    print("no guard", flood, unguarded.limit());
    shown.check(flood.refused > 10 * failing.refused, "without guards it gets over ten times more");
    return shown.exitCode();
}
