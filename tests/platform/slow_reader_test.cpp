// Clients that stop reading and go on later.
#include "two_engines_world.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int LongEvents = 8000;
constexpr std::size_t EventBytes = 4000; ///< all of them exceed what the system buffers
constexpr milliseconds Pause{1900}; ///< longer than a stream may be idle

std::string longEvent(int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(EventBytes, 'x') + "\n\n";
}

/// Returns the number of long events of a body if these are the first ones in order, else -1.
int countInOrder(const std::string &body)
{
    std::size_t at = 0;
    int number = 0;
    while (at < body.size()) {
        const auto next = longEvent(number + 1);
        if (body.compare(at, next.size(), next) != 0)
            return -1;
        at += next.size();
        ++number;
    }
    return number;
}

void writeEvents(const std::shared_ptr<server_answer> &answer, int first)
{
    for (int i = first; i <= LongEvents; ++i)
        answer->write(chunk(longEvent(i)));
}

} // namespace

// Guards against events that are lost, repeated or swapped while a server isn't read for a client
// that reads slowly.
TEST_CASE("a client that stops reading and goes on gets each event once")
{
    const bool breaksOff = GENERATE(false, true);
    two_engines_world w;
    std::shared_ptr<server_answer> open;
    w.scripts = {[&](const server_request &request, const auto &answer) {
                     open = answer;
                     answer->write(streamHead(request));
                     writeEvents(answer, 1);
                     if (!breaksOff)
                         answer->write(EndOfStream);
                 },
                 [](const server_request &request, const auto &answer) {
                     const auto last = http::findField(request.head.fields, "last-event-id");
                     REQUIRE(last);
                     answer->write(streamHead(request));
                     writeEvents(answer, std::stoi(std::string(*last)) + 1);
                     answer->write(EndOfStream);
                 }};
    const auto answer = std::make_shared<client_answer>();
    const auto call = w.startRequest("g1", w.streamRequest("a1"), "prompt", answer);
    REQUIRE(w.runUntil([&] { return !answer->body.empty(); }));
    w.pool.setReading(call, false);
    w.runFor(Pause);
    CHECK(open->queuedBytes() > 0);
    CHECK(w.arrived.size() == 1);
    if (breaksOff)
        open->reset();
    w.pool.setReading(call, true);
    REQUIRE(w.await(answer));
    CHECK(w.arrived.size() == (breaksOff ? 2U : 1U));
    CHECK(answer->end == http::call_end::Complete);
    CHECK(countInOrder(answer->body) == LongEvents);
}
