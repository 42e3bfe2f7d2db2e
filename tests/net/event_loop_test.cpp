#include "net/timer_heap.h"
#include "net/udp_socket.h"
#include "net_test_support.h"

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace orchidlead::net;
using std::chrono::milliseconds;

namespace {

event_loop *signalledLoop = nullptr;

void stopSignalledLoop(int)
{
    signalledLoop->stop();
}

} // namespace

TEST_CASE("Timers run in the order of their due times, and timers due at the same time in the "
          "order added")
{
    timer_heap heap;
    const orchidlead::steady_time start{std::chrono::hours{1}};
    std::string order;
    heap.add(start + milliseconds{9}, [&] { order += 'e'; });
    heap.add(start + milliseconds{6}, [&] { order += 'c'; });
    heap.add(start + milliseconds{6}, [&] { order += 'd'; });
    const auto cancelled = heap.add(start + milliseconds{4}, [&] { order += 'x'; });
    heap.add(start + milliseconds{2}, [&] {
        order += 'a';
        heap.cancel(cancelled);
        heap.add(start + milliseconds{3}, [&] { order += 'b'; });
    });

    CHECK_FALSE(heap.takeDue(start + milliseconds{1}));
    while (auto task = heap.takeDue(start + milliseconds{8}))
        task();
    CHECK(order == "abcd");
    CHECK(heap.next() == start + milliseconds{9});
    CHECK(heap.size() == 1);
}

TEST_CASE("The loop runs timers, including those added by a timer, but not cancelled ones")
{
    test_loop loop;
    std::string order;
    const auto cancelled = loop->callAfter(std::chrono::hours{1}, [&] { order += 'x'; });
    loop->callAfter(milliseconds{1}, [&] {
        order += 'a';
        loop->cancelTimer(cancelled);
        loop->callAfter(milliseconds{1}, [&] {
            order += 'b';
            loop->callAfter(milliseconds{0}, [&] {
                order += 'c';
                loop->stop();
            });
        });
    });
    const auto soonCancelled = loop->callAfter(milliseconds{0}, [&] { order += 'y'; });
    loop->cancelTimer(soonCancelled);

    REQUIRE(loop.run());
    CHECK(order == "abc");
}

TEST_CASE("Entries of cancelled timers do not accumulate in the heap")
{
    timer_heap heap;
    const orchidlead::steady_time start{std::chrono::hours{1}};
    const int rounds = 100000;
    int run = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto id = heap.add(start + milliseconds{rounds - i}, [&] { ++run; });
        if (i % 1000 != 0)
            heap.cancel(id);
    }
    CHECK(heap.size() == 100);
    CHECK(heap.entries() < 400);
    orchidlead::steady_time last = start;
    while (const auto next = heap.next()) {
        CHECK(*next >= last);
        last = *next;
        heap.takeDue (*next)();
    }
    CHECK(run == 100);
}

TEST_CASE("Tasks posted by another thread run in order on the thread of the loop")
{
    test_loop loop;
    constexpr int Tasks = 1000;
    std::vector<int> seen;
    const auto here = std::this_thread::get_id();
    bool elsewhere = false;
    std::thread other([&] {
        for (int i = 0; i < Tasks; ++i) {
            loop->post([&, i] {
                elsewhere = elsewhere || std::this_thread::get_id() != here;
                seen.push_back(i);
            });
        }
        loop->post([&] { loop->stop(); });
    });
    const bool stopped = loop.run();
    other.join();

    REQUIRE(stopped);
    CHECK_FALSE(elsewhere);
    REQUIRE(seen.size() == Tasks);
    CHECK(std::is_sorted(seen.begin(), seen.end()));
}

TEST_CASE("A signal handler may stop the loop")
{
    test_loop loop;
    signalledLoop = &*loop;
    const auto before = std::signal(SIGUSR1, stopSignalledLoop);
    loop->callAfter(milliseconds{1}, [] { std::raise(SIGUSR1); });

    CHECK(loop.run());
    std::signal(SIGUSR1, before);
}

TEST_CASE("Datagrams are sent and received in both directions")
{
    test_loop loop;
    std::unique_ptr<udp_socket> server;
    server =
        std::move(udp_socket::create(*loop, {"127.0.0.1", 0},
                                     [&](const orchidlead::socket_address &from,
                                         std::string_view bytes) { server->send(from, bytes); }))
            .value();
    std::vector<std::string> got;
    const std::vector<std::string> sent{"a", "", std::string(1400, 'b'), std::string(20000, 'c')};
    auto client =
        udp_socket::create(*loop, {"127.0.0.1", 0},
                           [&](const orchidlead::socket_address &from, std::string_view bytes) {
                               CHECK(from.port == server->port());
                               got.emplace_back(bytes);
                               if (got.size() == sent.size())
                                   loop->stop();
                           });
    REQUIRE(client.has_value());
    for (const auto &bytes : sent)
        client.value()->send({"127.0.0.1", server->port()}, bytes);

    REQUIRE(loop.run());
    CHECK((got == sent));
}

TEST_CASE("A UDP socket may be destroyed by its own handler, which frees its port")
{
    test_loop loop;
    std::unique_ptr<udp_socket> socket;
    int got = 0;
    socket =
        std::move(udp_socket::create(*loop, {"127.0.0.1", 0},
                                     [&](const orchidlead::socket_address &, std::string_view) {
                                         ++got;
                                         socket.reset();
                                     }))
            .value();
    const auto port = socket->port();
    socket->send({"127.0.0.1", port}, "one");
    socket->send({"127.0.0.1", port}, "two");

    REQUIRE(loop.runUntil([&] { return got > 0; }));
    CHECK(got == 1);
    CHECK(loop.runUntil([&] {
        return udp_socket::create(*loop, {"127.0.0.1", port}, {}).has_value();
    }));
}

TEST_CASE("Listening on an address in use returns an error")
{
    test_loop loop;
    const auto server = serve(loop, [](http_request &&, const response_ptr &) {});
    http_server_options options;
    options.listen = {"127.0.0.1", server->port()};

    const auto second = http_server::create(*loop, options, {});

    REQUIRE_FALSE(second.has_value());
    CHECK_THAT(second.error().what, Catch::Matchers::Contains("in use"));
}
