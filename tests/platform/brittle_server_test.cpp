// Servers that say in all answers that they fall over if they have to refuse more than a few
// requests a second for want of room.
#include "platform_world.h"

#include <catch2/catch.hpp>

#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr std::size_t Slots = 8; // as published
constexpr std::size_t Servers = 3;
/// Refusals a second beyond which a server falls over.
constexpr std::size_t MaxRefusals = 2;
constexpr milliseconds WorkTime{200};
constexpr milliseconds DownTime{2000};
constexpr double Room = Slots * Servers * 5.0; // requests a second

/// Gateways before brittle servers that let no request wait.
struct brittle_fleet : world
{
    struct state
    {
        std::size_t running = 0;
        std::deque<steady_time> refusals; ///< of the last second
        steady_time downUntil{};
    };

    explicit brittle_fleet(std::size_t gateways)
    {
        publish(1, plainRoute("safe"));
        for (std::size_t i = 0; i < Servers; ++i) {
            const auto id = "web-" + std::to_string(i);
            addServer("web", id).setBehaviour(
                [this, id](const server_request &request,
                           const std::shared_ptr<server_answer> &answer) {
                    onRequest(states[id], request, answer);
                });
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            m_gateways.push_back("g" + std::to_string(i));
            startGateway(m_gateways.back());
        }
    }

    void onRequest(state &server, const server_request &request,
                   const std::shared_ptr<server_answer> &answer)
    {
        const auto now = clock.now();
        if (now < server.downUntil) {
            answer->reset();
            return;
        }
        if (server.running >= Slots) {
            while (!server.refusals.empty() && now - server.refusals.front() > milliseconds{1000})
                server.refusals.pop_front();
            server.refusals.push_back(now);
            if (isBrittle && countsFalls && server.refusals.size() > MaxRefusals) {
                ++falls;
                server = {};
                server.downUntil = now + DownTime;
                answer->reset();
                return;
            }
            answer->write(answerTo(request, 503, "X-Not-Executed: 1\r\n"));
            return;
        }
        ++server.running;
        loop.callAfter(WorkTime, [this, &server, request, answer] {
            if (server.running > 0)
                --server.running;
            ++served;
            answer->write(answerTo(request, 200, "X-Instance-Signature: s\r\n"));
        });
    }

    [[nodiscard]] std::string answerTo(const server_request &request, int status,
                                       const std::string &fields) const
    {
        const auto brittle =
            isBrittle ? "\r\nServer-Brittle: " + std::to_string(MaxRefusals) : std::string{};
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: "
            + std::string(*http::findField(request.head.fields, "x-attempt-id")) + brittle + "\r\n"
            + fields + "Content-Length: 0\r\n\r\n";
    }

    /// Sends requests to the first gateways, or all, in turn at an even rate.
    void load(milliseconds time, double perSecond, std::size_t gateways = 0)
    {
        const auto used = gateways == 0 ? m_gateways.size() : gateways;
        const auto began = clock.now();
        const auto total =
            static_cast<std::size_t>(perSecond * static_cast<double>(time.count()) / 1000);
        for (std::size_t i = 0; i < total; ++i) {
            const auto due = std::chrono::duration<double>(static_cast<double>(i) / perSecond);
            runUntil([&] { return clock.now() - began >= due; }, time);
            request(m_gateways[i % used],
                    makeRequest("GET", "/p/x", "a-" + std::to_string(++m_attempts)));
        }
        runFor(WorkTime);
    }

    /// Blocks all processes of the fleet for `time` after each `interval`.
    void pauseEvery(milliseconds interval, milliseconds time)
    {
        loop.callAfter(interval, [this, interval, time] {
            std::this_thread::sleep_for(time);
            pauseEvery(interval, time);
        });
    }

    /// Loads the servers with half of what they have room for through the first gateways, or all,
    /// then for three seconds with twice as much through all. Counts falls and answers of the
    /// latter time.
    void playBurst(std::size_t gatewaysBefore = 0)
    {
        constexpr milliseconds Time{3000};
        load(Time, Room / 2, gatewaysBefore);
        countsFalls = true;
        served = 0;
        load(Time, 2 * Room);
    }

    std::map<std::string, state> states;
    bool isBrittle = true; ///< servers fall over, and say so
    bool countsFalls = false;
    std::size_t falls = 0;
    std::size_t served = 0;

private:
    std::vector<std::string> m_gateways;
    std::size_t m_attempts = 0;
};

} // namespace

// Guards against all gateways together overrunning servers that fall over when they refuse too
// much.
TEST_CASE("brittle servers don't fall over in a burst of twice the load, and their room is used")
{
    brittle_fleet w(4);
    w.playBurst();
    INFO("falls " << w.falls << ", served " << w.served);
    CHECK(w.falls <= 2 + Servers / 10);
    CHECK(static_cast<double>(w.served) >= 0.8 * Room * 3);
}

// Guards against bursts through gateways that have had no answer that says that servers are
// brittle.
TEST_CASE("brittle servers don't fall over in a burst through gateways that have not used them yet")
{
    constexpr std::size_t Gateways = 24;
    constexpr std::size_t GatewaysBefore = 4;
    brittle_fleet w(Gateways);
    w.playBurst(GatewaysBefore);
    INFO("falls " << w.falls << ", served " << w.served);
    CHECK(w.falls <= 2 + Servers / 10);
    CHECK(static_cast<double>(w.served) >= 0.8 * Room * 3);
}

// Guards against gateways that count the requests of brittle servers alone, because the host of the
// pool takes longer than a round trip to answer. All servers then get several times their room.
TEST_CASE("brittle servers don't fall over in a burst while processes get a tenth of their time")
{
    const auto play = [](brittle_fleet &w) {
        w.pauseEvery(milliseconds{5}, milliseconds{80});
        w.playBurst();
    };
    brittle_fleet sound(4);
    sound.isBrittle = false;
    play(sound);
    brittle_fleet w(4);
    play(w);
    INFO("falls " << w.falls << ", served " << w.served << ", by sound servers " << sound.served);
    CHECK(w.falls <= 2 + Servers / 10);
    // How many can be served follows from the processor, so sound servers are the measure.
    CHECK(static_cast<double>(w.served) >= 0.8 * static_cast<double>(sound.served));
}

// Hidden, since the loop that all gateways share is too slow for this many with sanitizers.
TEST_CASE("figures of a burst on brittle servers from many gateways", "[.figures]")
{
    for (const std::size_t gateways : {4, 86, 200}) {
        brittle_fleet w(gateways);
        w.playBurst();
        std::cout << gateways << " gateways: falls " << w.falls << ", served " << w.served << " of "
                  << Room * 3 << '\n';
    }
}
