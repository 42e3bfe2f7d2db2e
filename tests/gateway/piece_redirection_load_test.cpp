#include "gateway/stages/piece_redirection.h"
#include "gateway/stages/stage_pool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

/// Load patterns on the pools of one service in several data centres, without network and with
/// simulated time. Calls take 150 ms plus 16 ms per piece, at most 8 pieces, as in the first stage
/// of the deployment whose pools left 337 pieces waiting beside four idle servers. A server
/// processes 28.7 pieces per second in full calls. Messages take 5 ms.
namespace {

constexpr milliseconds Step{5};
constexpr milliseconds MessageTime{5};
constexpr double PerServer = 28.7;
constexpr std::size_t CrowdedPool =
    100; ///< pieces that may not wait for a second beside idle servers
constexpr milliseconds LongestCrowd{1000};

stage_capacity makeCapacity()
{
    stage_capacity capacity;
    capacity.maxPiecesPerCall = 8;
    capacity.callOverhead = milliseconds{150};
    capacity.timePerPiece = std::chrono::microseconds{16'000};
    return capacity;
}

/// What happened to the pieces of all pools.
struct region_counts
{
    int submitted = 0;
    int inTime = 0;
    int ended = 0;
    int redirected = 0;
    int redirectedTwice = 0;
    int returnedHome = 0;
    milliseconds longestCrowd{0}; ///< longest time of 100 waiting pieces beside an idle server

    [[nodiscard]] double shareInTime() const { return static_cast<double>(inTime) / submitted; }
};

/// Runs the pools of one service, with or without redirection.
class region_emulator
{
public:
    region_emulator(std::size_t pools, std::size_t serversPerPool, bool redirects, unsigned seed)
        : m_redirects(redirects)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < pools; ++i) {
            auto &made = m_sites.emplace_back(
                std::make_unique<site>(m_clock, m_retryBudget, std::string(1, char('a' + i))));
            for (std::size_t j = 0; j < serversPerPool; ++j) {
                made->servers.push_back(std::make_shared<server>());
                made->servers.back()->record.id =
                    backend_server_id(made->key.dataCenter.value + std::to_string(j));
                made->servers.back()->record.dataCenter = made->key.dataCenter;
            }
        }
    }

    /// Submits requests of two pieces at these loads, as shares of the capacity of a whole pool.
    void run(const std::vector<double> &loads, milliseconds span, milliseconds softDeadline)
    {
        const double capacity = PerServer * static_cast<double>(m_sites.front()->servers.size());
        runAt(loads, capacity, span, softDeadline);
    }
    /// As `run`, with the capacity of a pool of this many servers.
    void run(const std::vector<double> &loads, std::size_t servers, milliseconds span,
             milliseconds softDeadline)
    {
        runAt(loads, PerServer * static_cast<double>(servers), span, softDeadline);
    }
    /// Runs without new pieces until all have ended.
    void finish() { runAt({}, 0, milliseconds{15'000}, {}); }
    void removeServers(std::size_t pool, std::size_t count)
    {
        auto &servers = m_sites[pool]->servers;
        servers.resize(servers.size() - count);
    }
    /// Stops the reports to a pool, as a link that is broken in that direction.
    void cutReportsTo(std::size_t pool) { m_sites[pool]->getsReports = false; }

    [[nodiscard]] const region_counts &counts() const { return m_counts; }

private:
    struct running_call
    {
        stage_call call;
        steady_time ends;
    };
    struct site
    {
        site(const clock_source &clock, service_retry_budget &budget, const std::string &name)
            : key{service_id("s"), data_center_id(name)}
            , pool(clock, key.service, budget)
            , table(clock)
        {
            pool.setCapacity(makeCapacity());
        }

        pool_key key;
        stage_pool pool;
        pool_load_table table;
        std::vector<server_ptr> servers;
        std::vector<running_call> running;
        milliseconds crowdedFor{0};
        bool getsReports = true;
    };
    struct piece_state
    {
        piece_task task;
        std::size_t home = 0;
        std::size_t at = 0;
        int redirections = 0;
    };
    struct message
    {
        steady_time at;
        std::function<void()> deliver;
    };

    void runAt(const std::vector<double> &loads, double capacity, milliseconds span,
               milliseconds softDeadline)
    {
        for (const auto end = m_clock.now() + span; m_clock.now() < end;) {
            for (std::size_t i = 0; i < loads.size(); ++i)
                submitArrivals(i, loads[i] * capacity / 2, softDeadline);
            step();
        }
    }
    void submitArrivals(std::size_t home, double perSecond, milliseconds softDeadline)
    {
        const double mean = perSecond * std::chrono::duration<double>(Step).count();
        const int count = std::poisson_distribution<int>(mean)(m_random);
        for (int i = 0; i < count; ++i) {
            const auto attempt = "r" + std::to_string(++m_lastRequest);
            for (std::uint32_t piece = 0; piece < 2; ++piece) {
                piece_task job;
                job.token = ++m_lastToken;
                job.request.attempt = attempt;
                job.request.piece = piece;
                job.softDeadline = m_clock.now() + softDeadline;
                job.deadline = job.softDeadline + milliseconds{4000};
                job.preferredDataCenter = m_sites[home]->key.dataCenter;
                job.mayBeRedirected = m_redirects;
                m_pieces[job.token] = {job, home, home};
                ++m_counts.submitted;
                m_sites[home]->pool.submit(std::move(job));
            }
        }
    }

    void step()
    {
        while (!m_messages.empty() && m_messages.front().at <= m_clock.now()) {
            const auto due = std::move(m_messages.front());
            m_messages.pop_front();
            due.deliver();
        }
        for (std::size_t i = 0; i < m_sites.size(); ++i)
            dispatch(i);
        recordCrowds();
        m_clock.advance(Step);
        for (auto &each : m_sites)
            endCalls(*each);
    }
    void send(std::function<void()> deliver, milliseconds after = MessageTime)
    {
        m_messages.push_back({m_clock.now() + after, std::move(deliver)});
        std::ranges::stable_sort(m_messages, {}, &message::at);
    }

    void dispatch(std::size_t index)
    {
        auto &here = *m_sites[index];
        if (m_redirects)
            redirect(index);
        for (const auto &each : here.pool.expire(static_cast<double>(here.servers.size())))
            record(each);
        while (const auto call = here.pool.nextCall(here.servers))
            here.running.push_back(
                {*call,
                 m_clock.now() + makeCapacity().callOverhead
                     + std::chrono::duration_cast<milliseconds>(
                         makeCapacity().timePerPiece * static_cast<int>(call->pieces.size()))});
        if (m_redirects
            && here.table.takeReport(here.key, static_cast<std::uint32_t>(here.pool.waiting()), 8))
            report(index);
    }
    void redirect(std::size_t index)
    {
        auto &here = *m_sites[index];
        std::vector<redirection_target> targets;
        for (const auto &other : m_sites) {
            if (auto target = here.table.find(here.key, other->key);
                target && other->key != here.key)
                targets.push_back(*target);
        }
        if (targets.empty() || here.pool.waiting() == 0)
            return;
        const auto chosen = chooseRedirections(
            here.pool.redirectableGroups(static_cast<double>(here.servers.size())), targets,
            makeCapacity());
        for (const auto &each : chosen)
            here.table.onRedirected(each.to, static_cast<std::uint32_t>(each.tokens.size()),
                                    each.resultBytes);
        for (const auto &each : here.pool.takeGroups(chosen)) {
            REQUIRE(each.redirectedTo);
            const auto to = static_cast<std::size_t>(each.redirectedTo->dataCenter.value[0] - 'a');
            send([this, token = each.token, index, to] { arrive(token, index, to); },
                 2 * MessageTime);
        }
    }
    void arrive(piece_token token, std::size_t from, std::size_t to)
    {
        auto &piece = m_pieces.at(token);
        ++m_counts.redirected;
        m_counts.redirectedTwice += piece.redirections++ > 0 ? 1 : 0;
        m_counts.returnedHome += to == piece.home ? 1 : 0;
        piece.at = to;
        piece.task.mayBeRedirected = false;
        piece.task.redirectedFrom = m_sites[from]->key.dataCenter;
        m_sites[to]->table.onReceived(m_sites[to]->key, m_sites[from]->key);
        m_sites[to]->pool.submit(piece.task);
    }

    [[nodiscard]] pool_load loadOf(const site &at) const
    {
        return at.pool.loadOf(at.key, at.servers, static_cast<double>(at.servers.size()));
    }
    void report(std::size_t from)
    {
        const auto load = loadOf(*m_sites[from]);
        for (std::size_t to = 0; to < m_sites.size(); ++to) {
            if (to != from)
                send([this, load, from, to] { onReport(load, from, to); });
        }
    }
    void onReport(const pool_load &load, std::size_t from, std::size_t to)
    {
        auto &there = *m_sites[to];
        if (!there.getsReports)
            return;
        there.table.onReport(load);
        if (load.waiting == 0 || there.pool.waiting() > 0
            || !there.table.takeAnswer(there.key, load.pool))
            return;
        send([this, answer = loadOf(there), from] {
            if (m_sites[from]->getsReports)
                m_sites[from]->table.onReport(answer);
        });
    }

    void endCalls(site &at)
    {
        for (const auto &each : std::exchange(at.running, {})) {
            if (each.ends > m_clock.now()) {
                at.running.push_back(each);
                continue;
            }
            const std::vector<piece_result> results(each.call.pieces.size(),
                                                    piece_result{std::string("a/1")});
            for (const auto &outcome :
                 at.pool.onEnd(each.call.id, stage_call_end::Answered, results))
                record(outcome);
        }
    }
    void record(const piece_outcome &outcome)
    {
        const auto found = m_pieces.find(outcome.token);
        REQUIRE(found != m_pieces.end());
        ++m_counts.ended;
        if (std::holds_alternative<std::string>(outcome.result)
            && m_clock.now() <= found->second.task.softDeadline)
            ++m_counts.inTime;
        m_pieces.erase(found);
    }
    void recordCrowds()
    {
        for (auto &each : m_sites) {
            const bool idleElsewhere = std::ranges::any_of(m_sites, [&](const auto &other) {
                return other != each && other->running.size() < other->servers.size();
            });
            const bool crowded = each->pool.waiting() >= CrowdedPool && idleElsewhere;
            each->crowdedFor = crowded ? each->crowdedFor + Step : milliseconds{0};
            m_counts.longestCrowd = std::max(m_counts.longestCrowd, each->crowdedFor);
        }
    }

    region_counts m_counts;
    bool m_redirects;
    manual_clock m_clock;
    std::minstd_rand m_random;
    service_retry_budget m_retryBudget{m_clock, {0.0, 1000.0, milliseconds{10'000}}};
    std::vector<std::unique_ptr<site>> m_sites;
    std::deque<message> m_messages;
    std::map<piece_token, piece_state> m_pieces;
    piece_token m_lastToken = 0;
    std::uint64_t m_lastRequest = 0;
};

/// Checks what holds for each load: each piece ends once, and none is redirected twice or returns.
void checkPieces(const region_counts &region)
{
    CHECK(region.ended == region.submitted);
    CHECK(region.redirectedTwice == 0);
    CHECK(region.returnedHome == 0);
}

} // namespace

TEST_CASE("a data centre with twice the demand of the others uses their servers")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        for (const std::size_t pools : {2U, 3U}) {
            std::vector<double> loads(pools, 0.65);
            loads[0] = 1.3;
            const auto play = [&](bool redirects) {
                region_emulator region(pools, 5, redirects, seed);
                region.run(loads, milliseconds{15'000}, milliseconds{1600});
                region.finish();
                checkPieces(region.counts());
                return region.counts();
            };
            const auto off = play(false);
            const auto on = play(true);
            INFO("seed " << seed << ", pools " << pools << ", in time " << off.shareInTime()
                         << " without, " << on.shareInTime() << " with, redirected "
                         << on.redirected << ", crowd " << off.longestCrowd.count() << " ms, "
                         << on.longestCrowd.count() << " ms");
            // Without redirection the overload of one pool is refused: 0.3 of 1.95, or of 2.6.
            CHECK(off.shareInTime() < 0.93);
            CHECK(on.shareInTime() > 0.97);
            CHECK(on.longestCrowd < LongestCrowd);
        }
    }
}

TEST_CASE("the pieces of a data centre that loses a third of its servers go to the others")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        for (const std::size_t pools : {2U, 3U}) {
            const std::vector<double> loads(pools, 0.75);
            const auto play = [&](bool redirects) {
                region_emulator region(pools, 6, redirects, seed);
                region.run(loads, 6, milliseconds{3000}, milliseconds{1200});
                region.removeServers(0, 2);
                region.run(loads, 6, milliseconds{15'000}, milliseconds{1200});
                region.finish();
                checkPieces(region.counts());
                return region.counts();
            };
            const auto off = play(false);
            const auto on = play(true);
            INFO("seed " << seed << ", pools " << pools << ", in time " << off.shareInTime()
                         << " without, " << on.shareInTime() << " with, redirected "
                         << on.redirected);
            CHECK(on.shareInTime() > off.shareInTime());
            CHECK(on.shareInTime() > 0.97);
            CHECK(on.longestCrowd < LongestCrowd);
        }
    }
}

// The burst of the deployments: 2.4 to 3.1 times the usual rate for 5 to 7 s. The pieces have
// enough time that none is dropped, so that they pile up. A case for each number of pools, as all
// together take more than a minute with sanitizers.
namespace {

void checkBurstIsShared(std::size_t pools)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        std::vector<double> loads(pools, 0.4);
        loads[0] = 2.4;
        const auto play = [&](bool redirects) {
            region_emulator region(pools, 5, redirects, seed);
            region.run(loads, milliseconds{6000}, milliseconds{20'000});
            region.finish();
            checkPieces(region.counts());
            return region.counts();
        };
        const auto off = play(false);
        const auto on = play(true);
        INFO("seed " << seed << ", pools " << pools << ", crowd " << off.longestCrowd.count()
                     << " ms without, " << on.longestCrowd.count() << " ms with");
        CHECK(off.longestCrowd > LongestCrowd);
        CHECK(on.longestCrowd < LongestCrowd);
    }
}

} // namespace

TEST_CASE("no pool has 100 pieces waiting for a second beside an idle server of another pool")
{
    checkBurstIsShared(2);
}

TEST_CASE("no pool of three has 100 pieces waiting for a second beside an idle server of another")
{
    checkBurstIsShared(3);
}

// Guards against exchanges of pieces between two pools that are both full: each transfer costs
// time.
TEST_CASE("equally overloaded pools redirect next to nothing")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        region_emulator region(3, 5, true, seed);
        region.run({1.4, 1.4, 1.4}, milliseconds{10'000}, milliseconds{1600});
        region.finish();
        checkPieces(region.counts());
        INFO("seed " << seed << ", redirected " << region.counts().redirected << " of "
                     << region.counts().submitted);
        CHECK(region.counts().redirected < region.counts().submitted / 50);
    }
}

TEST_CASE("a load below the capacity of each pool redirects nothing")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        region_emulator region(3, 5, true, seed);
        region.run({0.6, 0.3, 0.5}, milliseconds{20'000}, milliseconds{1600});
        region.finish();
        checkPieces(region.counts());
        INFO("seed " << seed);
        CHECK(region.counts().redirected == 0);
    }
}

TEST_CASE("a pool that no reports reach keeps its pieces")
{
    region_emulator region(2, 5, true, 1);
    region.cutReportsTo(0);
    region.run({1.3, 0.65}, milliseconds{10'000}, milliseconds{1600});
    region.finish();
    checkPieces(region.counts());
    CHECK(region.counts().redirected == 0);
}
