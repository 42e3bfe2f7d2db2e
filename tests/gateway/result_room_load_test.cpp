#include "gateway/stages/stage_pool.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

/// Load patterns on one stage pool whose servers have little storage for results, without network
/// and with simulated time. The pool is the first stage of the deployment with scarce result
/// storage: 8 servers, calls of at most 8 pieces of 150 ms plus 16 ms per piece, 42 MB for results
/// of 3 MB. Results are held for 0.7 s after their call, so the storage suffices for about 115
/// pieces per second and the servers' time for 230.
namespace {

constexpr milliseconds Step{5};
constexpr std::size_t Servers = 8;
constexpr std::uint64_t Room = 42'000'000;
constexpr std::uint64_t LargeBytes = 3'000'000;
constexpr std::uint64_t SmallBytes = 30'000;
constexpr std::uint32_t PiecesPerRequest = 4;
/// Requests with large results per second outside bursts: 0.65 of what the storage suffices for.
constexpr double UsualRate = 19;
constexpr double Burst = 2.4;
constexpr double SmallRate = 60;
constexpr stage_rank Urgent{0, 0};
constexpr stage_rank NonUrgent{0, 2};

stage_capacity makeCapacity(std::uint64_t room)
{
    stage_capacity capacity;
    capacity.maxPiecesPerCall = 8;
    capacity.callOverhead = milliseconds{150};
    capacity.timePerPiece = std::chrono::microseconds{16'000};
    capacity.resultMemoryBytes = room;
    capacity.resultLifetime = milliseconds{4000};
    return capacity;
}

milliseconds fullCall()
{
    return milliseconds{150 + 8 * 16};
}

struct emulator_options
{
    std::uint64_t room = Room;
    bool usesRoom = true;
    bool learnsSizes = true;
    double sizeBias = 1.0; ///< mean of actual sizes divided by published ones
    milliseconds hold{700}; ///< from the end of a call to the free
    unsigned seed = 1;
};

struct outcome_counts
{
    int requests = 0;
    int inTime = 0;
    int late = 0;
    std::vector<milliseconds> refusedAfter;
    std::size_t computed = 0; ///< pieces
    std::size_t wasted = 0; ///< pieces computed for requests that were refused

    [[nodiscard]] milliseconds medianRefusal() const
    {
        auto sorted = refusedAfter;
        std::ranges::sort(sorted);
        return sorted.empty() ? milliseconds{0} : sorted[sorted.size() / 2];
    }
    [[nodiscard]] double wastedShare() const
    {
        return static_cast<double>(wasted)
            / static_cast<double>(std::max<std::size_t>(computed, 1));
    }
};

/// Runs requests against a pool and emulates the storage of its servers.
class room_emulator
{
public:
    explicit room_emulator(const emulator_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_sizeRandom(options.seed + 1)
    {
        m_pool.setCapacity(makeCapacity(options.room));
        m_pool.setUsesResultRoom(options.usesRoom);
        if (!options.learnsSizes)
            m_pool.setLearnsResultSizes(false);
        for (std::size_t i = 0; i < Servers; ++i) {
            auto added = std::make_shared<server>();
            added->record.id = backend_server_id("s" + std::to_string(i));
            added->record.dataCenter = data_center_id("dc");
            m_servers.push_back(added);
        }
    }

    /// Runs Poisson streams of large requests, of which a quarter is urgent, and of small ones.
    void run(double largePerSecond, double smallPerSecond, milliseconds span)
    {
        for (const auto end = m_clock.now() + span; m_clock.now() < end;) {
            submitArrivals(largePerSecond / 4, Urgent, PiecesPerRequest, LargeBytes);
            submitArrivals(largePerSecond * 3 / 4, NonUrgent, PiecesPerRequest, LargeBytes);
            submitArrivals(smallPerSecond, Urgent, 1, SmallBytes);
            step();
        }
    }
    void finish() { run(0, 0, milliseconds{8000}); }
    void submitLarge(int requests)
    {
        for (int i = 0; i < requests; ++i)
            submitRequest(NonUrgent, PiecesPerRequest, LargeBytes, milliseconds{60'000});
    }
    /// Sets whether requests that free results are lost. Servers keep these results until they
    /// expire.
    void loseFrees(bool lost) { m_losesFrees = lost; }

    outcome_counts large;
    outcome_counts small;
    std::size_t calls = 0;
    std::size_t piecesOfCalls = 0;
    std::size_t refusedForRoom = 0;
    std::size_t roomyCalls = 0; ///< to servers with storage for a full call, while one waited
    std::size_t piecesOfRoomyCalls = 0;
    std::uint64_t mostHeldBytes = 0; ///< at a server, by the account
    std::size_t idleWhileSmallWait =
        0; ///< steps after which a server is idle and small pieces wait

    [[nodiscard]] double meanPieces() const
    {
        return static_cast<double>(piecesOfCalls)
            / static_cast<double>(std::max<std::size_t>(calls, 1));
    }
    [[nodiscard]] std::size_t waiting() const { return m_pool.waiting(); }

private:
    struct request
    {
        outcome_counts *counts = nullptr;
        steady_time at;
        steady_time softDeadline;
        std::vector<piece_token> open; ///< tokens of pieces without an outcome
        std::vector<std::string> handles;
        bool refused = false;
    };
    struct running_call
    {
        stage_call call;
        steady_time ends;
    };
    struct stored_result
    {
        std::string server;
        double bytes = 0;
        steady_time freeAt; ///< freed by its request
        steady_time expiresAt;
        bool freeLost = false;
    };

    void submitArrivals(double perSecond, const stage_rank &rank, std::uint32_t pieces,
                        std::uint64_t bytes)
    {
        const double mean = perSecond * std::chrono::duration<double>(Step).count();
        const int count = mean > 0 ? std::poisson_distribution<int>(mean)(m_random) : 0;
        for (int i = 0; i < count; ++i)
            submitRequest(rank, pieces, bytes, milliseconds{rank == Urgent ? 900 : 1600});
    }

    void submitRequest(const stage_rank &rank, std::uint32_t pieces, std::uint64_t bytes,
                       milliseconds softDeadline)
    {
        const auto id = "r" + std::to_string(++m_lastRequest);
        auto &entry = m_requests[id];
        entry.counts = bytes == LargeBytes ? &large : &small;
        entry.at = m_clock.now();
        entry.softDeadline = entry.at + softDeadline;
        ++entry.counts->requests;
        for (std::uint32_t i = 0; i < pieces; ++i) {
            piece_task job;
            job.token = ++m_lastToken;
            job.request.attempt = id;
            job.request.piece = i;
            job.rank = rank;
            job.resultBytes = bytes;
            job.softDeadline = entry.softDeadline;
            job.deadline = job.softDeadline + milliseconds{2400};
            entry.open.push_back(job.token);
            m_requestOf[job.token] = id;
            m_pool.submit(std::move(job));
        }
    }

    void step()
    {
        for (const auto &each : m_pool.expire(static_cast<double>(m_servers.size())))
            onOutcome(each);
        std::map<std::string, std::uint64_t> heldBefore;
        for (const auto &each : m_servers) {
            heldBefore[each->record.id.value] = m_pool.heldBytesAt(each->record.start());
            mostHeldBytes = std::max(mostHeldBytes, heldBefore[each->record.id.value]);
        }
        while (const auto call = m_pool.nextCall(m_servers)) {
            const auto size = call->pieces.size();
            const auto held = heldBefore[call->server->record.id.value];
            if (held + 8 * LargeBytes <= m_options.room && m_pool.waiting() + size >= 8) {
                ++roomyCalls;
                piecesOfRoomyCalls += size;
            }
            const auto capacity = makeCapacity(m_options.room);
            const auto work = capacity.callOverhead
                + capacity.timePerPiece * static_cast<int>(call->pieces.size());
            m_running.push_back({*call, m_clock.now() + work});
            ++calls;
            piecesOfCalls += call->pieces.size();
        }
        if (hasIdleServerForSmall() && smallPiecesWait())
            ++idleWhileSmallWait;
        m_clock.advance(Step);
        for (auto &each : std::exchange(m_running, {})) {
            if (each.ends > m_clock.now())
                m_running.push_back(std::move(each));
            else
                answer(each.call);
        }
        freeResults();
    }

    /// Returns whether an idle server actually has storage for any small result.
    [[nodiscard]] bool hasIdleServerForSmall()
    {
        return std::ranges::any_of(m_servers, [&](const server_ptr &each) {
            const bool busy = std::ranges::any_of(
                m_running, [&](const running_call &call) { return call.call.server == each; });
            return !busy
                && m_storedBytes[each->record.id.value] + 2.0 * SmallBytes
                <= static_cast<double>(m_options.room);
        });
    }
    [[nodiscard]] bool smallPiecesWait() const
    {
        return std::ranges::any_of(m_requests, [&](const auto &entry) {
            const auto &[id, each] = entry;
            return each.counts == &small && !each.open.empty() && !isRunning(id);
        });
    }
    [[nodiscard]] bool isRunning(const std::string &id) const
    {
        return std::ranges::any_of(m_running, [&](const running_call &each) {
            return std::ranges::any_of(
                each.call.pieces, [&](const piece_request &piece) { return piece.attempt == id; });
        });
    }

    // The server computes all pieces, then stores the results that fit.
    void answer(const stage_call &call)
    {
        const auto name = call.server->record.id.value;
        std::vector<piece_result> results;
        for (const auto &piece : call.pieces) {
            auto &entry = m_requests[piece.attempt];
            const bool isLarge = entry.counts != &small;
            const double bytes = static_cast<double>(isLarge ? LargeBytes : SmallBytes)
                * m_options.sizeBias
                * std::uniform_real_distribution<double>(0.5, 1.5)(m_sizeRandom);
            if (m_storedBytes[name] + bytes > static_cast<double>(m_options.room)) {
                results.emplace_back(piece_failure::NoRoom);
                ++refusedForRoom;
                continue;
            }
            const auto handle = "h/" + std::to_string(++m_lastHandle);
            m_storedBytes[name] += bytes;
            m_stored[handle] = {name, bytes, m_clock.now() + m_options.hold,
                                m_clock.now() + milliseconds{4000}};
            results.emplace_back(handle);
            (isLarge ? large : small).computed += 1;
            if (entry.refused) {
                ++entry.counts->wasted;
                m_stored[handle].freeAt = m_clock.now();
            }
        }
        for (const auto &each : m_pool.onEnd(call.id, stage_call_end::Answered, results))
            onOutcome(each);
    }

    void onOutcome(const piece_outcome &outcome)
    {
        const auto found = m_requestOf.find(outcome.token);
        if (found == m_requestOf.end())
            return;
        auto &entry = m_requests[found->second];
        m_requestOf.erase(found);
        std::erase(entry.open, outcome.token);
        if (entry.refused)
            return;
        if (std::holds_alternative<piece_failure>(outcome.result)) {
            refuse(entry);
            return;
        }
        entry.handles.push_back(std::get<std::string>(outcome.result));
        if (entry.open.empty())
            ++(m_clock.now() <= entry.softDeadline ? entry.counts->inTime : entry.counts->late);
    }

    void refuse(request &entry)
    {
        entry.refused = true;
        entry.counts->refusedAfter.push_back(
            std::chrono::duration_cast<milliseconds>(m_clock.now() - entry.at));
        entry.counts->wasted += entry.handles.size();
        for (const auto &handle : entry.handles)
            m_stored[handle].freeAt = m_clock.now();
        for (const auto token : entry.open)
            m_pool.withdraw(token);
    }

    void freeResults()
    {
        for (auto &[handle, each] : m_stored)
            each.freeLost = each.freeLost || (m_losesFrees && each.freeAt <= m_clock.now());
        std::erase_if(m_stored, [&](const auto &entry) {
            const auto &[handle, each] = entry;
            const bool freed = each.freeAt <= m_clock.now() && !each.freeLost;
            if (!freed && each.expiresAt > m_clock.now())
                return false;
            m_storedBytes[each.server] -= each.bytes;
            if (freed)
                m_pool.onFreed(handle);
            return true;
        });
    }

    emulator_options m_options;
    manual_clock m_clock;
    std::minstd_rand m_random; ///< for arrivals, the same whatever the pool does
    std::minstd_rand m_sizeRandom;
    service_retry_budget m_retryBudget{m_clock, {0.0, 1000.0, milliseconds{10'000}}};
    stage_pool m_pool{m_clock, service_id("s"), m_retryBudget};
    std::vector<server_ptr> m_servers;
    std::vector<running_call> m_running;
    std::map<std::string, request> m_requests;
    std::map<piece_token, std::string> m_requestOf;
    std::map<std::string, stored_result> m_stored; ///< by handle
    std::map<std::string, double> m_storedBytes; ///< by server
    bool m_losesFrees = false;
    piece_token m_lastToken = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastHandle = 0;
};

/// Runs the usual load, a burst of requests with large results, and the usual load again.
std::unique_ptr<room_emulator> runBurst(const emulator_options &options)
{
    auto emulator = std::make_unique<room_emulator>(options);
    emulator->run(UsualRate, SmallRate, milliseconds{3000});
    emulator->run(UsualRate * Burst, SmallRate, milliseconds{6000});
    emulator->run(UsualRate, SmallRate, milliseconds{3000});
    emulator->finish();
    return emulator;
}

std::string describe(const room_emulator &emulator)
{
    return "large: " + std::to_string(emulator.large.inTime) + " in time, "
        + std::to_string(emulator.large.late) + " late, "
        + std::to_string(emulator.large.refusedAfter.size()) + " refused (median ms "
        + std::to_string(emulator.large.medianRefusal().count()) + ") of "
        + std::to_string(emulator.large.requests) + ", wasted "
        + std::to_string(emulator.large.wasted) + " of " + std::to_string(emulator.large.computed)
        + "; small: " + std::to_string(emulator.small.inTime) + " of "
        + std::to_string(emulator.small.requests) + "; refused for room "
        + std::to_string(emulator.refusedForRoom) + ", pieces per call "
        + std::to_string(emulator.meanPieces());
}

} // namespace

// Guards against a server that is idle although pieces that fit wait, after one piece was refused.
TEST_CASE("result_room load: no server is idle while small pieces wait")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto before = runBurst({.usesRoom = false, .sizeBias = 1.3, .seed = seed});
        const auto after = runBurst({.sizeBias = 1.3, .seed = seed});
        INFO("seed " << seed << "\nbefore " << describe(*before) << "\nafter " << describe(*after));
        CHECK(before->idleWhileSmallWait > 0);
        CHECK(after->idleWhileSmallWait == 0);
        CHECK(after->small.inTime >= before->small.inTime);
    }
}

// Guards against a published size that is too small for all results: without learning, each server
// is refused results again and again.
TEST_CASE("result_room load: learnt sizes reduce refusals where results are larger than published")
{
    for (const double bias : {1.15, 1.3}) {
        int corrected = 0;
        int learnt = 0;
        std::size_t correctedRefusals = 0;
        std::size_t learntRefusals = 0;
        std::size_t correctedWaste = 0;
        std::size_t learntWaste = 0;
        for (const unsigned seed : {1U, 2U, 3U}) {
            const auto first = runBurst({.learnsSizes = false, .sizeBias = bias, .seed = seed});
            const auto second = runBurst({.sizeBias = bias, .seed = seed});
            corrected += first->large.inTime;
            learnt += second->large.inTime;
            correctedRefusals += first->refusedForRoom;
            learntRefusals += second->refusedForRoom;
            correctedWaste += first->large.wasted;
            learntWaste += second->large.wasted;
        }
        INFO("bias " << bias);
        // Each refused result was computed for nothing, and counts as a try of its piece.
        CHECK(learntRefusals * 4 < correctedRefusals * 3);
        CHECK(learntWaste < correctedWaste);
        CHECK(learnt * 20 >= corrected * 19);
    }
}

// Guards against admitting far more requests than results can be stored for: they were refused
// after 440 to 1070 ms, with some of their pieces computed.
TEST_CASE("result_room load: in a burst of large results refusals come at once and waste little")
{
    for (const auto room : {Room, Room / 2}) {
        for (const unsigned seed : {1U, 2U, 3U}) {
            const auto before = runBurst({.room = room, .usesRoom = false, .seed = seed});
            const auto after = runBurst({.room = room, .seed = seed});
            INFO("room " << room << " seed " << seed << "\nbefore " << describe(*before)
                         << "\nafter " << describe(*after));
            CHECK(after->large.inTime > before->large.inTime);
            CHECK(after->small.inTime >= before->small.inTime);
            CHECK(after->large.medianRefusal() <= fullCall());
            CHECK(after->large.wastedShare() <= 0.1);
        }
    }
}

// Guards against calls that carry few pieces, or servers that idle, while many pieces wait: calls
// had 3.5 to 5.4 pieces of 8 with up to 170 waiting.
TEST_CASE("result_room load: calls are full while 100 large pieces wait beside small ones")
{
    room_emulator emulator({.hold = milliseconds{750}}); // 1.0 s with the call
    for (int round = 0; round < 20; ++round) {
        const auto waiting = static_cast<int>(emulator.waiting());
        emulator.submitLarge(std::max(0, 100 - waiting) / static_cast<int>(PiecesPerRequest));
        emulator.run(0, 100, milliseconds{300});
    }
    INFO(describe(emulator));
    CHECK(emulator.idleWhileSmallWait == 0);
    REQUIRE(emulator.roomyCalls > 0);
    CHECK(static_cast<double>(emulator.piecesOfRoomyCalls)
              / static_cast<double>(emulator.roomyCalls)
          >= 6.5);
}

// Guards against an account that grows, or a pool that doesn't recover, when requests that free
// results are lost.
TEST_CASE("result_room load: after frees were lost the pool recovers when the results expire")
{
    room_emulator emulator({});
    emulator.run(UsualRate, SmallRate, milliseconds{3000});
    emulator.loseFrees(true);
    emulator.run(UsualRate, SmallRate, milliseconds{1000});
    emulator.loseFrees(false);
    emulator.run(UsualRate, SmallRate, milliseconds{5500}); // lifetime, and a call and a hold time
    CHECK(emulator.mostHeldBytes <= Room);
    emulator.run(0, SmallRate, milliseconds{1600}); // earlier requests end
    emulator.large = {};
    emulator.run(UsualRate, SmallRate, milliseconds{5000});
    emulator.finish();
    INFO(describe(emulator));
    CHECK(emulator.large.inTime * 100 >= emulator.large.requests * 95);
}
