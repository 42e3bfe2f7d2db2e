// Guards against a gateway that serves worse, or becomes unready, while the load balancer hands it
// most new connections of a data centre, at several times the usual rate.
#include "platform_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int Gateways = 8;
constexpr int ServersPerService = 6;
constexpr milliseconds ServiceTime{20};
constexpr milliseconds Usual{2500};
constexpr milliseconds Herd{4000};
constexpr milliseconds UsualInterval{20};
/// Clients open new connections three times as often.
constexpr milliseconds HerdInterval{7};
/// One request in ten meets another gateway than the one that is preferred.
constexpr int OthersShare = 10;
/// The share of requests that are served during the herd, of the share before it.
constexpr double MinServedShare = 0.95;
/// Delay of a request on a connection that was open before.
constexpr milliseconds MaxDelay{300};

struct herd_world : world
{
    herd_world()
    {
        publish(1, plainRoute("safe") + "," + streamRoute(true));
        for (int i = 0; i < ServersPerService; ++i) {
            addServer("web", "w-" + std::to_string(i))
                .setBehaviour([this](const server_request &request,
                                     const std::shared_ptr<server_answer> &answer) {
                    loop.callAfter(ServiceTime, [request, answer] {
                        answer->write(signedAnswer(request, "ok"));
                    });
                });
            addServer("engine", "e-" + std::to_string(i)).setBehaviour(answerOneEvent);
        }
        for (int i = 1; i <= Gateways; ++i)
            startGateway("g" + std::to_string(i));
        REQUIRE(runUntil([&] { return knowsMembers(Gateways); }));
    }

    /// Sends a request on a connection of its own.
    std::shared_ptr<client_answer> sendOnNewConnection(const std::string &gateway)
    {
        const auto number = std::to_string(++m_sent);
        auto head = m_sent % 2 == 0 ? makeRequest("GET", "/p/x", "a-" + number)
                                    : makeRequest("POST", "/s/x", "a-" + number);
        head.fields.push_back({"X-Prefix-Hash", "p" + number + ":50"});
        head.fields.push_back({"Connection", "close"});
        return request(gateway, std::move(head), m_sent % 2 == 0 ? "" : "x");
    }

    /// Sends requests for a time; `preferred` gets nearly all of them unless it is empty.
    std::vector<std::shared_ptr<client_answer>> run(milliseconds time, milliseconds interval,
                                                    const std::string &preferred)
    {
        std::vector<std::shared_ptr<client_answer>> answers;
        const auto end = clock.now() + time;
        auto next = clock.now();
        for (int i = 0; clock.now() < end; ++i) {
            const bool toOther = preferred.empty() || i % OthersShare == 0;
            const auto other = "g" + std::to_string(1 + i % Gateways);
            answers.push_back(sendOnNewConnection(toOther ? other : preferred));
            next += interval;
            runUntil([&] { return clock.now() >= next; }, interval);
        }
        REQUIRE(runUntil([&] {
            return std::ranges::all_of(answers, [](const auto &each) { return each->ended; });
        }));
        return answers;
    }

    [[nodiscard]] static double
    servedShare(const std::vector<std::shared_ptr<client_answer>> &answers)
    {
        const auto served = std::ranges::count_if(answers, [](const auto &each) {
            return each->status == 200 && each->end == http::call_end::Complete;
        });
        return static_cast<double>(served) / static_cast<double>(answers.size());
    }

private:
    std::size_t m_sent = 0;
};

} // namespace

TEST_CASE("a gateway that gets most new connections serves as many requests as before")
{
    herd_world w;
    const auto before = w.servedShare(w.run(Usual, UsualInterval, {}));
    const auto during = w.run(Herd, HerdInterval, "g1");
    INFO("before " << before << ", during " << w.servedShare(during) << " of " << during.size());
    CHECK(w.servedShare(during) >= MinServedShare * before);
}

TEST_CASE("requests on older connections are not delayed by a herd of new ones")
{
    herd_world w;
    REQUIRE(w.await(w.request("g1", makeRequest("GET", "/p/x", "old-0"))));
    milliseconds longest{0};
    const auto end = w.clock.now() + Herd;
    for (int i = 1; w.clock.now() < end; ++i) {
        for (int j = 0; j < 5; ++j)
            (void)w.sendOnNewConnection("g1");
        const auto sent = w.clock.now();
        const auto answer = w.request("g1", makeRequest("GET", "/p/x", "old-" + std::to_string(i)));
        REQUIRE(w.await(answer));
        CHECK(answer->status == 200);
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(w.clock.now() - sent));
    }
    INFO("longest delay " << longest.count() << " ms");
    CHECK(longest <= MaxDelay);
}

TEST_CASE("no gateway becomes unready while most new connections go to one of them in turn")
{
    herd_world w;
    for (const std::string preferred : {"g1", "g2", "g3"}) {
        const auto answers = w.run(milliseconds{1200}, HerdInterval, preferred);
        CHECK(w.servedShare(answers) >= MinServedShare);
        for (int i = 1; i <= Gateways; ++i)
            CHECK(w.readiness("g" + std::to_string(i)) == 200);
    }
}
