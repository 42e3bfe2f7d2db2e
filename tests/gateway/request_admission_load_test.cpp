#include "gateway/admission/reserved_stages.h"
#include "gateway/admission/stage_admission.h"
#include "gateway/admission/unasked_allowance.h"
#include "gateway/stages/stage_pool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

/// Load on three stage pools in a row, without network and with simulated time. A call takes 200 ms
/// plus 21 ms per piece, for at most 8 pieces. The middle pool has 4 backend servers, which process
/// 87 pieces per second; the others have 8. Requests have two pieces in each stage and arrive at 8
/// nodes, each of which knows the waits that the hosts reported to it.
namespace {

constexpr std::uint32_t PromptTokens = 8000; // an engine answers after about 250 ms
constexpr milliseconds Step{5};
constexpr milliseconds Objective{2200};
constexpr std::uint32_t PiecesPerStage = 2;
constexpr std::size_t Stages = 3;
constexpr std::size_t Nodes = 8;
constexpr std::array<std::size_t, Stages> Servers{8, 4, 8};
constexpr stage_rank Urgent{0, 0};
constexpr stage_rank Usual{1, 0};
const service_id Engine("engine");

pool_key poolOf(std::size_t stage)
{
    return {service_id("s" + std::to_string(stage))};
}

stage_capacity makeCapacity()
{
    stage_capacity capacity;
    capacity.maxPiecesPerCall = 8;
    capacity.callOverhead = milliseconds{200};
    capacity.timePerPiece = std::chrono::microseconds{21'000};
    return capacity;
}

enum class admission_policy { PiecesAlone, WholeRequests };

struct load_result
{
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refusedBeforeWork = 0;
    int failedAfterWork = 0;
    int urgent = 0;
    int urgentInTime = 0;
    std::chrono::duration<double> discarded{0}; ///< server time for requests without an answer
    milliseconds longestRefusal{0};
};

class pipeline_emulator
{
public:
    pipeline_emulator(admission_policy admission, unsigned seed)
        : m_policy(admission)
        , m_random(seed)
    {
        configuration content;
        for (std::size_t stage = 0; stage < Stages; ++stage) {
            service_spec service;
            service.id = poolOf(stage).service;
            service.stage = makeCapacity();
            content.services.push_back(service);
            std::vector<std::size_t> after;
            if (stage > 0)
                after.push_back(stage - 1);
            m_route.stages.push_back({service.id, after, 1000});
            m_pools.push_back(std::make_unique<stage_pool>(m_clock, service.id, m_retryBudget));
            m_pools.back()->setCapacity(makeCapacity());
            m_poolKeys.push_back(poolOf(stage));
            for (std::size_t i = 0; i < Servers[stage]; ++i) {
                auto added = std::make_shared<server>();
                added->record.id = backend_server_id("s" + std::to_string(i));
                m_servers[stage].push_back(added);
            }
        }
        m_route.latencyObjective = Objective;
        m_configuration = std::make_shared<const configuration_index>(std::move(content));
        for (std::size_t i = 0; i < Nodes; ++i) {
            m_estimators.push_back(std::make_unique<latency_estimator>(m_clock));
            m_allowances.push_back(std::make_unique<unasked_allowance>(m_clock));
        }
        restartHosts();
    }

    /// Runs with `perSecond` new requests per second, a quarter of them urgent.
    void run(double perSecond, milliseconds span)
    {
        for (const auto end = m_clock.now() + span; m_clock.now() < end;) {
            const double mean = perSecond * std::chrono::duration<double>(Step).count();
            const int count = std::poisson_distribution<int>(mean)(m_random);
            for (int i = 0; i < count; ++i)
                begin();
            step();
        }
    }
    void finish() { run(0, milliseconds{8000}); }
    /// The hosts forget all reservations.
    void restartHosts()
    {
        m_admission = std::make_unique<stage_admission>(m_clock);
        m_admission->setEstimate(
            [this](const pool_key &pool, const stage_rank &rank, std::uint64_t /*bytes*/) {
                return estimateOf(pool, rank);
            });
    }
    [[nodiscard]] std::size_t reservedPieces()
    {
        std::size_t pieces = 0;
        for (const auto &[service, counts] : m_admission->counts())
            pieces += counts.held;
        return pieces;
    }
    /// A node ends: its requests send no more pieces.
    void endNode(std::size_t node)
    {
        for (auto &[id, each] : m_requests) {
            if (each.node == node)
                each.abandoned = true;
        }
    }

    load_result result;

private:
    struct request
    {
        stage_rank rank;
        steady_time at;
        std::size_t node = 0;
        std::vector<piece_token> pieces; ///< of the current stage, without results
        std::chrono::duration<double> work{0};
        steady_time stageSubmittedAt;
        bool abandoned = false;
    };
    struct submitted_piece
    {
        std::uint64_t request = 0;
        std::uint32_t stage = 0;
    };
    struct running_call
    {
        std::size_t stage = 0;
        stage_call call;
        steady_time ends;
    };

    pool_estimate estimateOf(const pool_key &pool, const stage_rank &rank)
    {
        for (std::size_t stage = 0; stage < Stages; ++stage) {
            const auto count = static_cast<double>(Servers[stage]);
            const auto &each = *m_pools[stage];
            if (pool == m_poolKeys[stage])
                return {each.expectedWait(rank, count, 0), each.waiting(),
                        each.piecesPerSecond(rank, count), 0.0,
                        std::chrono::duration_cast<milliseconds>(each.fullCallTime())};
        }
        return {};
    }

    request_outline outlineOf(const request &each) const
    {
        return {*m_configuration, m_route, Engine, each.rank, m_poolKeys, m_counts, PromptTokens};
    }

    void begin()
    {
        const auto id = ++m_lastRequest;
        auto &added = m_requests[id];
        added.rank = m_random() % 4 == 0 ? Urgent : Usual;
        added.at = m_clock.now();
        added.node = m_random() % Nodes;
        ++result.requests;
        result.urgent += added.rank == Urgent ? 1 : 0;
        const auto forecast = m_estimators[added.node]->forecastOf(outlineOf(added));
        const bool isPredictedLate = forecast.hasBacklog && forecast.timeToAnswer > Objective;
        if (isPredictedLate || (m_policy == admission_policy::WholeRequests && !admit(id, added)))
            end(id, false);
        else
            submitStage(id, 0);
    }

    bool admit(std::uint64_t id, const request &each)
    {
        const void *sender = m_allowances[each.node].get();
        bool granted = true;
        for (auto &[pool, stages] :
             reservedStagesOf(outlineOf(each), *m_estimators[each.node], Objective, true)) {
            if (m_allowances[each.node]->tryUse(
                    pool, each.rank,
                    {PiecesPerStage,
                     std::chrono::duration_cast<milliseconds>(m_pools.front()->fullCallTime()),
                     makeCapacity().maxPiecesPerCall}))
                continue;
            reservation_query query;
            query.id = id;
            query.attempt = std::to_string(id);
            query.rank = each.rank;
            query.stages = stages;
            const auto answer = m_admission->onQuery(sender, pool, query);
            report(each, pool, answer.wait);
            granted = granted && answer.granted;
        }
        if (!granted)
            m_admission->release(sender, id);
        return granted;
    }

    void report(const request &each, const pool_key &pool, milliseconds wait)
    {
        m_estimators[each.node]->onReportedWait(pool, each.rank, wait);
        m_allowances[each.node]->onReportedWait(pool, each.rank, wait);
    }

    void submitStage(std::uint64_t id, std::uint32_t stage)
    {
        auto &each = m_requests.at(id);
        const auto outline = outlineOf(each);
        const auto &estimator = *m_estimators[each.node];
        const auto after = estimator.timesAfterStages(outline, estimator.stageTimes(outline));
        each.stageSubmittedAt = m_clock.now();
        for (std::uint32_t i = 0; i < PiecesPerStage; ++i) {
            piece_task job;
            job.token = ++m_lastToken;
            job.request.attempt = std::to_string(id);
            job.request.stage = stage;
            job.request.piece = i;
            if (stage > 0)
                job.request.inputs = {"a/1"};
            job.rank = each.rank;
            job.softDeadline = each.at + Objective - after[stage];
            job.deadline = job.softDeadline + milliseconds{2000};
            job.reserved =
                m_admission->onPieceArrived(m_poolKeys[stage], job.request.attempt, stage);
            each.pieces.push_back(job.token);
            m_pieces[job.token] = {id, stage};
            m_pools[stage]->submit(std::move(job));
        }
    }

    void step()
    {
        for (std::size_t stage = 0; stage < Stages; ++stage) {
            auto &pool = *m_pools[stage];
            for (const auto &each : pool.expire(static_cast<double>(Servers[stage])))
                onOutcome(each, {});
            while (const auto call = pool.nextCall(m_servers[stage])) {
                const auto work = makeCapacity().callOverhead
                    + makeCapacity().timePerPiece * static_cast<int>(call->pieces.size());
                m_running.push_back({stage, *call, m_clock.now() + work});
            }
        }
        m_clock.advance(Step);
        for (const auto &each : std::exchange(m_running, {})) {
            if (each.ends > m_clock.now()) {
                m_running.push_back(each);
                continue;
            }
            const auto pieces = static_cast<int>(each.call.pieces.size());
            const std::chrono::duration<double> share =
                (makeCapacity().callOverhead + makeCapacity().timePerPiece * pieces)
                / static_cast<double>(pieces);
            const std::vector<piece_result> results(each.call.pieces.size(),
                                                    piece_result{std::string("a/1")});
            for (const auto &outcome :
                 m_pools[each.stage]->onEnd(each.call.id, stage_call_end::Answered, results))
                onOutcome(outcome, share);
        }
    }

    void onOutcome(const piece_outcome &outcome, std::chrono::duration<double> work)
    {
        const auto submitted = m_pieces.extract(outcome.token);
        if (submitted.empty()) {
            result.discarded += work; // withdrawn
            return;
        }
        const auto piece = submitted.mapped();
        const auto found = m_requests.find(piece.request);
        auto &each = found->second;
        each.work += work;
        std::erase(each.pieces, outcome.token);
        report(each, m_poolKeys[piece.stage],
               m_pools[piece.stage]->expectedWait(each.rank,
                                                  static_cast<double>(Servers[piece.stage]), 0));
        if (each.abandoned || std::holds_alternative<piece_failure>(outcome.result)) {
            end(piece.request, false);
            return;
        }
        if (!each.pieces.empty())
            return;
        m_estimators[each.node]->onStage(m_poolKeys[piece.stage], each.rank,
                                         std::chrono::duration_cast<std::chrono::microseconds>(
                                             m_clock.now() - each.stageSubmittedAt));
        if (piece.stage + 1 < Stages)
            submitStage(piece.request, piece.stage + 1);
        else
            end(piece.request, true);
    }

    void end(std::uint64_t id, bool isComplete)
    {
        const auto each = m_requests.extract(id).mapped();
        const auto took = std::chrono::duration_cast<milliseconds>(m_clock.now() - each.at);
        const auto engineTime = m_estimators[each.node]->firstAnswerTime(Engine, PromptTokens);
        const bool inTime = isComplete && took + engineTime <= Objective;
        result.inTime += inTime ? 1 : 0;
        result.urgentInTime += inTime && each.rank == Urgent ? 1 : 0;
        result.late += isComplete && !inTime ? 1 : 0;
        if (!isComplete) {
            ++(each.work.count() > 0 ? result.failedAfterWork : result.refusedBeforeWork);
            result.longestRefusal = std::max(result.longestRefusal, took);
            result.discarded += each.work;
        }
        for (const auto token : each.pieces) {
            for (auto &pool : m_pools)
                pool->withdraw(token);
            m_pieces.erase(token);
        }
        if (!each.abandoned)
            m_admission->release(m_allowances[each.node].get(), id);
    }

    admission_policy m_policy;
    manual_clock m_clock;
    std::minstd_rand m_random;
    service_retry_budget m_retryBudget{m_clock, {0.0, 1000.0, milliseconds{10'000}}};
    configuration_ptr m_configuration;
    route m_route;
    std::vector<pool_key> m_poolKeys;
    std::vector<std::uint32_t> m_counts = std::vector<std::uint32_t>(Stages, PiecesPerStage);
    std::vector<std::unique_ptr<stage_pool>> m_pools;
    std::array<std::vector<server_ptr>, Stages> m_servers;
    std::vector<std::unique_ptr<latency_estimator>> m_estimators;
    std::vector<std::unique_ptr<unasked_allowance>> m_allowances;
    std::unique_ptr<stage_admission> m_admission;
    std::vector<running_call> m_running;
    std::map<std::uint64_t, request> m_requests;
    std::map<piece_token, submitted_piece> m_pieces;
    std::uint64_t m_lastRequest = 0;
    piece_token m_lastToken = 0;
};

/// Requests per second that use all of the middle pool: 87 pieces per second, two for each request.
constexpr double FullLoad = 43.5;

void report(const char *name, const load_result &result)
{
    UNSCOPED_INFO(
        name << ": of " << result.requests << ' ' << result.inTime << " in time, " << result.late
             << " late, " << result.refusedBeforeWork << " refused before work, "
             << result.failedAfterWork << " failed after work, " << result.discarded.count()
             << " s discarded, " << result.urgentInTime << " of " << result.urgent
             << " urgent in time, longest refusal " << result.longestRefusal.count() << " ms");
}

load_result runBurst(admission_policy admission, unsigned seed)
{
    pipeline_emulator emulator(admission, seed);
    emulator.run(0.6 * FullLoad, milliseconds{3000});
    emulator.run(1.8 * FullLoad, milliseconds{6000});
    emulator.run(0.6 * FullLoad, milliseconds{3000});
    emulator.finish();
    return emulator.result;
}

} // namespace

TEST_CASE("whole request admission discards less work in a burst on the middle of three stages")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto before = runBurst(admission_policy::PiecesAlone, seed);
        const auto after = runBurst(admission_policy::WholeRequests, seed);
        INFO("seed " << seed);
        report("pieces alone", before);
        report("whole requests", after);
        CHECK(after.discarded < before.discarded / 3);
        CHECK(after.failedAfterWork < before.failedAfterWork / 3);
        CHECK(after.inTime > 0.97 * before.inTime);
        CHECK(after.urgentInTime >= before.urgentInTime);
    }
}

// Guards against requests that wait for reservations which their host has forgotten.
TEST_CASE("requests are served as before while hosts that restart have no reservations")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        pipeline_emulator emulator(admission_policy::WholeRequests, seed);
        for (int i = 0; i < 6; ++i) {
            emulator.run(1.8 * FullLoad, milliseconds{1000});
            emulator.restartHosts();
        }
        emulator.finish();
        INFO("seed " << seed);
        report("restarting hosts", emulator.result);
        const auto &result = emulator.result;
        CHECK(result.urgentInTime > 0.95 * result.urgent);
        CHECK(result.inTime + result.late + result.refusedBeforeWork + result.failedAfterWork
              == result.requests);
        CHECK(emulator.reservedPieces() == 0);
    }
}

// Guards against capacity that stays reserved for the requests of a node that has failed silently.
TEST_CASE("the reservations of a node that fails lapse")
{
    pipeline_emulator emulator(admission_policy::WholeRequests, 1);
    emulator.run(1.8 * FullLoad, milliseconds{2000});
    REQUIRE(emulator.reservedPieces() > 0);
    for (std::size_t node = 0; node < Nodes; ++node)
        emulator.endNode(node);
    emulator.finish();
    CHECK(emulator.reservedPieces() == 0);
}
