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

/// Random simulation of the engine with fake backend servers. Records all attempts and checks the
/// invariants after every event.
namespace orchidlead::tests {

/// Seed of one random event. A failing run is a list of seeds that can be shrunk and replayed.
using simulation_step = std::uint32_t;

/// Whether the backend server ran an attempt.
enum class execution_state { Open, NotRun, MayHaveRun };

struct attempt_record
{
    send_attempt action;
    execution_state execution = execution_state::Open;
    bool sent = false;
    bool refused = false; ///< explicitly, by the server
};

struct request_record
{
    std::shared_ptr<const pipeline_plan> plan;
    steady_time deadline;
    int answers = 0;
    bool lost = false; ///< the node restarted before its answer
};

template <class Policies>
class engine_simulation
{
public:
    /// `fewFailures` reduces the rate of failures to a third.
    explicit engine_simulation(bool fewFailures)
        : m_fewFailures(fewFailures)
    {
        restart();
    }

    /// Applies the steps and then advances past all deadlines. Returns the first violation.
    std::optional<std::string> run(const std::vector<simulation_step> &steps)
    {
        for (const simulation_step step : steps) {
            applyStep(step);
            if (m_violation)
                return m_violation;
        }
        m_clock.advance(std::chrono::minutes{5});
        tick();
        checkEnd();
        return m_violation;
    }

    std::uint64_t requests() const { return m_requests.size(); }
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t secondAttempts() const { return m_secondAttempts; }

private:
    static constexpr std::size_t MaxEndedAttempts = 64;
    static constexpr std::size_t Services = 3;
    static constexpr std::array<const char *, Services> ServiceNames{"encode", "rank", "pay"};
    static constexpr int ServersEach = 4;

    void applyStep(simulation_step step)
    {
        random_source random(step);
        const std::uint64_t kind = random.below(32);
        const std::uint64_t failures = m_fewFailures ? 1 : 3;
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
        processActions();
    }

    void restart()
    {
        for (auto &[id, record] : m_requests)
            record.lost = record.lost || record.answers == 0;
        for (const attempt_key &key : m_open)
            recordEnded(key);
        m_open.clear();
        engine_settings settings;
        settings.dataCenter = data_center_id{"a"};
        settings.maxQueuePerService = 40;
        m_engine = std::make_unique<basic_request_engine<Policies>>(settings, m_clock, 7);
        m_actions.clear();
        m_firstAttempts = 0;
        m_attempts = 0;
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
        // For each of the two reasons, so that some requests can be answered.
        constexpr std::size_t MaxUnusable = 3;
        if (set.erase(server) == 0 && set.size() < MaxUnusable)
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
        processActions();
        for (const auto &[id, record] : m_requests) {
            if (record.answers == 0 && !record.lost && record.deadline <= m_clock.now())
                reportViolation("request " + id.value + " is held past its deadline");
        }
        // Ended requests are kept for the checks while late answers can refer to them.
        if (m_requests.size() > 4'000)
            removeEnded();
    }

    void removeEnded()
    {
        std::set<request_id> named;
        for (const attempt_key &key : m_endedAttempts)
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

    void end(const attempt_key &key, execution_state execution)
    {
        m_history[key].execution = execution;
        std::erase(m_open, key);
        recordEnded(key);
    }

    void recordEnded(const attempt_key &key)
    {
        m_endedAttempts.push_back(key);
        if (m_endedAttempts.size() > MaxEndedAttempts)
            m_endedAttempts.erase(m_endedAttempts.begin());
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
        end(*key, execution_state::MayHaveRun);
        deliver(*key, *key);
        if (random.below(8) == 0) {
            processActions();
            deliver(*key, *key);
        }
    }

    void answerForeign(random_source &random)
    {
        const auto key = anyOpen(random);
        const auto other = anyOpen(random);
        if (!key || !other || *key == *other)
            return;
        end(*key, execution_state::MayHaveRun);
        deliver(*key, *other);
    }

    void answerLate(random_source &random)
    {
        if (m_endedAttempts.empty())
            return;
        const attempt_key key = m_endedAttempts[random.below(m_endedAttempts.size())];
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
        end(*key, proven ? execution_state::NotRun : execution_state::MayHaveRun);
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

    void processActions()
    {
        while (!m_actions.empty()) {
            engine_actions actions;
            actions.swap(m_actions);
            for (const engine_action &action : actions)
                processAction(action);
        }
    }

    void processAction(const engine_action &action)
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
        m_secondAttempts += first ? 0 : 1;
        if (!first && !sent.stage.repeatable)
            checkNotRun(sent.key.request, sent.key.stage, "a second attempt of a call");
        m_history[sent.key] = {sent, execution_state::Open, false, false};
        m_open.push_back(sent.key);
        // Retries after a refusal need no budget.
        attempt_key before = sent.key;
        --before.attempt;
        if (first || !wasRefused(before))
            countAttempt(first);
    }

    [[nodiscard]] bool wasRefused(const attempt_key &key) const
    {
        const auto record = m_history.find(key);
        return record != m_history.end() && record->second.refused;
    }

    void countAttempt(bool first)
    {
        ++m_attempts;
        m_firstAttempts += first ? 1 : 0;
        const double allowed =
            1.1 * static_cast<double>(m_firstAttempts) + 7.0 * static_cast<double>(Services) + 1e-6;
        check(static_cast<double>(m_attempts) <= allowed,
              "more attempts than the retry budget allows");
    }

    void checkNotRun(const request_id &request, std::optional<std::uint32_t> stage,
                     const std::string &what)
    {
        const attempt_key from{request, stage.value_or(0), 0};
        for (auto entry = m_history.lower_bound(from); entry != m_history.end(); ++entry) {
            const attempt_key &key = entry->first;
            if (key.request != request || (stage && key.stage != *stage))
                return;
            check(entry->second.execution == execution_state::NotRun,
                  what + " although " + outputOf(key) + " may have run");
        }
    }

    void onCancel(const cancel_attempt &cancelled)
    {
        if (m_history[cancelled.key].execution == execution_state::Open)
            end(cancelled.key, execution_state::MayHaveRun);
    }

    void onDelivered(const final_answer &answer)
    {
        request_record &record = m_requests[answer.request];
        check(!record.lost, "an answer from a node that restarted");
        check(++record.answers == 1, "a second final answer for " + answer.request.value);
        if (answer.outcome == outcome::NotRun)
            checkNotRun(answer.request, std::nullopt, "not_run");
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
            reportViolation(what);
    }

    void reportViolation(const std::string &what)
    {
        if (!m_violation)
            m_violation = what;
    }

    bool m_fewFailures;
    manual_clock m_clock;
    std::unique_ptr<basic_request_engine<Policies>> m_engine;
    engine_actions m_actions;
    std::map<request_id, request_record> m_requests;
    std::map<attempt_key, attempt_record> m_history;
    std::vector<attempt_key> m_open;
    std::vector<attempt_key> m_endedAttempts;
    std::set<backend_server_id> m_unlisted;
    std::set<backend_server_id> m_leaving;
    std::set<backend_server_id> m_unusable;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_secondAttempts = 0;
    std::optional<std::string> m_violation;
};

} // namespace orchidlead::tests
