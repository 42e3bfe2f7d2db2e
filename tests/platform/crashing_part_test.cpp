// Guards against a part of prompts that crashes each server on which a request with it begins to be
// answered, in requests of which no two are alike: each of them was suspected alone, and more
// servers crashed as long as such requests came.
#include "platform_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int Servers = 16;
constexpr int Gateways = 4;
/// From the start of a request with the part to the crash of its server.
constexpr milliseconds CrashDelay{100};
constexpr milliseconds Downtime{1500};
/// Between the events of a sound answer, and how many it has.
constexpr milliseconds EventInterval{100};
constexpr int Events = 8;
/// Ten requests with the part and twenty sound ones a second.
constexpr milliseconds SendInterval{50};
constexpr std::size_t CrashesBeforeBound = 5;
/// Time after the fifth crash from which on hardly any request with the part reaches a server.
constexpr milliseconds SettleTime{3000};
constexpr std::size_t MaxLaterArrivals = 3;
constexpr double MinSoundShare = 0.95;

struct part_world : world
{
    part_world()
    {
        publish(1, streamRoute(true), {}, R"(},{"name":"t2","api_keys":["k2"],"priority":1)");
        for (int i = 0; i < Servers; ++i)
            startServer();
        for (int i = 1; i <= Gateways; ++i)
            startGateway("g" + std::to_string(i));
        REQUIRE(runUntil([&] { return knowsMembers(Gateways); }));
    }

    void startServer()
    {
        const auto id = "e-" + std::to_string(++m_startedServers);
        addServer("engine", id)
            .setBehaviour([this, id](const server_request &request,
                                     const std::shared_ptr<server_answer> &answer) {
                onRequest(id, request, answer);
            });
    }

    void onRequest(const std::string &id, const server_request &request,
                   const std::shared_ptr<server_answer> &answer)
    {
        const auto prompt = http::findField(request.head.fields, "x-prefix-hash").value_or("");
        if (deadly && prompt.find("deadly") != std::string_view::npos) {
            arrivals.push_back(clock.now());
            loop.callAfter(CrashDelay, [this, id] { crash(id); });
            return;
        }
        loop.callAfter(EventInterval, [this, request, answer] {
            answer->write(streamHead(request));
            writeEvents(answer, 1);
        });
    }

    void writeEvents(const std::shared_ptr<server_answer> &answer, int number)
    {
        answer->write(chunk(event(number)));
        if (number == Events) {
            answer->write("0\r\n\r\n");
            return;
        }
        loop.callAfter(EventInterval, [this, answer, number] { writeEvents(answer, number + 1); });
    }

    void crash(const std::string &id)
    {
        if (!server(id).listens())
            return;
        server(id).crash();
        crashTimes.push_back(clock.now());
        loop.callAfter(Downtime, [this, id] {
            store.remove("servers/" + id);
            startServer();
        });
    }

    std::shared_ptr<client_answer> send(const std::string &prompt, const std::string &key = "k1")
    {
        const auto number = std::to_string(++m_sent);
        auto head = makeRequest("POST", "/s/x", "a-" + number);
        for (auto &each : head.fields) {
            if (each.name == "Api-Key")
                each.value = key;
        }
        head.fields.push_back({"X-Prefix-Hash", prompt + ",own" + number + ":10"});
        return request(gateways[m_sent % gateways.size()], std::move(head), "body " + number);
    }

    /// Sends sound requests, and requests with the part every other time.
    void run(milliseconds time, bool withPart)
    {
        const auto end = clock.now() + time;
        for (int i = 0; clock.now() < end; ++i) {
            if (withPart && i % 2 == 0)
                partAnswers.push_back(send("system:100,deadly:50"));
            soundAnswers.push_back(send("system:100,topic" + std::to_string(i % 3) + ":50"));
            sentAt.push_back(clock.now());
            runFor(SendInterval);
        }
    }

    /// Waits until all requests are answered.
    void finish()
    {
        REQUIRE(runUntil([&] {
            const auto ended = [](const auto &each) { return each->ended; };
            return std::ranges::all_of(soundAnswers, ended)
                && std::ranges::all_of(partAnswers, ended);
        }));
    }

    /// The share of the sound requests sent since then that began at their first attempt.
    [[nodiscard]] double soundShare(steady_time since) const
    {
        int sent = 0;
        int begun = 0;
        for (std::size_t i = 0; i < soundAnswers.size(); ++i) {
            if (sentAt[i] < since)
                continue;
            ++sent;
            begun += soundAnswers[i]->status == 200 ? 1 : 0;
        }
        return sent == 0 ? 1.0 : static_cast<double>(begun) / sent;
    }

    [[nodiscard]] std::size_t arrivalsAfter(steady_time since) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals, [&](steady_time each) { return each > since; }));
    }

    /// Checks that the part is withheld and what shares a caller and parts with it isn't.
    void checkWithheld()
    {
        REQUIRE_FALSE(crashTimes.empty());
        const auto bounded = crashTimes[std::min(crashTimes.size(), CrashesBeforeBound) - 1];
        INFO("servers crashed " << crashTimes.size() << ", sound share "
                                << soundShare(bounded + 2 * SettleTime));
        CHECK(arrivalsAfter(bounded + SettleTime) <= MaxLaterArrivals);
        CHECK(soundShare(bounded + 2 * SettleTime) >= MinSoundShare);
    }

    std::vector<std::string> gateways{"g1", "g2", "g3", "g4"};
    bool deadly = true; ///< whether the part crashes servers
    std::vector<steady_time> arrivals; ///< of requests with the part at servers
    std::vector<steady_time> crashTimes;
    std::vector<steady_time> sentAt; ///< of the sound requests
    std::vector<std::shared_ptr<client_answer>> soundAnswers;
    std::vector<std::shared_ptr<client_answer>> partAnswers;

private:
    int m_startedServers = 0;
    std::size_t m_sent = 0;
};

constexpr milliseconds Warmup{2000};
constexpr milliseconds Trouble{12'000};

} // namespace

TEST_CASE("a part that crashes servers is withheld in requests of which no two are alike")
{
    part_world w;
    w.run(Warmup, false);
    w.run(Trouble, true);
    w.finish();
    w.checkWithheld();
    // The last ones are refused at once, truthfully, with a time beyond their own timeout.
    const auto &last = *w.partAnswers.back();
    CHECK(last.status == 503);
    CHECK(std::stod(last.field("retry-after")) > 60.0);
}

TEST_CASE("a part that crashes servers is withheld after the deciding gateway was killed")
{
    part_world w;
    w.run(Warmup, false);
    w.run(milliseconds{1500}, true);
    w.killGateway("g1");
    w.gateways = {"g2", "g3", "g4"};
    w.run(milliseconds{1500}, true);
    w.killGateway("g2");
    w.gateways = {"g3", "g4"};
    w.run(Trouble, true);
    w.finish();
    w.checkWithheld();
}

TEST_CASE("a part that crashes servers is withheld again after all gateways were started again")
{
    part_world w;
    w.run(Warmup, false);
    w.run(milliseconds{4000}, true);
    const auto before = w.crashTimes.size();
    for (const auto &each : w.gateways)
        w.killGateway(each);
    for (const auto &each : w.gateways)
        w.startGateway(each);
    REQUIRE(w.runUntil([&] { return w.knowsMembers(Gateways); }));
    w.crashTimes.clear();
    w.run(Trouble, true);
    w.finish();
    INFO("servers crashed before " << before << ", after " << w.crashTimes.size());
    w.checkWithheld();
}

TEST_CASE("a customer can't have requests of another one withheld by sending its parts")
{
    part_world w;
    w.run(Warmup, false);
    const auto begun = w.clock.now();
    for (int i = 0; i < 100; ++i) {
        (void)w.send("system:100,topic0:50,topic1:50,topic2:50,deadly:50", "k2");
        w.run(SendInterval, false);
    }
    w.finish();
    INFO("servers crashed " << w.crashTimes.size());
    CHECK(w.soundShare(begun + SettleTime) >= MinSoundShare);
}

TEST_CASE("servers that crash by themselves don't withhold the parts of the requests there")
{
    part_world w;
    w.run(Warmup, false);
    const auto begun = w.clock.now();
    for (int i = 1; i <= 9; ++i) {
        w.crash("e-" + std::to_string(i));
        w.run(milliseconds{600}, false);
    }
    w.finish();
    CHECK(w.soundShare(begun) >= MinSoundShare);
}
