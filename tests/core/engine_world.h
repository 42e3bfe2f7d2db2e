#pragma once

#include "core/engine_harness.h"

#include <orchidlead/random_source.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Random runs of the engine against a fake pool that keeps a history, with the invariants checked
/// after every event.
namespace orchidlead::tests {

/// One random event; its kind and details are drawn from the number, so that a failing run is a
/// list of numbers which can be shrunk and replayed.
using world_step = std::uint32_t;

/// How an attempt fared, as its backend server knows.
enum class attempt_fate { Open, NotRun, MayHaveRun };

struct attempt_record
{
    send_attempt action;
    attempt_fate fate = attempt_fate::Open;
    bool sent = false;
    bool refused = false; ///< by the server, in so many words
};

struct request_record
{
    std::shared_ptr<const pipeline_plan> plan;
    steady_time deadline;
    int answers = 0;
    bool lost = false; ///< its node restarted
};

template <class Policies>
class engine_world
{
public:
    /// `calm`: a third of the failures.
    explicit engine_world(bool calm)
        : m_calm(calm)
    {
        restart();
    }

    /// Plays the steps and then lets all deadlines pass; returns the first broken invariant.
    std::optional<std::string> run(const std::vector<world_step> &steps)
    {
        for (const world_step step : steps) {
            play(step);
            if (m_broken)
                return m_broken;
        }
        m_clock.advance(std::chrono::minutes{5});
        tick();
        checkEnd();
        return m_broken;
    }

    std::uint64_t requests() const { return m_requests.size(); }
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t secondTries() const { return m_secondTries; }

private:
    static constexpr std::size_t MaxGrave = 64;
    static constexpr std::size_t Services = 3;
    static constexpr std::array<const char *, Services> ServiceNames{"encode", "rank", "pay"};
    static constexpr int ServersEach = 4;

    void play(world_step step)
    {
        random_source random(step);
        const std::uint64_t kind = random.below(32);
        const std::uint64_t failures = m_calm ? 1 : 3;
        if (kind < 5)
            submit(random);
        else if (kind < 8)
            advance(random);
        else if (kind < 23 - failures)
            answer(random);
        else if (kind < 23)
            fail(random);
        else if (kind < 25)
            markSent(random);
        else if (kind < 26)
            answerForeign(random);
        else if (kind < 27)
            answerLate(random);
        else if (kind < 28)
            cancel(random);
        else if (kind < 29)
            changeServers(random);
        else if (kind < 30)
            reportLoad(random);
        else if (kind < 31)
            chunk(random);
        else if (random.below(64) == 0)
            restart();
        absorb();
    }

    void restart()
    {
        for (auto &[id, record] : m_requests)
            record.lost = record.lost || record.answers == 0;
        for (const attempt_key &key : m_open)
            bury(key);
        m_open.clear();
        engine_settings settings;
        settings.dataCenter = data_center_id{"a"};
        settings.maxQueuePerService = 40;
        m_engine = std::make_unique<basic_request_engine<Policies>>(settings, m_clock, 7);
        m_actions.clear();
        m_firstTries = 0;
        m_tries = 0;
        m_unusable.clear();
        publish();
    }

    void publish()
    {
        std::vector<service> services;
        for (const char *name : ServiceNames) {
            service made = makeService(name, ServersEach);
            made.servers[1].dataCenter = data_center_id{"b"};
            std::erase_if(made.servers, [this](const backend_server &server) {
                return m_unlisted.count(server.id) > 0;
            });
            services.push_back(made);
        }
        m_engine->setServices(1, services, m_actions);
        m_engine->setListedLeaving({m_leaving.begin(), m_leaving.end()}, m_actions);
        m_unusable = m_unlisted;
        m_unusable.insert(m_leaving.begin(), m_leaving.end());
    }

    static backend_server_id anyServer(random_source &random)
    {
        const std::string name = ServiceNames[random.below(Services)];
        return backend_server_id{name + "-" + std::to_string(1 + random.below(ServersEach))};
    }

    void changeServers(random_source &random)
    {
        auto &set = random.below(2) == 0 ? m_unlisted : m_leaving;
        const backend_server_id server = anyServer(random);
        constexpr std::size_t MostUnusable = 3; // of each kind, so that some work gets done
        if (set.erase(server) == 0 && set.size() < MostUnusable)
            set.insert(server);
        publish();
    }

    void submit(random_source &random)
    {
        auto plan = std::make_shared<pipeline_plan>(makePlan({"encode", "rank", "pay"}));
        plan->customer = customer_id{"c" + std::to_string(random.below(5))};
        plan->priority = static_cast<priority>(random.below(3));
        plan->stages[2].repeatable = random.below(2) == 0;
        plan->stages[2].kind = service_kind::Engine;
        if (random.below(2) == 0)
            plan->stages[1].inputs.clear();
        plan->stages[2].inputs = {0, 1};
        if (random.below(4) == 0)
            plan->stages[1].timeout = milliseconds{30};
        pipeline_request request;
        request.id = request_id{"r" + std::to_string(++m_lastRequest)};
        request.plan = plan;
        request.input = std::make_shared<std::string>(request.id.value);
        request.deadline = m_clock.now() + milliseconds{5 + random.below(900)};
        request.stream = random.below(4) == 0;
        m_requests[request.id] = {plan, request.deadline, 0, false};
        m_engine->submit(request, m_actions);
    }

    void advance(random_source &random)
    {
        m_clock.advance(std::chrono::microseconds{random.below(10'000)});
        tick();
    }

    void tick()
    {
        m_engine->tick(m_actions);
        absorb();
        for (const auto &[id, record] : m_requests) {
            if (record.answers == 0 && !record.lost && record.deadline <= m_clock.now())
                breakWith("request " + id.value + " is held past its deadline");
        }
        // Requests that have ended are kept for the checks until no attempt can name them.
        if (m_requests.size() > 4'000)
            forgetEnded();
    }

    void forgetEnded()
    {
        std::set<request_id> named;
        for (const attempt_key &key : m_grave)
            named.insert(key.request);
        std::erase_if(m_requests, [&named](const auto &entry) {
            return (entry.second.answers > 0 || entry.second.lost) && named.count(entry.first) == 0;
        });
        std::erase_if(m_history, [this](const auto &entry) {
            return m_requests.count(entry.first.request) == 0;
        });
    }

    std::optional<attempt_key> anyOpen(random_source &random) const
    {
        if (m_open.empty())
            return std::nullopt;
        return m_open[random.below(m_open.size())];
    }

    static std::string outputOf(const attempt_key &key)
    {
        return key.request.value + "/" + std::to_string(key.stage);
    }

    void end(const attempt_key &key, attempt_fate fate)
    {
        m_history[key].fate = fate;
        std::erase(m_open, key);
        bury(key);
    }

    void bury(const attempt_key &key)
    {
        m_grave.push_back(key);
        if (m_grave.size() > MaxGrave)
            m_grave.erase(m_grave.begin());
    }

    void deliver(const attempt_key &key, const attempt_key &echoed)
    {
        attempt_answer answer;
        answer.key = key;
        answer.echoed = echoed;
        answer.output = std::make_shared<std::string>(outputOf(echoed));
        m_engine->onAnswer(answer, m_actions);
    }

    void answer(random_source &random)
    {
        const auto key = anyOpen(random);
        if (!key)
            return;
        end(*key, attempt_fate::MayHaveRun);
        deliver(*key, *key);
        if (random.below(8) == 0) {
            absorb();
            deliver(*key, *key);
        }
    }

    void answerForeign(random_source &random)
    {
        const auto key = anyOpen(random);
        const auto other = anyOpen(random);
        if (!key || !other || *key == *other)
            return;
        end(*key, attempt_fate::MayHaveRun);
        deliver(*key, *other);
    }

    void answerLate(random_source &random)
    {
        if (m_grave.empty())
            return;
        const attempt_key key = m_grave[random.below(m_grave.size())];
        deliver(key, key);
    }

    void markSent(random_source &random)
    {
        if (const auto key = anyOpen(random)) {
            m_history[*key].sent = true;
            m_engine->onSent(*key);
        }
    }

    void fail(random_source &random)
    {
        const auto key = anyOpen(random);
        if (!key)
            return;
        auto failure =
            static_cast<attempt_failure>(random.below(enumNames<attempt_failure>.size()));
        if (failure == attempt_failure::NotSent && m_history[*key].sent)
            failure = attempt_failure::Broken;
        const bool proven = provesNotRun({failure, m_history[*key].sent});
        m_history[*key].refused =
            failure == attempt_failure::Refused || failure == attempt_failure::Leaving;
        end(*key, proven ? attempt_fate::NotRun : attempt_fate::MayHaveRun);
        m_engine->onFailure(*key, failure, std::nullopt, m_actions);
    }

    void chunk(random_source &random)
    {
        if (const auto key = anyOpen(random))
            m_engine->onChunk(*key, key->request.value, m_actions);
    }

    void cancel(random_source &random)
    {
        if (const auto key = anyOpen(random))
            m_engine->cancel(key->request, m_actions);
    }

    void reportLoad(random_source &random)
    {
        load_report report;
        report.server = anyServer(random);
        report.running = static_cast<std::uint32_t>(random.below(10));
        m_engine->onLoadReport(report, m_actions);
    }

    void absorb()
    {
        while (!m_actions.empty()) {
            engine_actions actions;
            actions.swap(m_actions);
            for (const engine_action &action : actions)
                absorbOne(action);
        }
    }

    void absorbOne(const engine_action &action)
    {
        if (const auto *sent = std::get_if<send_attempt>(&action))
            onSend(*sent);
        else if (const auto *cancelled = std::get_if<cancel_attempt>(&action))
            onCancel(*cancelled);
        else if (const auto *answer = std::get_if<deliver_answer>(&action))
            onDelivered(answer->answer);
        else if (const auto *part = std::get_if<deliver_chunk>(&action))
            check(part->text == part->request.value, "a part reached another request");
    }

    void onSend(const send_attempt &sent)
    {
        const request_record &record = m_requests[sent.key.request];
        check(m_history.count(sent.key) == 0, "an attempt was sent twice");
        check(m_unusable.count(sent.server) == 0, "new work for a leaving or vanished server");
        check(sent.deadline < record.deadline && sent.deadline > m_clock.now(),
              "a send deadline isn't within the request's");
        for (const stage_input &input : sent.previous) {
            const std::string owner = input.output->substr(0, input.output->find('/'));
            check(owner == sent.key.request.value, "an output reached another request");
        }
        const bool first = sent.key.attempt == 1;
        m_secondTries += first ? 0 : 1;
        if (!first && !sent.stage.repeatable)
            checkNoRun(sent.key.request, sent.key.stage, "a second attempt of a call");
        m_history[sent.key] = {sent, attempt_fate::Open, false, false};
        m_open.push_back(sent.key);
        // Only what a refusal sent back to the queue is outside the budget.
        attempt_key before = sent.key;
        --before.attempt;
        if (first || !wasRefused(before))
            countTry(first);
    }

    [[nodiscard]] bool wasRefused(const attempt_key &key) const
    {
        const auto record = m_history.find(key);
        return record != m_history.end() && record->second.refused;
    }

    void countTry(bool first)
    {
        ++m_tries;
        m_firstTries += first ? 1 : 0;
        const double allowed =
            1.1 * static_cast<double>(m_firstTries) + 7.0 * static_cast<double>(Services) + 1e-6;
        check(static_cast<double>(m_tries) <= allowed, "more tries than the retry budget allows");
    }

    void checkNoRun(const request_id &request, std::optional<std::uint32_t> stage,
                    const std::string &what)
    {
        const attempt_key from{request, stage.value_or(0), 0};
        for (auto entry = m_history.lower_bound(from); entry != m_history.end(); ++entry) {
            const attempt_key &key = entry->first;
            if (key.request != request || (stage && key.stage != *stage))
                return;
            check(entry->second.fate == attempt_fate::NotRun,
                  what + " although " + outputOf(key) + " may have run");
        }
    }

    void onCancel(const cancel_attempt &cancelled)
    {
        if (m_history[cancelled.key].fate == attempt_fate::Open)
            end(cancelled.key, attempt_fate::MayHaveRun);
    }

    void onDelivered(const final_answer &answer)
    {
        request_record &record = m_requests[answer.request];
        check(!record.lost, "an answer from a node that restarted");
        check(++record.answers == 1, "a second final answer for " + answer.request.value);
        if (answer.outcome == outcome::NotRun)
            checkNoRun(answer.request, std::nullopt, "not_run");
        if (answer.outcome != outcome::Answered)
            return;
        ++m_answered;
        const auto last = static_cast<std::uint32_t>(record.plan->stages.size() - 1);
        check(*answer.output == outputOf({answer.request, last, 0}),
              "an output reached another request: " + *answer.output);
    }

    void checkEnd()
    {
        check(m_engine->idle(), "requests are open after all deadlines");
        const engine_stats stats = m_engine->stats();
        for (const service_stats &pool : stats.services)
            check(pool.queued == 0 && pool.inFlight == 0, "work is left in " + pool.service.value);
        for (const auto &[id, record] : m_requests)
            check(record.answers == 1 || record.lost, "no final answer for " + id.value);
    }

    void check(bool holds, const std::string &what)
    {
        if (!holds)
            breakWith(what);
    }

    void breakWith(const std::string &what)
    {
        if (!m_broken)
            m_broken = what;
    }

    bool m_calm;
    manual_clock m_clock;
    std::unique_ptr<basic_request_engine<Policies>> m_engine;
    engine_actions m_actions;
    std::map<request_id, request_record> m_requests;
    std::map<attempt_key, attempt_record> m_history;
    std::vector<attempt_key> m_open;
    std::vector<attempt_key> m_grave;
    std::set<backend_server_id> m_unlisted;
    std::set<backend_server_id> m_leaving;
    std::set<backend_server_id> m_unusable;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_firstTries = 0;
    std::uint64_t m_tries = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_secondTries = 0;
    std::optional<std::string> m_broken;
};

} // namespace orchidlead::tests
