// Servers that send an answer again where the next answer on the connection is expected. Answers
// that name no request can't be told from the one that is expected.
#include "cut_off_world.h"
#include "wire/json_text.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr int Sent = 12;

std::string attemptOf(const server_request &request)
{
    return std::string(http::findField(request.head.fields, "x-attempt-id").value_or(""));
}

/// Writes answers, and the last one on a connection once more before the next one there.
class repeating_writer
{
public:
    void write(const std::shared_ptr<server_answer> &answer, const std::string &text)
    {
        auto &last = m_last[answer];
        answer->write(last + text);
        last = text;
    }
    [[nodiscard]] bool hasWritten(const std::shared_ptr<server_answer> &answer) const
    {
        return m_last.contains(answer);
    }

private:
    std::map<std::shared_ptr<server_answer>, std::string> m_last; ///< by connection
};

} // namespace

// Guards against an unsafe request that runs at two servers since a copy of an earlier rejection is
// taken for its own.
TEST_CASE("a request doesn't run twice although a server sends a rejection again")
{
    world w;
    repeating_writer writer;
    std::map<std::string, int> runs;
    for (const auto *id : {"s-1", "s-2"})
        w.addServer("web", id).setBehaviour(
            [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
                if (!writer.hasWritten(answer) && request.head.target == "/p/reject") {
                    writer.write(answer,
                                 "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n");
                    return;
                }
                ++runs[attemptOf(request)];
                writer.write(answer, signedAnswer(request, "done"));
            });
    w.publish(1, plainRoute("unsafe"));
    w.startGateway("g1");
    for (int i = 0; i < Sent; ++i) {
        const auto attempt = "a" + std::to_string(i);
        const auto target = i % 2 == 0 ? "/p/reject" : "/p/x";
        const auto answer = w.request("g1", makeRequest("POST", target, attempt), "x");
        REQUIRE(w.await(answer));
        CAPTURE(attempt);
        CHECK(runs[attempt] <= 1);
        if (i % 2 != 0)
            CHECK(answer->status == 200);
        else if (answer->status == 503)
            CHECK(runs[attempt] == 0);
    }
}

// Guards against a request that is run with the results of another one since a copy of an earlier
// answer to a stage call is taken for that of the next call.
TEST_CASE("a request gets its own results although a stage server sends an answer again")
{
    cut_off_world w(streamRoute(true, Stages));
    repeating_writer writer;
    std::map<std::string, std::string> made; // handle by attempt
    std::map<std::string, std::string> used;
    int count = 0;
    w.setBehaviour(
        "q", [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            if (request.head.target == "/stage-free") {
                answer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            const auto call = wire::parseJson(request.body).value();
            std::string results;
            for (const auto &item : call["items"]) {
                const auto handle = "127.0.0.1:9/" + std::to_string(++count);
                made[item["id"].asString()] = handle;
                results +=
                    std::string(results.empty() ? "" : ",") + R"({"handle":")" + handle + R"("})";
            }
            const auto body = R"({"items":[)" + results + "]}";
            writer.write(answer,
                         "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                             + "\r\n\r\n" + body);
        });
    w.setBehaviour(
        "engine", [&](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            used[attemptOf(request)] =
                std::string(http::findField(request.head.fields, "x-input-count").value_or(""));
            answerOneEvent(request, answer);
        });
    int served = 0;
    for (int i = 0; i < Sent; ++i) {
        const auto attempt = w.nextAttempt();
        const auto answer = w.request("g1", makeStagedRequest(attempt, "1"), "x");
        REQUIRE(w.await(answer));
        CAPTURE(attempt, answer->status);
        if (answer->status == 200)
            ++served;
        CHECK(used[attempt] == (answer->status == 200 ? made[attempt] : ""));
    }
    CHECK(served == Sent);
}
