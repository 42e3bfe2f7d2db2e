// Guards against a gateway that ends, stops following the list of servers or loses servers because
// another writer has left an entry among them that no server wrote.
#include "gateway_process.h"
#include "platform_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

const std::string Sound = R"({"service":"web","address":"127.0.0.1:9","zone":"z","version":"v1",)"
                          R"("slots":8,"phase":"ready","cold_remaining_ms":0,"sequence":1})";

std::string altered(const std::string &from, const std::string &to)
{
    auto text = Sound;
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string nested(std::size_t levels, const std::string &open, const std::string &close)
{
    std::string text;
    for (std::size_t i = 0; i < levels; ++i)
        text += open;
    text += "1";
    for (std::size_t i = 0; i < levels; ++i)
        text += close;
    return text;
}

/// Returns values of entries that name no server to use.
std::vector<std::string> oddValues()
{
    std::vector<std::string> values{
        "", "{}", "[]", "null", "\"x\"", "7", "{", "\xff\xfe", std::string(3, '\0')};
    for (const std::size_t levels : {20, 10'000}) {
        values.push_back(nested(levels, "[", "]"));
        values.push_back(nested(levels, R"({"a":)", "}"));
        values.push_back(
            altered(R"("sequence":1)", R"("sequence":1,"x":)" + nested(levels, "[", "]")));
        values.push_back(
            altered(R"("slots":8)", R"("slots":)" + nested(levels, R"({"a":[)", "]}")));
    }
    values.push_back(nested(200'000, "[", "]"));
    const std::vector<std::string> numbers{"1e400",
                                           "-1",
                                           "1.5",
                                           "4294967296",
                                           "9007199254740993e5",
                                           "18446744073709551616",
                                           std::string(400, '9'),
                                           "NaN",
                                           "Infinity",
                                           "\"8\"",
                                           "true",
                                           "null"};
    for (const auto &each : numbers) {
        values.push_back(altered(R"("slots":8)", R"("slots":)" + each));
        // A whole number of that size is a valid count and a valid time.
        if (each != "4294967296") {
            values.push_back(altered(R"("sequence":1)", R"("sequence":1,"born":)" + each));
            values.push_back(altered(R"("sequence":1)", R"("sequence":)" + each));
        }
        if (each != "1.5")
            values.push_back(altered(R"("cold_remaining_ms":0)", R"("cold_remaining_ms":)" + each));
    }
    for (const std::string each : {"0", "2147483648", "4294967295"})
        values.push_back(altered(R"("slots":8)", R"("slots":)" + each));
    for (const std::string each :
         {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:70000", "127.0.0.1:99999999999999999999",
          "127.0.0.1:-1", "127.0.0.1:+80", "127.0.0.1: 80", "127.0.0.1:80 ",
          "127.0.0.1:", "127.0.0.1", ":80", "", "host.example:80", "256.0.0.1:80", "1.2.3:80",
          "[::1", "[]:80", "127.0.0.1:8e1"})
        values.push_back(altered("127.0.0.1:9", each));
    values.push_back(
        altered(R"("service":"web")", R"("service":")" + std::string(200'000, 's') + '"'));
    values.push_back(altered(R"("zone":"z")", R"("zone":7)"));
    values.push_back(altered(R"("phase":"ready")", R"("phase":"asleep")"));
    values.push_back(altered(R"("slots":8)", R"("slots":8,"slots":8)"));
    return values;
}

constexpr int PublishedServers = 3;

/// Gateways that read the store and gateways that follow them, before plain servers, model engines
/// and stage servers.
struct odd_world : world
{
    odd_world()
    {
        const std::string stages = R"([{"service":"q","after":[],"length":100}])";
        publish(1, plainRoute("safe") + "," + streamRoute(true, stages),
                R"({"name":"q","segments":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,)"
                R"("headroom_mb":1,"handle_s":4}},)"
                R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})");
        addServer("web", "s-1");
        addServer("engine", "e-1").setBehaviour(answerOneEvent);
        auto &stage = addServer("q", "q-1");
        stage.setBehaviour([this, &stage](const server_request &request,
                                          const std::shared_ptr<server_answer> &answer) {
            answerStages(*this, stage, request, answer, milliseconds{5}, m_results);
        });
    }

    void startGateways()
    {
        for (const auto *each : {"g1", "g2", "g3", "g4"})
            startGateway(each);
        REQUIRE(runUntil([&] { return knowsMembers(4); }));
    }

    /// Writes entries among those of the servers, each under an id of its own.
    void putOdd(const std::vector<std::string> &values)
    {
        for (std::size_t i = 0; i < values.size(); ++i)
            store.put("servers/odd-" + std::to_string(i), values[i]);
        store.put("servers/", Sound);
        store.put("servers/odd/with/slashes", "{}");
    }

    void checkServed(const std::string &gateway)
    {
        INFO("gateway " << gateway);
        for (int i = 0; i < 4; ++i) {
            const auto plain = request(gateway, makeRequest("GET", "/p/x", nextAttempt()));
            REQUIRE(await(plain));
            CHECK(plain->status == 200);
            const auto staged = request(gateway, makeStagedRequest(nextAttempt(), "2"), "x");
            REQUIRE(await(staged));
            CHECK(staged->status == 200);
        }
    }

    /// Returns how many servers a gateway uses.
    double usableServers(const std::string &gateway)
    {
        const std::string name = R"(orchidlead_gateway_state{what="usable_servers"} )";
        const auto text = metrics(gateway);
        const auto at = text.find(name);
        REQUIRE(at != std::string::npos);
        return std::stod(text.substr(at + name.size()));
    }

    /// Checks that each gateway follows the list: a server that is added is used, and one that is
    /// removed no longer.
    void checkFollowed()
    {
        const auto id = "s-" + std::to_string(++m_added);
        auto &added = addServer("web", id);
        for (const std::string gateway : {"g1", "g2", "g3", "g4"}) {
            INFO("gateway " << gateway);
            const auto before = added.requests().size();
            CHECK(runUntil([&] {
                const auto answer = request(gateway, makeRequest("GET", "/p/x", nextAttempt()));
                await(answer);
                return added.requests().size() > before;
            }));
        }
        store.remove("servers/" + id);
        runFor(gateway::platform_bounds{}.publicationApply);
        const auto before = added.requests().size();
        for (const std::string gateway : {"g1", "g2", "g3", "g4"}) {
            checkServed(gateway);
            CHECK(usableServers(gateway) == PublishedServers);
        }
        CHECK(added.requests().size() == before);
    }

private:
    [[nodiscard]] std::string nextAttempt() { return "a-" + std::to_string(++m_attempts); }

    int m_attempts = 0;
    int m_added = 1;
    int m_results = 0;
};

} // namespace

// Guards against a list that a gateway which starts can't read because of one entry.
TEST_CASE("gateways that start while odd entries are published serve and follow the list")
{
    odd_world w;
    w.putOdd(oddValues());
    w.startGateways();
    w.checkFollowed();
}

// Guards against a change that a running gateway can't read because of one entry, and against one
// that is read again and again.
TEST_CASE("gateways serve and follow the list while odd entries appear, change and are removed")
{
    odd_world w;
    w.startGateways();
    auto values = oddValues();
    w.putOdd(values);
    w.checkFollowed();
    std::reverse(values.begin(), values.end());
    w.putOdd(values);
    w.checkFollowed();
    for (std::size_t i = 0; i < values.size(); ++i)
        w.store.remove("servers/odd-" + std::to_string(i));
    w.checkFollowed();
}

// Guards against an entry of another writer that takes the place of a server for good.
TEST_CASE("a server whose entry another writer overwrote is used again when it is published again")
{
    odd_world w;
    w.startGateways();
    for (const std::string &value : {altered(R"("slots":8)", R"("slots":2147483648)"),
                                     std::string("\xff"), nested(10'000, "[", "]")}) {
        w.store.put("servers/s-1", value);
        w.runFor(milliseconds{1500});
        w.announce(w.server("s-1"), "web");
        w.checkFollowed();
    }
}

// Guards against a gateway program that ends because of an odd entry, in a process of its own.
TEST_CASE("gateway processes that start or run with odd entries keep running")
{
    process_world w;
    w.publish(1, plainRoute("safe"));
    w.addServer("web", "s-1");
    gateway_processes gateways(w, {"z", "z"});
    const auto values = oddValues();
    const auto putAll = [&] {
        for (std::size_t i = 0; i < values.size(); ++i)
            w.store.put("servers/odd-" + std::to_string(i), values[i]);
    };
    gateways.start(0);
    REQUIRE(w.runUntil([&] { return gateways.isReady(0); }, milliseconds{10'000}));
    putAll();
    gateways.start(1);
    REQUIRE(w.runUntil([&] { return gateways.isReady(1); }, milliseconds{10'000}));
    w.runFor(milliseconds{2000});
    for (std::size_t i = 0; i < gateways.count(); ++i) {
        CHECK(gateways.isRunning(i));
        const auto answer = std::make_shared<client_answer>();
        w.startRequestAt(gateways.clientAddress(i),
                         makeRequest("GET", "/p/x", "a-" + std::to_string(i)), {}, answer);
        REQUIRE(w.await(answer));
        CHECK(answer->status == 200);
    }
}
