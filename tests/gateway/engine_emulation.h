#pragma once

#include "gateway/placement/placement_board.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// A fleet of model engines with emulated time. Requests arrive at given times, are placed by
/// boards, and are read by the engines one after the other.
///
/// The times are those of the measured engines: 15 ms and 32 µs for each prompt token that an
/// engine of nominal speed does not keep.
class engine_emulation
{
public:
    struct shape
    {
        std::size_t engines = 60;
        std::uint64_t keptTokens = 200'000; ///< per engine
        std::vector<double> speeds{1.0}; ///< time factors; of the engines in turn
        bool noisyNeighbours = false; ///< 15 % of the time, 2.5 times slower for 0.6 s
        disabled_policies without;
        std::uint32_t seed = 1;
    };
    struct arrival
    {
        double at = 0; ///< s
        std::vector<prompt_part> prompt;
        double answerTime = 2; ///< s from the first token to the end
        std::size_t board = 0;
    };
    struct outcome
    {
        std::vector<double> firstTokens; ///< s from the arrival to the first token
        double readAgain =
            0; ///< tokens of shared parts that an engine of the fleet had read before
        double readAgainKept = 0; ///< those that another running engine keeps
        std::size_t retried = 0; ///< requests sent again after their engine crashed

        /// Adds the outcome of another run.
        void add(const outcome &other)
        {
            std::ranges::copy(other.firstTokens, std::back_inserter(firstTokens));
            readAgain += other.readAgain;
            readAgainKept += other.readAgainKept;
            retried += other.retried;
        }
        [[nodiscard]] double meanFirstToken() const
        {
            double sum = 0;
            for (const double each : firstTokens)
                sum += each;
            return sum / static_cast<double>(std::max<std::size_t>(1, firstTokens.size()));
        }
        [[nodiscard]] double quantile(double share) const
        {
            auto sorted = firstTokens;
            std::ranges::sort(sorted);
            return sorted.empty()
                ? 0.0
                : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        }
    };

    engine_emulation(shape wanted, std::size_t boards)
        : m_shape(std::move(wanted))
        , m_random(m_shape.seed)
    {
        m_clock.advance(std::chrono::seconds{60});
        for (std::size_t i = 0; i < m_shape.engines; ++i)
            startEngine(i, 1);
        for (std::size_t i = 0; i < boards; ++i)
            m_boards.push_back(makeBoard());
    }

    void add(arrival each)
    {
        const double at = each.at;
        auto request = std::make_shared<running_request>();
        request->what = std::move(each);
        schedule(at, [this, request] { place(request); });
    }
    /// Stops an engine, which the directory notices after 0.1 s; it comes back empty after `away`.
    void crash(std::size_t index, double at, double away)
    {
        schedule(at, [this, index] { stopEngine(index); });
        schedule(at + 0.1, [this, index] { m_directory.remove(idOf(index)); });
        schedule(at + away, [this, index] { startEngine(index, m_engines[index].starts + 1); });
    }
    /// Calls a function at a time, for events that the fleet doesn't know.
    void schedule(double at, std::function<void()> what)
    {
        m_events.push({at, ++m_lastEvent, std::move(what)});
    }
    /// Replaces a board by a new one, as when the host of the pool changes.
    void replaceBoard(std::size_t index, double at,
                      std::function<void(placement_board &)> prepare = {})
    {
        schedule(at, [this, index, prepare = std::move(prepare)] {
            m_retired.push_back(std::exchange(m_boards[index], makeBoard()));
            if (prepare)
                prepare(*m_boards[index]);
        });
    }
    /// Called when a request is placed.
    void onPlaced(std::function<void(const arrival &, const placement_result &)> handler)
    {
        m_onPlaced = std::move(handler);
    }

    outcome run()
    {
        while (!m_events.empty()) {
            const auto next = m_events.top();
            m_events.pop();
            if (next.at > m_now)
                m_clock.advance(std::chrono::duration_cast<std::chrono::nanoseconds>(
                    std::chrono::duration<double>(next.at - m_now)));
            m_now = std::max(m_now, next.at);
            next.what();
        }
        return m_outcome;
    }

    [[nodiscard]] const clock_source &clock() const { return m_clock; }
    [[nodiscard]] placement_board &board(std::size_t index) { return *m_boards[index]; }

private:
    struct running_request
    {
        arrival what;
        std::size_t engine = 0;
        placement_board *board = nullptr;
        placement_id id = 0;
        std::vector<backend_server_id> tried;
        std::uint64_t attempt = 0; ///< events of earlier attempts are ignored
        bool answered = false;
    };
    struct emulated_engine
    {
        double speed = 1;
        double freeAt = 0; ///< s; when it has read all prompts
        std::uint64_t starts = 0;
        std::map<std::string, std::pair<std::uint64_t, double>> kept; ///< tokens and last use
        std::uint64_t keptTokens = 0;
        std::vector<std::shared_ptr<running_request>> running;
        bool up = false;
        std::vector<double> noise; ///< begins of the slow times, as far as they were drawn
        std::minstd_rand random;
    };
    struct event
    {
        double at;
        std::uint64_t number;
        std::function<void()> what;

        friend bool operator<(const event &left, const event &right)
        {
            return std::pair(left.at, left.number) > std::pair(right.at, right.number);
        }
    };

    static backend_server_id idOf(std::size_t index)
    {
        return backend_server_id("e" + std::to_string(index));
    }
    std::unique_ptr<placement_board> makeBoard()
    {
        auto board = std::make_unique<placement_board>(m_clock, m_directory, m_shape.without);
        // The board uses 0.7 of the published capacity.
        board->setCapacity(service_id("s"), m_shape.keptTokens * 10 / 7);
        return board;
    }
    void startEngine(std::size_t index, std::uint64_t starts)
    {
        if (m_engines.size() <= index)
            m_engines.resize(index + 1);
        auto &engine = m_engines[index];
        engine.starts = starts;
        engine.up = true;
        engine.speed = m_shape.speeds[index % m_shape.speeds.size()];
        engine.freeAt = m_now;
        engine.random.seed(m_shape.seed * 1000 + static_cast<std::uint32_t>(index) + 1);
        server_record record;
        record.id = idOf(index);
        record.startedAt = starts;
        record.service = service_id("s");
        record.slots = 64;
        m_directory.put(record);
    }
    void stopEngine(std::size_t index)
    {
        auto &engine = m_engines[index];
        engine.up = false;
        engine.kept.clear();
        engine.keptTokens = 0;
        for (const auto &each : std::exchange(engine.running, {})) {
            if (each->answered)
                continue; // continued elsewhere without its prompt's being measured
            ++m_outcome.retried;
            ++each->attempt;
            each->board->onEnd(each->id);
            each->tried.push_back(idOf(index));
            place(each);
        }
    }
    void place(const std::shared_ptr<running_request> &request)
    {
        placement_query query;
        query.pool.service = service_id("s");
        query.prompt = request->what.prompt;
        query.exclude = request->tried;
        request->board = m_boards[request->what.board].get();
        request->id = ++m_lastId;
        const auto placed = request->board->place(request->id, query);
        if (!placed.server) {
            request->tried.clear();
            schedule(m_now + 0.1, [this, request] { place(request); });
            return;
        }
        if (m_onPlaced)
            m_onPlaced(request->what, placed);
        request->engine = std::stoul(placed.server->record.id.value.substr(1));
        auto &engine = m_engines[request->engine];
        if (!engine.up) {
            ++m_outcome.retried;
            request->board->onEnd(request->id);
            request->tried.push_back(idOf(request->engine));
            schedule(m_now + 0.002, [this, request] { place(request); });
            return;
        }
        engine.running.push_back(request);
        const double begin = std::max(m_now, engine.freeAt);
        schedule(begin, [this, request, attempt = request->attempt] { read(request, attempt); });
        engine.freeAt = finishOf(engine, begin, workOf(engine, request->what));
    }
    // Nominal seconds. Requests that are read later find the parts of those before them.
    double workOf(const emulated_engine &engine, const arrival &what) const
    {
        return 0.015 + 32e-6 * static_cast<double>(uncached(engine, what, true));
    }
    static std::uint64_t uncached(const emulated_engine &engine, const arrival &what, bool queued)
    {
        std::uint64_t tokens = 0;
        bool kept = true;
        for (std::size_t i = 0; i < what.prompt.size(); ++i) {
            const auto &part = what.prompt[i];
            const bool isQueued =
                queued && std::ranges::any_of(engine.running, [&](const auto &each) {
                    return &each->what != &what && i < each->what.prompt.size()
                        && each->what.prompt[i].id == part.id;
                });
            kept = kept && (engine.kept.contains(part.id) || isQueued);
            tokens += kept ? 0 : part.tokens;
        }
        return tokens;
    }
    // Advances through the slow times of the engine.
    double finishOf(emulated_engine &engine, double begin, double work)
    {
        double at = begin;
        while (work > 1e-9) {
            const double factor = engine.speed * noiseAt(engine, at);
            const double step = std::min(work * factor, 0.02);
            work -= step / factor;
            at += step;
        }
        return at;
    }
    double noiseAt(emulated_engine &engine, double at)
    {
        if (!m_shape.noisyNeighbours)
            return 1.0;
        while (engine.noise.empty() || engine.noise.back() <= at) {
            std::exponential_distribution<double> gap(1 / 3.4);
            const double last = engine.noise.empty() ? 0.0 : engine.noise.back() + 0.6;
            engine.noise.push_back(last + gap(engine.random));
        }
        const auto after = std::ranges::upper_bound(engine.noise, at);
        return after != engine.noise.begin() && at < *std::prev(after) + 0.6 ? 2.5 : 1.0;
    }
    void read(const std::shared_ptr<running_request> &request, std::uint64_t attempt)
    {
        if (request->attempt != attempt)
            return;
        auto &engine = m_engines[request->engine];
        const auto tokens = uncached(engine, request->what, false);
        const auto &prompt = request->what.prompt;
        bool kept = true;
        for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
            kept = kept && engine.kept.contains(prompt[i].id);
            if (!kept && !m_everRead.insert(prompt[i].id).second) {
                m_outcome.readAgain += prompt[i].tokens;
                const bool keptElsewhere = std::ranges::any_of(
                    m_engines, [&](const auto &each) { return each.kept.contains(prompt[i].id); });
                m_outcome.readAgainKept += keptElsewhere ? prompt[i].tokens : 0;
            }
            keep(engine, prompt[i]);
        }
        const double end = finishOf(engine, m_now, 0.015 + 32e-6 * static_cast<double>(tokens));
        schedule(end, [this, request, attempt] { answer(request, attempt); });
    }
    void keep(emulated_engine &engine, const prompt_part &part)
    {
        const auto [entry, isNew] = engine.kept.try_emplace(part.id);
        entry->second = {part.tokens, m_now};
        engine.keptTokens += isNew ? part.tokens : 0;
        while (engine.keptTokens > m_shape.keptTokens) {
            const auto oldest = std::ranges::min_element(
                engine.kept, {}, [](const auto &each) { return each.second.second; });
            engine.keptTokens -= oldest->second.first;
            engine.kept.erase(oldest);
        }
    }
    void answer(const std::shared_ptr<running_request> &request, std::uint64_t attempt)
    {
        if (request->attempt != attempt)
            return;
        request->answered = true;
        auto &engine = m_engines[request->engine];
        const auto known = m_directory.find(idOf(request->engine));
        if (known && m_shape.noisyNeighbours)
            known->reportedTime = reported_time{
                static_cast<std::uint32_t>(100 * noiseAt(engine, m_now)), m_clock.now()};
        request->board->onFirstToken(request->id);
        m_outcome.firstTokens.push_back(m_now - request->what.at);
        schedule(m_now + request->what.answerTime, [this, request] {
            std::erase(m_engines[request->engine].running, request);
            request->board->onEnd(request->id);
        });
    }

    shape m_shape;
    std::minstd_rand m_random;
    manual_clock m_clock;
    server_directory m_directory{m_clock};
    std::vector<std::unique_ptr<placement_board>> m_boards;
    std::vector<std::unique_ptr<placement_board>> m_retired;
    std::vector<emulated_engine> m_engines;
    std::priority_queue<event> m_events;
    std::uint64_t m_lastEvent = 0;
    placement_id m_lastId = 0;
    double m_now = 0;
    std::set<std::string> m_everRead;
    outcome m_outcome;
    std::function<void(const arrival &, const placement_result &)> m_onPlaced;
};

/// Returns arrivals at random times with the given rate (requests per second) from `from` to `to`
/// (s); `make` fills the rest.
template <class Make>
std::vector<engine_emulation::arrival> poissonArrivals(std::minstd_rand &random, double rate,
                                                       double from, double to, Make make)
{
    std::vector<engine_emulation::arrival> all;
    std::exponential_distribution<double> gap(rate);
    for (double at = from + gap(random); at < to; at += gap(random)) {
        engine_emulation::arrival each = make();
        each.at = at;
        all.push_back(std::move(each));
    }
    return all;
}

} // namespace orchidlead::gateway
