// Guards against parts of prompts that crash every server on which they run, in requests of which
// no two are alike: a record of each request alone never collects enough crashes, while requests
// that share servers with them do. Each case plays a generated day of servers, requests and
// crashes.
#include "gateway/quarantine/request_quarantine.h"
#include "gateway/quarantine/request_subjects.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr std::size_t Servers = 16;
/// How long a request runs on a server, and how long one with a deadly part until the server
/// crashes.
constexpr milliseconds RunTime{1500};
constexpr milliseconds CrashDelay{200};
/// Until the answer begins.
constexpr milliseconds FirstEventDelay{100};
/// How long an answer runs until it shows that its request crashes no server.
constexpr milliseconds StableTime{500};
constexpr milliseconds Downtime{1500};
constexpr milliseconds Step{10};
/// Crashes of one part after which hardly any request with it may be sent.
constexpr std::size_t BoundedAfterCrashes = 5;
/// Time after these crashes within which the bound takes effect.
constexpr milliseconds SettleTime{3000};
constexpr std::size_t MaxLaterRequests = 3;

/// A kind of request: its caller, the shared parts of its prompt, and how many there are a second.
struct request_source
{
    std::string customer;
    std::vector<std::string> parts;
    double perSecond = 0.0;
};

/// One node with its quarantine, and servers that run what it sends.
class generated_day
{
public:
    generated_day(std::vector<request_source> sources, std::set<std::string> deadlyParts,
                  std::uint32_t seed)
        : m_sources(std::move(sources))
        , m_deadly(std::move(deadlyParts))
        , m_random(seed)
    { }

    /// Called every `Step`, to crash servers for other reasons.
    std::function<void(generated_day &)> onStep;

    void run(milliseconds time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(Step);
            for (std::size_t i = 0; i < m_sources.size(); ++i)
                sendSome(i);
            progress();
            if (onStep)
                onStep(*this);
            for (const auto &each : quarantine.decide())
                giveUp(each);
            quarantine.removeExpired();
        }
    }

    void setDeadly(std::set<std::string> parts) { m_deadly = std::move(parts); }

    /// Crashes a server, with all that it runs.
    void crash(std::size_t server)
    {
        if (clock.now() < m_downUntil[server])
            return;
        m_downUntil[server] = clock.now() + Downtime;
        server_crash event{
            backend_server_id("s" + std::to_string(server) + "-" + std::to_string(++crashes)),
            clock.now(),
            {}};
        std::erase_if(m_running, [&](const running_request &each) {
            if (each.server != server)
                return false;
            for (auto subject : each.subjects) {
                subject.sentAt = each.sentAt;
                addSubject(event, subject);
            }
            endTrial(each);
            return true;
        });
        quarantine.onServerCrash(event);
    }

    [[nodiscard]] quarantine_level levelOf(const std::string &customer,
                                           const std::string &part) const
    {
        const auto subjects =
            subjectsOf({customer_id(customer), "h", "/", {}}, {{part, 1}, {"", 1}});
        return std::max(quarantine.statusOf(subjects[1].digest).level,
                        quarantine.statusOf(subjects[1].shared).level);
    }

    /// The number of requests with a deadly part that were sent later than `SettleTime` after
    /// `BoundedAfterCrashes` crashes by that part.
    [[nodiscard]] std::size_t lateDeadlyRequests(const std::string &part) const
    {
        const auto &times = m_crashTimes.at(part);
        if (times.size() < BoundedAfterCrashes)
            return 0;
        const auto since = times[BoundedAfterCrashes - 1] + SettleTime;
        const auto sent = m_sentTimes.find(part);
        return sent == m_sentTimes.end()
            ? 0
            : static_cast<std::size_t>(std::ranges::count_if(
                sent->second, [&](steady_time each) { return each > since; }));
    }
    [[nodiscard]] std::size_t crashesBy(const std::string &part) const
    {
        const auto found = m_crashTimes.find(part);
        return found == m_crashTimes.end() ? 0 : found->second.size();
    }
    /// The share of a source's requests that were sent since `resetCounts`.
    [[nodiscard]] double sentShare(std::size_t source) const
    {
        const auto &counted = m_counts.at(source);
        return counted.offered == 0 ? 1.0 : static_cast<double>(counted.sent) / counted.offered;
    }
    void resetCounts() { m_counts.clear(); }

    manual_clock clock;
    request_quarantine quarantine{clock};
    int crashes = 0;

private:
    struct running_request
    {
        std::size_t server = 0;
        steady_time sentAt;
        std::vector<crash_subject> subjects;
        std::string deadlyPart; ///< empty: none
        std::optional<request_digest> trial;
        bool reported = false; ///< its parts were reported as served
    };
    struct counts
    {
        int offered = 0;
        int sent = 0;
    };

    void sendSome(std::size_t source)
    {
        const double chance =
            m_sources[source].perSecond * std::chrono::duration<double>(Step).count();
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < chance)
            send(source);
    }

    void send(std::size_t source)
    {
        const auto &from = m_sources[source];
        const auto body = std::to_string(++m_requests);
        std::vector<prompt_part> prompt;
        running_request next;
        for (const auto &each : from.parts) {
            prompt.push_back({each, 100});
            if (m_deadly.contains(each))
                next.deadlyPart = each;
        }
        prompt.push_back({"own" + body, 10});
        next.subjects = subjectsOf({customer_id(from.customer), "h", "/s/", body}, prompt);
        const auto server = chooseServer();
        if (!server)
            return;
        auto &counted = m_counts[source];
        ++counted.offered;
        if (!maySend(next))
            return;
        next.server = *server;
        next.sentAt = clock.now();
        ++counted.sent;
        if (!next.deadlyPart.empty())
            m_sentTimes[next.deadlyPart].push_back(clock.now());
        m_running.push_back(std::move(next));
    }

    bool maySend(running_request &next)
    {
        std::optional<request_digest> suspected;
        for (const auto &each : next.subjects) {
            for (const auto &digest : {each.digest, each.shared}) {
                const auto level = quarantine.statusOf(digest).level;
                if (level == quarantine_level::Quarantined)
                    return false;
                if (level == quarantine_level::Suspected)
                    suspected = digest;
            }
        }
        if (!suspected)
            return true;
        if (!quarantine.tryStartTrial(*suspected))
            return false;
        next.trial = suspected;
        return true;
    }

    /// Gives up the requests with a quarantined subject that no server has begun to answer.
    void giveUp(const quarantine_entry &entry)
    {
        if (entry.level != quarantine_level::Quarantined)
            return;
        std::erase_if(m_running, [&](const running_request &each) {
            const bool concerned = std::ranges::any_of(each.subjects, [&](const auto &subject) {
                return subject.digest == entry.request;
            });
            if (!concerned || clock.now() - each.sentAt >= FirstEventDelay)
                return false;
            endTrial(each);
            return true;
        });
    }

    void endTrial(const running_request &each)
    {
        if (each.trial)
            quarantine.endTrial(*each.trial);
    }

    std::optional<std::size_t> chooseServer()
    {
        const auto drawn = std::uniform_int_distribution<std::size_t>(0, Servers - 1)(m_random);
        for (std::size_t i = 0; i < Servers; ++i) {
            const auto server = (drawn + i) % Servers;
            if (clock.now() >= m_downUntil[server])
                return server;
        }
        return std::nullopt;
    }

    void progress()
    {
        std::vector<std::pair<std::size_t, std::string>> toCrash;
        for (const auto &each : m_running) {
            if (!each.deadlyPart.empty() && clock.now() - each.sentAt >= CrashDelay)
                toCrash.emplace_back(each.server, each.deadlyPart);
        }
        for (const auto &[server, part] : toCrash) {
            if (clock.now() < m_downUntil[server])
                continue;
            m_crashTimes[part].push_back(clock.now());
            crash(server);
        }
        std::erase_if(m_running, [&](running_request &each) {
            const auto began = each.sentAt + FirstEventDelay;
            if (!each.reported && clock.now() >= began + StableTime)
                reportPartsServed(each, began);
            if (clock.now() - each.sentAt < RunTime)
                return false;
            std::ignore = quarantine.onRequestServed(each.subjects.front().digest);
            endTrial(each);
            return true;
        });
    }

    void reportPartsServed(running_request &served, steady_time began)
    {
        served.reported = true;
        for (const auto &subject : served.subjects) {
            if (!subject.isPart())
                continue;
            std::ignore = quarantine.onPartServed(subject.digest, began);
            std::ignore = quarantine.onPartServed(subject.shared, began);
        }
    }

    std::vector<request_source> m_sources;
    std::set<std::string> m_deadly;
    std::mt19937 m_random;
    std::vector<running_request> m_running;
    std::map<std::size_t, counts> m_counts;
    std::map<std::size_t, steady_time> m_downUntil;
    std::map<std::string, std::vector<steady_time>> m_crashTimes;
    std::map<std::string, std::vector<steady_time>> m_sentTimes;
    int m_requests = 0;
};

constexpr milliseconds Warmup{4000};
constexpr milliseconds Trouble{20'000};

/// Requests of two customers with parts of their own and one part that all of a customer share.
std::vector<request_source> soundSources()
{
    return {{"c1", {"c1-system", "topic-1"}, 20},
            {"c1", {"c1-system", "topic-2"}, 5},
            {"c2", {"c2-system", "topic-3"}, 20},
            {"c2", {"c2-system"}, 10}};
}

constexpr std::size_t SoundSources = 4;
constexpr std::uint32_t Seeds = 10;

/// Checks that a day with deadly parts costs few servers and no sound request.
void checkDeadlyPartIsFound(std::vector<request_source> deadlySources, std::set<std::string> deadly)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        auto sources = soundSources();
        std::ranges::copy(deadlySources, std::back_inserter(sources));
        generated_day day(std::move(sources), deadly, seed);
        day.run(Trouble);
        for (const auto &part : deadly) {
            INFO("seed " << seed << ", part " << part << ": crashes " << day.crashesBy(part)
                         << ", late requests " << day.lateDeadlyRequests(part));
            CHECK(day.lateDeadlyRequests(part) <= MaxLaterRequests);
        }
        day.resetCounts();
        day.run(Trouble);
        for (std::size_t i = 0; i < SoundSources; ++i) {
            INFO("seed " << seed << ", source " << i << ": sent " << day.sentShare(i));
            CHECK(day.sentShare(i) >= 0.95);
        }
    }
}

} // namespace

TEST_CASE("one deadly part among sound requests of its caller is found after a few crashes")
{
    checkDeadlyPartIsFound({{"c1", {"c1-system", "deadly"}, 10}}, {"deadly"});
}

TEST_CASE("a deadly first part is found although its requests share later parts with sound ones")
{
    checkDeadlyPartIsFound({{"c1", {"deadly", "topic-1"}, 10}}, {"deadly"});
}

TEST_CASE("two deadly parts at the same time are both found")
{
    checkDeadlyPartIsFound(
        {{"c1", {"c1-system", "deadly-1"}, 6}, {"c2", {"c2-system", "deadly-2"}, 6}},
        {"deadly-1", "deadly-2"});
}

TEST_CASE("a deadly part in a rare request is found")
{
    checkDeadlyPartIsFound({{"c1", {"c1-system", "deadly"}, 0.3}}, {"deadly"});
}

TEST_CASE("two parts that always come together are both withheld when one of them is deadly")
{
    checkDeadlyPartIsFound({{"c1", {"c1-system", "deadly", "partner"}, 10}}, {"deadly"});
}

TEST_CASE("a deadly part in each request of a customer leaves the other customers untouched")
{
    checkDeadlyPartIsFound({{"c3", {"deadly", "a"}, 6}, {"c3", {"deadly", "b"}, 6}}, {"deadly"});
}

TEST_CASE("a deadly part that many customers send costs few crashes for each of them")
{
    std::vector<request_source> sources;
    for (int i = 0; i < 6; ++i)
        sources.push_back({"d" + std::to_string(i), {"deadly"}, 2});
    checkDeadlyPartIsFound(sources, {"deadly"});
}

namespace {

/// Checks that crashes without a deadly part leave no sound request refused for long.
void checkNothingIsWithheld(const std::function<void(generated_day &)> &onStep)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        generated_day day(soundSources(), {}, seed);
        day.run(Warmup);
        day.onStep = onStep;
        day.resetCounts();
        day.run(Trouble);
        for (std::size_t i = 0; i < SoundSources; ++i) {
            INFO("seed " << seed << ", source " << i << ": sent " << day.sentShare(i)
                         << ", crashes " << day.crashes);
            CHECK(day.sentShare(i) >= 0.95);
        }
    }
}

} // namespace

TEST_CASE("servers that crash one after the other for reasons of their own withhold no request")
{
    std::mt19937 random(5);
    checkNothingIsWithheld([&](generated_day &day) {
        // Two crashes a second.
        if (std::uniform_real_distribution<double>(0, 1)(random) < 0.02)
            day.crash(std::uniform_int_distribution<std::size_t>(0, Servers - 1)(random));
    });
}

TEST_CASE("half of the servers that lose power at once withhold no request")
{
    int steps = 0;
    checkNothingIsWithheld([&](generated_day &day) {
        if (++steps % 500 != 0)
            return;
        for (std::size_t i = 0; i < Servers / 2; ++i)
            day.crash(i);
    });
}

TEST_CASE("servers that are replaced one after the other withhold no request")
{
    int steps = 0;
    std::size_t next = 0;
    checkNothingIsWithheld([&](generated_day &day) {
        if (++steps % 50 == 0)
            day.crash(next++ % Servers);
    });
}

TEST_CASE("a customer that sends another customer's parts beside a deadly one has none of the "
          "other's requests withheld")
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        auto sources = soundSources();
        sources.push_back({"attacker", {"c2-system", "topic-3", "deadly"}, 10});
        sources.push_back({"attacker", {"c2-system", "deadly"}, 10});
        generated_day day(std::move(sources), {}, seed);
        day.run(Warmup);
        day.setDeadly({"deadly"});
        day.resetCounts();
        day.run(Trouble);
        INFO("seed " << seed << ": sent " << day.sentShare(2) << ", " << day.sentShare(3));
        CHECK(day.sentShare(2) >= 0.95);
        CHECK(day.sentShare(3) >= 0.95);
        CHECK(day.levelOf("c2", "c2-system") == quarantine_level::Unrestricted);
    }
}

TEST_CASE("a part that is sound again is free after one request with it was served")
{
    generated_day day({{"c1", {"part"}, 10}}, {"part"}, 3);
    day.run(Trouble);
    REQUIRE(day.levelOf("c1", "part") == quarantine_level::Quarantined);
    day.clock.advance(std::chrono::minutes{6});
    CHECK(day.levelOf("c1", "part") == quarantine_level::Suspected);
    const auto part = subjectsOf({customer_id("c1"), "h", "/", {}}, {{"part", 1}, {"", 1}})[1];
    CHECK(day.quarantine.tryStartTrial(part.digest));
    CHECK_FALSE(day.quarantine.tryStartTrial(part.digest));
    CHECK(day.quarantine.onPartServed(part.digest, day.clock.now()));
    CHECK(day.levelOf("c1", "part") == quarantine_level::Unrestricted);
}

TEST_CASE("a part that becomes deadly after it was served is found nevertheless")
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        generated_day day({{"c1", {"part"}, 10}, {"c2", {"other"}, 10}}, {}, seed);
        day.run(Warmup);
        day.setDeadly({"part"});
        day.run(Trouble);
        INFO("seed " << seed << ", crashes " << day.crashesBy("part"));
        CHECK(day.lateDeadlyRequests("part") <= MaxLaterRequests);
    }
}

TEST_CASE("subjects of a request are the request and all parts of its prompt but the last")
{
    const request_identity identity{customer_id("c"), "h", "/p", "body"};
    CHECK(subjectsOf(identity, {}).size() == 1);
    CHECK(subjectsOf(identity, {{"own", 1}}).size() == 1);
    const auto subjects = subjectsOf(identity, {{"a", 1}, {"b", 1}, {"own", 1}});
    REQUIRE(subjects.size() == 3);
    CHECK(subjects[0].digest == requestDigestOf(identity));
    CHECK_FALSE(subjects[0].isPart());
    CHECK(subjects[1].breadth == 1);
    CHECK(subjects[2].breadth == 2);
    const auto others =
        subjectsOf({customer_id("d"), "h", "/q", "other"}, {{"a", 1}, {"x", 1}, {"y", 1}});
    CHECK(others[2].digest != subjects[2].digest);
    CHECK(others[2].shared == subjects[2].shared);
    const auto many = subjectsOf(identity, std::vector<prompt_part>(1000, {"p", 1}));
    CHECK(many.size() == MaxPartSubjects + 1);
}
