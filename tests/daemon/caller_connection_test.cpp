#include "daemon/caller_connection.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::daemon;

namespace {

/// A caller that reads nothing until it is told to.
class slow_caller final : public net::response_writer
{
public:
    void respond(int status, const net::header_list &, std::string body) override
    {
        statuses.push_back(status);
        queued += body.size();
    }
    void begin(int status, const net::header_list &) override { statuses.push_back(status); }
    void write(std::string chunk) override { queued += chunk.size(); }
    void finish() override { finished = true; }
    [[nodiscard]] bool open() const override { return true; }
    [[nodiscard]] std::size_t queuedBytes() const override { return queued; }
    void onDrained(std::function<void()> handler) override { drained = std::move(handler); }
    void onClosed(std::function<void()>) override { }

    void readAll()
    {
        queued = 0;
        drained();
    }

    std::vector<int> statuses;
    std::size_t queued = 0;
    bool finished = false;
    std::function<void()> drained;
};

} // namespace

TEST_CASE("a slow reader of a stream stops the reading of the engine until it has caught up")
{
    const auto caller = std::make_shared<slow_caller>();
    std::vector<bool> reading;
    const auto connection = std::make_shared<caller_connection>(
        caller, 1000, [&](bool goOn) { reading.push_back(goOn); });
    for (int count = 0; count < 10; ++count)
        connection->onChunk("short");
    CHECK(reading.empty());
    for (int count = 0; count < 10; ++count)
        connection->onChunk(std::string(200, 'x'));
    CHECK(reading == std::vector<bool>{false});
    caller->readAll();
    CHECK(reading == std::vector<bool>{false, true});
    connection->onAnswer({});
    CHECK(caller->finished);
    CHECK(caller->statuses == std::vector<int>{200});
}

TEST_CASE("an end before the first token has its own status")
{
    const auto caller = std::make_shared<slow_caller>();
    const auto connection =
        std::make_shared<caller_connection>(caller, 1000, [](bool) { FAIL("nothing to stop"); });
    final_answer answer;
    answer.reason = refusal_reason::Overloaded;
    connection->onAnswer(answer);
    CHECK(caller->statuses == std::vector<int>{429});
}
