// Guards against answers whose server stopped inside the head and closed: clients must not get them
// as a success, or as a promise that their request has not run.
#include "cut_off_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

enum class ending { Close, Reset, CloseLater };

constexpr milliseconds LaterTime{150};
/// A request whose server broke off is answered long before its timeout of 2 s.
constexpr milliseconds SoonTime{1000};

/// Returns places at which to cut a head: in the status line, before, in and behind each field.
std::vector<std::size_t> cutsOf(const std::string &head)
{
    std::vector<std::size_t> cuts{1, 5, 9, 11, 12};
    for (auto at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 1)) {
        for (const std::size_t offset : {0, 1, 2, 5})
            cuts.push_back(at + offset);
        if (const auto colon = head.find(": ", at); colon != std::string::npos)
            cuts.push_back(colon + 3);
    }
    std::erase_if(cuts, [&](std::size_t each) { return each >= head.size(); });
    std::ranges::sort(cuts);
    cuts.erase(std::unique(cuts.begin(), cuts.end()), cuts.end());
    return cuts;
}

void end(world &w, const std::shared_ptr<server_answer> &answer, ending how)
{
    if (how == ending::Close)
        answer->close();
    else if (how == ending::Reset)
        w.loop.callAfter(milliseconds{5}, [answer] { answer->reset(); });
    else
        w.loop.callAfter(LaterTime, [answer] { answer->close(); });
}

std::string attemptOf(const server_request &request)
{
    return std::string(http::findField(request.head.fields, "x-attempt-id").value_or(""));
}

/// Heads that would be forwarded, or would be taken for a refusal, if they were whole.
std::string headOf(const server_request &request, int kind)
{
    const auto signature =
        "X-Attempt-Id: " + attemptOf(request) + "\r\nX-Instance-Signature: sig\r\n";
    switch (kind) {
    case 0:
        return "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 12\r\n\r\n";
    case 1:
        return "HTTP/1.1 200 OK\r\n" + signature + "Connection: close\r\n\r\n";
    case 2:
        return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + signature
            + "Content-Length: 0\r\n\r\n";
    default:
        return "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\n" + signature
            + "Content-Length: 0\r\n\r\n";
    }
}
constexpr int HeadKinds = 4;

/// Returns the beginning of a head, never all of it.
std::string cutHead(const server_request &request, int kind, std::size_t cut)
{
    const auto head = headOf(request, kind);
    return head.substr(0, std::min(cut, head.size() - 1));
}

/// Requests for each that is sent to a second server: the budget of a node allows 0.8 * (0.2 *
/// requests + 50 / 8) of those.
constexpr int RequestsPerRetry = 8;

/// Calls a function with each place at which the heads of a kind are cut.
void forEachCut(int kind, const std::function<void(std::size_t)> &check)
{
    server_request example;
    example.head.fields = {{"X-Attempt-Id", "a-1000"}};
    for (const auto cut : cutsOf(headOf(example, kind)))
        check(cut);
}

struct head_world : world
{
    explicit head_world(const std::string &kind, int servers = 1)
    {
        publish(1, plainRoute(kind) + "," + streamRoute(true),
                R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})");
        for (int i = 0; i < servers; ++i) {
            web.push_back(&addServer("web", "s-" + std::to_string(i)));
            engines.push_back(&addServer("engine", "e-" + std::to_string(i)));
        }
        startGateway("g1");
    }

    /// Has the next call to any of the servers end inside its head; all others get `whole`.
    void cutNext(const std::vector<fake_server *> &servers, int kind, std::size_t cut, ending how,
                 const server_behaviour &whole)
    {
        const auto left = std::make_shared<int>(1);
        for (auto *each : servers) {
            each->setBehaviour([=, this](const server_request &request,
                                         const std::shared_ptr<server_answer> &answer) {
                if (--*left < 0) {
                    whole(request, answer);
                    return;
                }
                answer->write(cutHead(request, kind, cut));
                end(*this, answer, how);
            });
        }
    }

    std::string nextAttempt() { return "a-" + std::to_string(1000 + m_attempts++); }

    std::vector<fake_server *> web;
    std::vector<fake_server *> engines;

private:
    int m_attempts = 0;
};

void answerWhole(const server_request &request, const std::shared_ptr<server_answer> &answer)
{
    answer->write(signedAnswer(request, "whole"));
}

} // namespace

// Guards against a request that must not be repeated and gets a success, a promise or no answer.
TEST_CASE("a request that runs at most once whose answer ends inside the head fails at once")
{
    head_world w("unsafe");
    const auto kind = GENERATE(range(0, HeadKinds));
    const auto how = GENERATE(ending::Close, ending::Reset);
    forEachCut(kind, [&](std::size_t cut) {
        INFO("kind " << kind << ", cut " << cut << ", ending " << static_cast<int>(how));
        w.cutNext(w.web, kind, cut, how, answerWhole);
        const auto begin = w.clock.now();
        const auto arrived = w.web[0]->requests().size();
        const auto answer = w.request("g1", makeRequest("POST", "/p/x", w.nextAttempt()), "x");
        REQUIRE(w.await(answer));
        CHECK(answer->status == 502);
        CHECK(answer->field("X-Instance-Signature").empty());
        CHECK(w.clock.now() - begin < SoonTime);
        CHECK(w.web[0]->requests().size() == arrived + 1);
        // The next call, on a connection of its own, is answered.
        const auto next = w.request("g1", makeRequest("POST", "/p/x", w.nextAttempt()), "x");
        REQUIRE(w.await(next));
        CHECK(next->status == 200);
        CHECK(next->body == "whole");
    });
}

// Guards against a success without its body, on new and on kept connections.
TEST_CASE("a request that may be repeated whose answer ends inside the head is served elsewhere")
{
    head_world w("safe", 2);
    const auto kind = GENERATE(range(0, HeadKinds));
    const auto how = GENERATE(ending::Close, ending::Reset);
    int served = 0;
    int failed = 0;
    forEachCut(kind, [&](std::size_t cut) {
        w.cutNext(w.web, kind, cut, how, answerWhole);
        for (int i = 0; i < RequestsPerRetry; ++i) {
            const auto answer = w.request("g1", makeRequest("GET", "/p/x", w.nextAttempt()));
            REQUIRE(w.await(answer));
            INFO("kind " << kind << ", cut " << cut << ", status " << answer->status);
            if (answer->status == 200) {
                CHECK(answer->end == http::call_end::Complete);
                CHECK(answer->body == "whole");
                ++served;
            } else {
                CHECK(answer->status == 502);
                ++failed;
            }
        }
    });
    INFO("served " << served << ", failed " << failed);
    CHECK(failed == 0);
}

// Guards against a stream that ends as complete without an event, and against one that goes on
// after half a head.
TEST_CASE("a stream whose answer ends inside the head begins at another server")
{
    head_world w("safe", 2);
    const auto kind = GENERATE(range(0, HeadKinds));
    const auto how = GENERATE(ending::Close, ending::Reset, ending::CloseLater);
    forEachCut(kind, [&](std::size_t cut) {
        if (how == ending::CloseLater && cut % 3 != 0)
            return;
        INFO("kind " << kind << ", cut " << cut << ", ending " << static_cast<int>(how));
        w.cutNext(w.engines, kind, cut, how, answerOneEvent);
        for (int i = 0; i < RequestsPerRetry; ++i) {
            auto head = makeRequest("POST", "/s/x", w.nextAttempt());
            head.fields.push_back({"X-Prefix-Hash", "a:10"});
            const auto answer = w.request("g1", std::move(head), "x");
            REQUIRE(w.await(answer));
            CHECK(answer->status == 200);
            CHECK(answer->end == http::call_end::Complete);
            CHECK(answer->body == event(1));
        }
    });
}

// Guards against a continuation whose head breaks off and that ends the stream as complete.
TEST_CASE("a stream that breaks off and whose continuation ends inside the head never looks whole")
{
    head_world w("safe", 2);
    const auto how = GENERATE(ending::Close, ending::Reset);
    forEachCut(0, [&](std::size_t cut) {
        INFO("cut " << cut);
        for (auto *each : w.engines) {
            each->setBehaviour([&w, cut, how](const server_request &request,
                                              const std::shared_ptr<server_answer> &answer) {
                if (http::findField(request.head.fields, "last-event-id")) {
                    answer->write(cutHead(request, 0, cut));
                    end(w, answer, how);
                    return;
                }
                answer->write(streamHead(request) + chunk(event(1)));
                w.loop.callAfter(milliseconds{10}, [answer] { answer->reset(); });
            });
        }
        auto head = makeRequest("POST", "/s/x", w.nextAttempt());
        head.fields.push_back({"X-Prefix-Hash", "a:10"});
        const auto answer = w.request("g1", std::move(head), "x");
        REQUIRE(w.await(answer));
        CHECK(answer->status == 200);
        CHECK(answer->body == event(1));
        CHECK(answer->end != http::call_end::Complete);
    });
}

// Guards against half a head that a relay passes on as an answer, for a gateway that can't reach
// any server itself.
TEST_CASE("a relayed call whose answer ends inside the head is no success")
{
    cut_off_world w(plainRoute(GENERATE(as<std::string>{}, "safe", "unsafe")));
    w.cutFromServers("g1", cut_kind::Reset);
    const auto how = GENERATE(ending::Close, ending::Reset);
    REQUIRE(w.runUntil([&] { return w.isServed(w.startPlain("g1", "GET")) == 1; }));
    const auto kind = GENERATE(range(0, HeadKinds));
    forEachCut(kind, [&](std::size_t cut) {
        if (cut % 4 != 1)
            return;
        INFO("kind " << kind << ", cut " << cut);
        w.setBehaviour("web",
                       [&w, kind, cut, how](const server_request &request,
                                            const std::shared_ptr<server_answer> &answer) {
                           answer->write(cutHead(request, kind, cut));
                           end(w, answer, how);
                       });
        const auto answer = w.startPlain("g1", "POST");
        REQUIRE(w.await(answer));
        CHECK(answer->status == 502);
    });
    w.setBehaviour("web", answerAtOnce);
    CHECK(w.isServed(w.startPlain("g1", "GET")) == 1);
}

// Guards against a stage whose results are taken from half an answer, and against a request that is
// lost with the call.
TEST_CASE("a stage call whose answer ends inside the head is made again")
{
    cut_off_world w(streamRoute(true, Stages));
    const auto how = GENERATE(ending::Close, ending::Reset);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
    int results = 0;
    for (std::size_t cut = 1; cut < head.size(); cut += 5) {
        INFO("cut " << cut);
        const auto left = std::make_shared<int>(1);
        for (std::size_t i = 0; i < ServersPerService; ++i) {
            auto &stage = w.server("q-" + std::to_string(i));
            stage.setBehaviour([&, left, cut, how](const server_request &request,
                                                   const std::shared_ptr<server_answer> &answer) {
                if (request.head.target == "/stage-run" && --*left >= 0) {
                    answer->write(head.substr(0, cut));
                    end(w, answer, how);
                    return;
                }
                answerStages(w, stage, request, answer, milliseconds{20}, results);
            });
        }
        for (int i = 0; i < RequestsPerRetry; ++i) {
            const auto answer = w.request("g1", makeStagedRequest(w.nextAttempt(), "2"), "x");
            REQUIRE(w.await(answer));
            INFO("status " << answer->status << ", body " << answer->body);
            CHECK(w.isServed(answer) == 1);
        }
    }
}
