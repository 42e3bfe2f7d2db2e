#include "gateway/stages/stage_pool.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

/// Load patterns on one stage pool whose servers are disturbed, without network and with simulated
/// time. The pool is the first stage of the deployment with servers of uneven speed, in one of its
/// data centres: 6 servers, calls of at most 10 pieces of 150 ms plus 13 ms per piece, 214 pieces
/// per second.
namespace {

constexpr milliseconds Step{5};
constexpr std::size_t Servers = 6;
constexpr std::size_t PiecesPerRequest = 4;
constexpr milliseconds SoftDeadline{800};
constexpr milliseconds Span{120'000};

stage_capacity makeCapacity()
{
    stage_capacity capacity;
    capacity.maxPiecesPerCall = 10;
    capacity.callOverhead = milliseconds{150};
    capacity.timePerPiece = milliseconds{13};
    capacity.resultMemoryBytes = 52'000'000;
    capacity.resultLifetime = milliseconds{4000};
    return capacity;
}

/// How servers are disturbed, one after another at random.
struct disturbance
{
    double speed = 1.0; ///< of a server while it is disturbed; 0: it hangs
    milliseconds length{600};
    double share = 0.15; ///< of the time of each server
};

struct emulator_options
{
    disturbance disturbed;
    double requestsPerSecond = 20; ///< 0.37 of what the pool can serve
    bool hedges = true;
    unsigned seed = 1;
};

struct emulation_result
{
    int pieces = 0;
    int late = 0; ///< ended after their soft deadline, or without a result
    int hedgedCalls = 0;
    int calls = 0; ///< with the hedged ones
    double workSeconds = 0; ///< of servers
    hedge_counts hedges;
};

class hedge_emulator
{
public:
    explicit hedge_emulator(const emulator_options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        m_pool.setCapacity(makeCapacity());
        m_pool.setHedgesCalls(options.hedges);
        std::minstd_rand phases(options.seed + 100);
        for (std::size_t i = 0; i < Servers; ++i) {
            auto added = std::make_shared<server>();
            added->record.id = backend_server_id("s" + std::to_string(i));
            m_machines.push_back({added, std::minstd_rand(static_cast<unsigned>(phases()))});
            m_servers.push_back(std::move(added));
        }
    }

    emulation_result run()
    {
        const auto end = m_clock.now() + Span;
        while (m_clock.now() < end + milliseconds{10'000}) {
            if (m_clock.now() < end)
                submitArrivals();
            step();
        }
        REQUIRE(m_open.empty()); // no piece is lost
        for (const auto &each : m_servers)
            CHECK(m_pool.heldBytesAt(each->record.start()) == 0);
        return m_result;
    }

private:
    struct machine
    {
        server_ptr name;
        std::minstd_rand random;
        steady_time disturbedUntil{};
        std::optional<stage_call> call{};
        std::chrono::duration<double> workLeft{0};
        steady_time timesOutAt{};
    };

    void submitArrivals()
    {
        const double mean =
            m_options.requestsPerSecond * std::chrono::duration<double>(Step).count();
        const int requests = std::poisson_distribution<int>(mean)(m_random);
        for (int request = 0; request < requests; ++request) {
            ++m_lastRequest;
            for (std::size_t i = 0; i < PiecesPerRequest; ++i) {
                piece_task job;
                job.token = ++m_lastToken;
                job.request.attempt = "r" + std::to_string(m_lastRequest);
                job.resultBytes = 1'000'000;
                job.softDeadline = m_clock.now() + SoftDeadline;
                job.deadline = job.softDeadline + milliseconds{5000};
                job.mayBeHedged = true;
                m_open[job.token] = job.softDeadline;
                ++m_result.pieces;
                m_retryBudget.onRequest(service_id("s"));
                m_pool.submit(std::move(job));
            }
        }
    }

    void step()
    {
        record(m_pool.expire(Servers));
        while (const auto call = m_pool.nextCall(m_servers))
            start(*call);
        m_clock.advance(Step);
        for (auto &each : m_machines) {
            disturb(each);
            if (each.call)
                work(each);
        }
        for (auto it = m_frees.begin(); it != m_frees.end() && it->first <= m_clock.now();) {
            m_pool.onFreed(it->second);
            it = m_frees.erase(it);
        }
    }

    void start(const stage_call &call)
    {
        for (auto &each : m_machines) {
            if (each.name != call.server)
                continue;
            REQUIRE_FALSE(each.call); // a server has one call at a time
            each.call = call;
            each.workLeft = makeCapacity().callOverhead
                + makeCapacity().timePerPiece * static_cast<int>(call.pieces.size());
            each.timesOutAt = m_clock.now() + call.timeout;
        }
        ++m_result.calls;
        m_result.hedgedCalls += call.overdueServer ? 1 : 0;
    }

    void disturb(machine &each)
    {
        const auto &wanted = m_options.disturbed;
        const double perStep = std::chrono::duration<double>(Step) / wanted.length * wanted.share
            / (1.0 - wanted.share);
        const bool begins = std::bernoulli_distribution(perStep)(each.random);
        if (each.disturbedUntil <= m_clock.now() && begins)
            each.disturbedUntil = m_clock.now() + wanted.length;
    }

    void work(machine &each)
    {
        const bool disturbed = each.disturbedUntil > m_clock.now();
        each.workLeft -= Step * (disturbed ? m_options.disturbed.speed : 1.0);
        m_result.workSeconds += std::chrono::duration<double>(Step).count();
        if (each.workLeft.count() > 0 && m_clock.now() < each.timesOutAt)
            return;
        const auto call = *std::exchange(each.call, std::nullopt);
        if (each.workLeft.count() > 0) {
            record(m_pool.onEnd(call.id, stage_call_end::Broken, {}));
            return;
        }
        std::vector<piece_result> results;
        for (std::size_t i = 0; i < call.pieces.size(); ++i)
            results.emplace_back("h/" + std::to_string(++m_lastHandle));
        record(m_pool.onEnd(call.id, stage_call_end::Answered, results));
        if (call.overdueServer) {
            const auto counts = m_pool.takeHedgeCounts();
            m_result.hedges.used += counts.used;
            m_result.hedges.freed += counts.freed;
        }
    }

    void record(const std::vector<piece_outcome> &outcomes)
    {
        for (const auto &each : outcomes) {
            const auto *handle = std::get_if<std::string>(&each.result);
            // Results are held for 300 ms after their call, superfluous ones are freed at once.
            if (handle)
                m_frees.emplace(m_clock.now() + milliseconds{each.token == 0 ? 0 : 300}, *handle);
            if (each.token == 0)
                continue;
            const auto open = m_open.find(each.token);
            REQUIRE(open != m_open.end()); // no piece is reported twice
            m_result.late += !handle || m_clock.now() > open->second ? 1 : 0;
            m_open.erase(open);
        }
    }

    emulator_options m_options;
    manual_clock m_clock;
    std::minstd_rand m_random; ///< for arrivals, the same whatever the pool does
    service_retry_budget m_retryBudget{m_clock, {}};
    stage_pool m_pool{m_clock, service_id("s"), m_retryBudget};
    std::vector<server_ptr> m_servers;
    std::vector<machine> m_machines;
    std::map<piece_token, steady_time> m_open; ///< soft deadlines
    std::multimap<steady_time, std::string> m_frees;
    emulation_result m_result;
    piece_token m_lastToken = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastHandle = 0;
};

std::string describe(const emulation_result &result)
{
    return std::to_string(result.late) + " late of " + std::to_string(result.pieces) + ", "
        + std::to_string(result.workSeconds) + " s of work, " + std::to_string(result.hedgedCalls)
        + " hedged of " + std::to_string(result.calls) + " calls, "
        + std::to_string(result.hedges.used) + " used, " + std::to_string(result.hedges.freed)
        + " freed";
}

} // namespace

// Guards against a second call that takes servers from other pieces in the short slowdowns of noisy
// neighbours, in which it is rarely sooner.
TEST_CASE("hedged_calls load: with slowed servers no more pieces are late, for little more work")
{
    for (const double rate : {10.0, 20.0, 26.0}) {
        for (const unsigned seed : {1U, 2U, 3U}) {
            const disturbance slowed{0.4, milliseconds{600}, 0.15};
            const auto before = hedge_emulator({slowed, rate, false, seed}).run();
            const auto after = hedge_emulator({slowed, rate, true, seed}).run();
            INFO("speed 0.4 rate " << rate << " seed " << seed << "\nbefore " << describe(before)
                                   << "\nafter " << describe(after));
            CHECK(after.late <= before.late);
            CHECK(after.workSeconds <= 1.02 * before.workSeconds);
        }
    }
}

// Guards against pieces that are late because each server that hangs keeps them until its call
// times out.
TEST_CASE("hedged_calls load: with hanging servers fewer pieces are late")
{
    for (const double rate : {10.0, 20.0, 26.0}) {
        int before = 0;
        int after = 0;
        for (const unsigned seed : {1U, 2U, 3U}) {
            const disturbance hanging{0.0, milliseconds{2000}, 0.03};
            before += hedge_emulator({hanging, rate, false, seed}).run().late;
            after += hedge_emulator({hanging, rate, true, seed}).run().late;
        }
        INFO("rate " << rate << ": " << before << " before, " << after << " after");
        CHECK(after * 100 <= before * 92);
    }
}
