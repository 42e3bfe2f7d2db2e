#include "tests/wire/fake_net.h"
#include "wire/base64.h"
#include "wire/peer_client.h"
#include "wire/peer_server.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace orchidlead::wire {
namespace {

const socket_address Peer{"127.0.0.1", 7101};

/// A client whose calls are handed to a server by the test.
struct peer_pair
{
    peer_pair()
        : server({[this](const configuration_fetch &fetch) { return serveConfiguration(fetch); },
                  [this](const gate_message &message) { gateMessages.push_back(message.bytes); },
                  [this](forward_request request, std::shared_ptr<forward_reply> reply) {
                      forwarded.push_back({std::move(request), std::move(reply)});
                  }})
        , client(loop, http, clock)
    { }

    std::optional<configuration_content> serveConfiguration(const configuration_fetch &fetch) const
    {
        if (fetch.version > held.version)
            return std::nullopt;
        return held;
    }

    /// Hands the last call to the server and what it answers back.
    void carry()
    {
        auto &started = http.calls.back();
        const auto response = serve(started.call.path, started.call.body);
        started.answer(*response->status, response->body, response->headers);
        loop.run();
    }

    std::shared_ptr<fake_response> serve(const std::string &target, const std::string &body)
    {
        const auto mark = target.find('?');
        net::http_request request;
        request.method = "POST";
        request.path = target.substr(0, mark);
        request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
        request.body = body;
        auto response = std::make_shared<fake_response>();
        server.handle(std::move(request), response);
        return response;
    }

    struct forwarded_call
    {
        forward_request request;
        std::shared_ptr<forward_reply> reply;
    };

    fake_loop loop;
    fake_http_client http;
    manual_clock clock;
    configuration_content held{12, "a: \"\xe2\x82\xac\xf0\x9f\x98\x80\"\n"};
    std::vector<std::string> gateMessages;
    std::vector<forwarded_call> forwarded;
    peer_server server;
    peer_client client;
};

TEST_CASE("A peer's configuration arrives byte for byte, and one that it doesn't hold is refused")
{
    peer_pair pair;
    std::optional<result<configuration_content, peer_error>> answer;
    const auto keep = [&](result<configuration_content, peer_error> got) { answer = got; };

    pair.client.fetchConfiguration(Peer, {12}, milliseconds{1000}, keep);
    pair.carry();
    REQUIRE(answer.has_value());
    REQUIRE(answer->has_value());
    CHECK(answer->value().version == 12);
    CHECK(answer->value().content == pair.held.content);

    pair.client.fetchConfiguration(Peer, {13}, milliseconds{1000}, keep);
    pair.carry();
    REQUIRE(answer->has_error());
    CHECK(answer->error().failure == peer_failure::Refused);
}

TEST_CASE("A message of the at-most-once gate with any bytes arrives as it was sent")
{
    peer_pair pair;
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte)
        bytes += static_cast<char>(byte);
    bool taken = false;
    for (const auto &message : {bytes, std::string{}, std::string{"a"}}) {
        taken = false;
        pair.client.sendGateMessage(Peer, {vm_id{"vm-1"}, message}, milliseconds{1000},
                                    [&](auto answer) { taken = answer.has_value(); });
        pair.carry();
        CHECK(taken);
        CHECK(pair.gateMessages.back() == message);
    }
}

TEST_CASE("A forwarded request is answered later, with the status and body of the other node")
{
    peer_pair pair;
    std::optional<result<forward_answer, peer_error>> answer;
    pair.client.forward(Peer, {vm_id{"vm-1"}, milliseconds{900}, R"({"n":1.10})"},
                        [&](auto got) { answer = got; });
    auto &started = pair.http.calls.back();
    CHECK_FALSE(started.call.reuseConnection);
    const auto response = pair.serve(started.call.path, started.call.body);
    CHECK(response->open());
    REQUIRE(pair.forwarded.size() == 1);
    CHECK(pair.forwarded[0].request.origin == vm_id{"vm-1"});
    CHECK(pair.forwarded[0].request.remaining == milliseconds{900});
    CHECK(pair.forwarded[0].request.call == R"({"n":1.10})");

    pair.forwarded[0].reply->answer({520, "{}"});
    started.answer(*response->status, response->body, response->headers);
    pair.loop.run();
    REQUIRE(answer.has_value());
    REQUIRE(answer->has_value());
    CHECK(answer->value().status == 520);
}

TEST_CASE("An answer of the HTTP layer isn't taken for one to a forwarded request")
{
    peer_pair pair;
    std::optional<result<forward_answer, peer_error>> answer;
    pair.client.forward(Peer, {vm_id{"vm-1"}, milliseconds{900}, "{}"},
                        [&](auto got) { answer = got; });
    pair.http.calls.back().answer(503, "{}", {{"content-type", "application/json"}});
    pair.loop.run();
    REQUIRE(answer.has_value());
    CHECK(answer->error().failure == peer_failure::BadAnswer);
}

TEST_CASE(
    "A forwarded request whose time has run out isn't sent, and one that may have left says so")
{
    peer_pair pair;
    std::vector<peer_failure> failures;
    const auto keep = [&](result<forward_answer, peer_error> got) {
        failures.push_back(got.error().failure);
    };
    const forward_request request{vm_id{"vm-1"}, milliseconds{900}, "{}"};

    pair.client.forward(Peer, request, keep);
    pair.clock.advance(milliseconds{900});
    pair.http.calls.back().answer(200, "{}");

    pair.client.forward(Peer, request, keep);
    CHECK(pair.http.calls.back().call.mayStillSend());
    pair.http.calls.back().events.onEnd(net::call_end::NotSent);
    pair.loop.run();
    CHECK(failures == std::vector{peer_failure::NotSent, peer_failure::Broken});
}

TEST_CASE("A call that ends at once reports after its start, and a cancelled one never")
{
    peer_pair pair;
    pair.http.failAtOnce = true;
    int ends = 0;
    const auto count = [&](result<forward_answer, peer_error>) { ++ends; };
    pair.client.forward(Peer, {vm_id{"vm-1"}, milliseconds{900}, "{}"}, count);
    CHECK(ends == 0);
    pair.loop.run();
    CHECK(ends == 1);

    const auto call = pair.client.forward(Peer, {vm_id{"vm-1"}, milliseconds{900}, "{}"}, count);
    pair.client.cancel(call);
    pair.loop.run();
    CHECK(ends == 1);
}

TEST_CASE("Malformed calls are refused and reach no handler")
{
    peer_pair pair;
    const std::string deep = std::string(200000, '[') + std::string(200000, ']');
    const std::vector<std::string> bad{
        "",
        "null",
        "{",
        "[]",
        R"([{"jsonrpc":"2.0","id":1,"method":"gate.message","params":{"from":"a","bytes":"AA=="}}])",
        R"({"jsonrpc":"2.0","id":1,"method":"gate.message","params":)" + deep + "}",
        R"({"jsonrpc":"2.0","id":1,"method":7,"params":{}})",
        R"({"jsonrpc":"2.0","id":1,"method":"rm","params":{}})",
        R"({"jsonrpc":"2.0","id":1,"method":"gate.message"})",
        R"({"jsonrpc":"2.0","id":1,"method":"gate.message","params":[]})",
        R"({"jsonrpc":"2.0","id":1,"method":"gate.message","params":{"from":"a","bytes":7}})",
        R"({"jsonrpc":"2.0","id":1,"method":"gate.message","params":{"from":"a","bytes":"A"}})",
        R"({"jsonrpc":"2.0","id":1,"method":"gate.message","params":{"from":"a","bytes":"A==="}})",
        R"({"jsonrpc":"2.0","id":1,"method":"gate.message","params":{"from":"a b","bytes":""}})",
        R"({"jsonrpc":"2.0","id":1,"method":"configuration.fetch","params":{"version":-1}})",
        R"({"jsonrpc":"2.0","id":1,"method":"configuration.fetch","params":{"version":1e99}})",
    };
    for (const auto &body : bad) {
        CAPTURE(body.substr(0, 100));
        const auto response = pair.serve("/rpc", body);
        REQUIRE(response->status.has_value());
        CAPTURE(response->body);
        const bool refused =
            *response->status == 400 || response->body.find("\"error\"") != std::string::npos;
        CHECK(refused);
    }
    for (const char *query : {"", "origin=a", "origin=&remaining_ms=1", "origin=a&remaining_ms=",
                              "origin=a&remaining_ms=-1", "origin=a&remaining_ms=3600001",
                              "origin=a%20b&remaining_ms=1", "remaining_ms=1&origin=a"}) {
        CAPTURE(query);
        CHECK(pair.serve("/forward?" + std::string{query}, "{}")->status == 400);
    }
    CHECK(pair.gateMessages.empty());
    CHECK(pair.forwarded.empty());
}

TEST_CASE("An answer to another call, doubled or of no known form isn't taken")
{
    for (const char *bad :
         {"", "[]", R"({"id":1,"result":{}})", R"({"jsonrpc":"2.0","id":2,"result":{}})",
          R"({"jsonrpc":"2.0","id":1})", R"({"jsonrpc":"2.0","id":1,"result":{},"error":{}})",
          R"({"jsonrpc":"2.0","id":1,"error":7})",
          R"({"jsonrpc":"2.0","id":1,"result":{}}{"jsonrpc":"2.0","id":1,"result":{}})"}) {
        CAPTURE(bad);
        const auto answer = parseRpcAnswer(1, bad);
        REQUIRE(answer.has_error());
        CHECK(answer.error().code == 0);
    }
    CHECK(parseRpcAnswer(1, R"({"jsonrpc":"2.0","id":1,"result":{}})").has_value());
}

} // namespace
} // namespace orchidlead::wire
