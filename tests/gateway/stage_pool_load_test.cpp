#include "gateway/stages/stage_pool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

/// Load patterns on one stage pool, without network and with simulated time. A call takes 200 ms
/// plus 21 ms per piece, for at most 8 pieces, as in the slowest stage of the deployments served so
/// far. Four servers then process 87 pieces per second.
namespace {

constexpr milliseconds Step{5};
constexpr stage_rank Urgent{0, 0};
constexpr stage_rank NonUrgent{0, 2};

stage_capacity makeCapacity()
{
    stage_capacity capacity;
    capacity.maxPiecesPerCall = 8;
    capacity.callOverhead = milliseconds{200};
    capacity.timePerPiece = std::chrono::microseconds{21'000};
    return capacity;
}

/// A Poisson stream of pieces of one rank.
struct piece_stream
{
    stage_rank rank;
    double perSecond = 0;
    milliseconds softDeadline{0};
};

/// Outcomes of the pieces of a rank.
struct rank_counts
{
    int submitted = 0;
    int inTime = 0;
    int late = 0;
    std::vector<milliseconds> refusedAfter;

    [[nodiscard]] double shareInTime() const { return static_cast<double>(inTime) / submitted; }
    [[nodiscard]] milliseconds medianRefusal()
    {
        if (refusedAfter.empty())
            return milliseconds{0};
        std::ranges::sort(refusedAfter);
        return refusedAfter[refusedAfter.size() / 2];
    }
};

/// Runs streams of pieces against a pool.
class pool_emulator
{
public:
    pool_emulator(std::size_t servers, unsigned seed)
        : m_random(seed)
    {
        m_pool.setCapacity(makeCapacity());
        for (std::size_t i = 0; i < servers; ++i) {
            auto added = std::make_shared<server>();
            added->record.id = backend_server_id("s" + std::to_string(i));
            added->record.dataCenter = data_center_id("dc");
            m_servers.push_back(added);
        }
    }
    /// Gives the first `count` servers another software version than the rest. From now on each
    /// piece requires one of the two, with the probability of its share of the servers.
    void setVersions(std::size_t count)
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            m_servers[i]->record.version = software_version(i < count ? "v2" : "v1");
        m_requiresVersion = true;
    }

    void run(const std::vector<piece_stream> &streams, milliseconds span)
    {
        for (const auto end = m_clock.now() + span; m_clock.now() < end;) {
            for (const auto &each : streams)
                submitArrivals(each);
            step();
        }
    }
    /// Runs without new pieces until all waiting ones have ended.
    void finish() { run({}, milliseconds{10'000}); }
    void removeServer() { m_servers.pop_back(); }

    [[nodiscard]] rank_counts &of(const stage_rank &rank) { return m_rankCounts[rank]; }

private:
    struct submitted_piece
    {
        stage_rank rank;
        steady_time at;
        steady_time softDeadline;
    };
    struct running_call
    {
        stage_call call;
        steady_time ends;
    };

    void submitArrivals(const piece_stream &stream)
    {
        const double mean = stream.perSecond * std::chrono::duration<double>(Step).count();
        const int count = std::poisson_distribution<int>(mean)(m_random);
        for (int i = 0; i < count; ++i) {
            piece_task job;
            job.token = ++m_lastToken;
            job.request.attempt = "r" + std::to_string(job.token);
            job.rank = stream.rank;
            job.softDeadline = m_clock.now() + stream.softDeadline;
            job.deadline = job.softDeadline + milliseconds{4000};
            if (m_requiresVersion) {
                const auto drawn =
                    std::uniform_int_distribution<std::size_t>(0, m_servers.size() - 1)(m_random);
                job.version = m_servers[drawn]->record.version;
            }
            m_submitted[job.token] = {job.rank, m_clock.now(), job.softDeadline};
            ++m_rankCounts[job.rank].submitted;
            m_pool.submit(std::move(job));
        }
    }

    void step()
    {
        for (const auto &each : m_pool.expire(m_servers.size()))
            recordOutcome(each);
        while (const auto call = m_pool.nextCall(m_servers)) {
            const auto work = makeCapacity().callOverhead
                + makeCapacity().timePerPiece * static_cast<int>(call->pieces.size());
            m_running.push_back({*call, m_clock.now() + work});
        }
        m_clock.advance(Step);
        const auto running = std::exchange(m_running, {});
        for (const auto &each : running) {
            if (each.ends > m_clock.now())
                m_running.push_back(each);
            else
                answer(each.call);
        }
    }

    void answer(const stage_call &call)
    {
        std::vector<piece_result> results(call.pieces.size(), piece_result{std::string("a/1")});
        for (const auto &each : m_pool.onEnd(call.id, stage_call_end::Answered, results))
            recordOutcome(each);
    }

    void recordOutcome(const piece_outcome &outcome)
    {
        const auto submitted = m_submitted.at(outcome.token);
        m_submitted.erase(outcome.token);
        auto &rank_counts = m_rankCounts[submitted.rank];
        if (std::holds_alternative<piece_failure>(outcome.result))
            rank_counts.refusedAfter.push_back(
                std::chrono::duration_cast<milliseconds>(m_clock.now() - submitted.at));
        else if (m_clock.now() <= submitted.softDeadline)
            ++rank_counts.inTime;
        else
            ++rank_counts.late;
    }

    manual_clock m_clock;
    std::minstd_rand m_random;
    service_retry_budget m_retryBudget{m_clock, {0.0, 1000.0, milliseconds{10'000}}};
    stage_pool m_pool{m_clock, service_id("s"), m_retryBudget};
    std::vector<server_ptr> m_servers;
    std::vector<running_call> m_running;
    std::map<piece_token, submitted_piece> m_submitted;
    std::map<stage_rank, rank_counts> m_rankCounts;
    piece_token m_lastToken = 0;
    bool m_requiresVersion = false;
};

/// A quarter of the pieces is urgent. At `load` 1, 87 pieces per second are submitted.
std::vector<piece_stream> mixedLoad(double load)
{
    return {{Urgent, 22 * load, milliseconds{900}}, {NonUrgent, 65 * load, milliseconds{1600}}};
}

} // namespace

TEST_CASE("below its capacity a pool completes nearly all pieces in time")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        pool_emulator emulator(4, seed);
        emulator.run(mixedLoad(0.8), milliseconds{20'000});
        emulator.finish();
        INFO("seed " << seed);
        CHECK(emulator.of(Urgent).shareInTime() > 0.99);
        CHECK(emulator.of(NonUrgent).shareInTime() > 0.97);
    }
}

TEST_CASE("in an overload burst urgent pieces are served first and others share the rest")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        pool_emulator emulator(4, seed);
        emulator.run(mixedLoad(1.8), milliseconds{8000});
        emulator.finish();
        INFO("seed " << seed);
        CHECK(emulator.of(Urgent).shareInTime() > 0.99);
        // 87 pieces per second less 40 urgent ones leave 47 for 117 others.
        CHECK(emulator.of(NonUrgent).shareInTime() > 0.35);
        // Refusals are reported within the duration of a call, not after the soft deadline.
        CHECK(emulator.of(NonUrgent).medianRefusal() <= milliseconds{368});
    }
}

TEST_CASE("losing a server in a burst doesn't delay urgent pieces")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        pool_emulator emulator(4, seed);
        emulator.run(mixedLoad(1.3), milliseconds{3000});
        emulator.removeServer();
        emulator.run(mixedLoad(1.3), milliseconds{5000});
        emulator.finish();
        INFO("seed " << seed);
        CHECK(emulator.of(Urgent).shareInTime() > 0.98);
        CHECK(emulator.of(NonUrgent).shareInTime() > 0.4);
        CHECK(emulator.of(NonUrgent).medianRefusal() <= milliseconds{368});
    }
}

TEST_CASE("a pool recovers from a burst within a few calls")
{
    pool_emulator emulator(4, 1);
    emulator.run(mixedLoad(2.5), milliseconds{4000});
    emulator.run({}, milliseconds{1000});
    emulator.of(NonUrgent) = {};
    emulator.run(mixedLoad(0.7), milliseconds{10'000});
    emulator.finish();
    CHECK(emulator.of(NonUrgent).shareInTime() > 0.97);
}

// During a release, with two versions on four servers: the bounds are those of a single version.
TEST_CASE("a pool with servers of two software versions completes nearly all pieces in time")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        for (const std::size_t newServers : {1U, 2U, 3U}) {
            pool_emulator emulator(4, seed);
            emulator.setVersions(newServers);
            emulator.run(mixedLoad(0.8), milliseconds{20'000});
            emulator.finish();
            INFO("seed " << seed << ", new servers " << newServers);
            CHECK(emulator.of(Urgent).shareInTime() > 0.99);
            CHECK(emulator.of(NonUrgent).shareInTime() > 0.97);
        }
    }
}

TEST_CASE("in a burst a pool with servers of two software versions serves urgent pieces first")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        pool_emulator emulator(4, seed);
        emulator.setVersions(2);
        emulator.run(mixedLoad(1.8), milliseconds{8000});
        emulator.finish();
        INFO("seed " << seed);
        CHECK(emulator.of(Urgent).shareInTime() > 0.99);
        CHECK(emulator.of(NonUrgent).shareInTime() > 0.35);
        CHECK(emulator.of(NonUrgent).medianRefusal() <= milliseconds{368});
    }
}
