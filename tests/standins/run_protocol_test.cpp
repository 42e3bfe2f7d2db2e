#include "standins/answer_check.h"
#include "standins/json_http.h"
#include "standins/proof_marker.h"
#include "standins/run_protocol.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::standins;

namespace {

constexpr const char *Nonce = "00000000000000aa";

net::http_request stageRequest(const std::string &id, const std::string &body)
{
    net::http_request request;
    request.method = "POST";
    request.path = "/run";
    request.headers = {{"x-request-id", id}};
    request.body = body;
    return request;
}

std::string stageBody(const std::string &stage, const std::string &previous)
{
    return R"({"request":"vm-1-2-3","stage":")" + stage
        + R"(","stage_index":1,"attempt":2,"customer":"saare","deadline_ms":50,)"
          R"("input":{"text":"nonce:00000000000000aa minutes"},"previous":)"
        + previous + "}";
}

std::string inputDigest()
{
    return contentDigest(R"({"text":"nonce:00000000000000aa minutes"})");
}

} // namespace

TEST_CASE("a stage's output bears its mark and those of the stages before it")
{
    const auto first = parseStageCall(stageRequest("vm-1-2-3/1/2", stageBody("encode", "{}")));
    REQUIRE(first.has_value());
    CHECK(first.value().customer == "saare");
    CHECK(first.value().nonce == Nonce);
    const std::string previous = "{\"encode\":" + toCompactJson(first.value().output) + "}";
    const auto second = parseStageCall(stageRequest("vm-1-2-3/1/2", stageBody("rerank", previous)));
    REQUIRE(second.has_value());
    const std::string output = toCompactJson(second.value().output);
    CHECK(checkOutput(output, {Nonce, inputDigest(), {"encode", "rerank"}, {}}).empty());
}

TEST_CASE("an output of another request, or without a stage's mark, is noticed")
{
    const auto call = parseStageCall(stageRequest("vm-1-2-3/1/2", stageBody("encode", "{}")));
    REQUIRE(call.has_value());
    const std::string output = toCompactJson(call.value().output);
    const auto foreign = checkOutput(output, {toHex(1), inputDigest(), {"encode"}, {}});
    CHECK(foreign == std::vector{answer_fault::Foreign});
    const auto otherInput = checkOutput(output, {Nonce, contentDigest("x"), {"encode"}, {}});
    CHECK(otherInput == std::vector{answer_fault::Foreign});
    const auto incomplete = checkOutput(output, {Nonce, inputDigest(), {"encode"}, {"small-7b"}});
    CHECK(incomplete == std::vector{answer_fault::Incomplete});
}

TEST_CASE("a call whose body names another attempt than its header is refused")
{
    const auto id = GENERATE("vm-1-2-4/1/2", "vm-1-2-3/0/2", "vm-1-2-3/1/1", "vm-1-2-3/1", "");
    CAPTURE(id);
    CHECK_FALSE(parseStageCall(stageRequest(id, stageBody("encode", "{}"))).has_value());
}

TEST_CASE("a completion bears the marks that its prompt bears, and the same prompt gives the same")
{
    const std::string proof = toText(proof_marker{"encode", Nonce, inputDigest()});
    const std::string body = R"({"model":"small-7b","prompt":"nonce:00000000000000aa )" + proof
        + R"(","max_tokens":8,"stream":true,"priority":2,"deadline_ms":100})";
    const auto call = parseCompletionCall(stageRequest("vm-1-2-3/3/1", body));
    const auto again = parseCompletionCall(stageRequest("vm-1-2-3/3/2", body));
    REQUIRE(call.has_value());
    REQUIRE(again.has_value());
    CHECK(call.value().tokens == again.value().tokens);
    CHECK(call.value().tokens.size() <= 8);
    CHECK(call.value().priority == priority::Low);
    const auto answer = completionAnswer(call.value(), "cmpl-vm-1-2-3/3/1", milliseconds{1});
    CHECK(checkOutput(toCompactJson(answer), {Nonce, inputDigest(), {"encode"}, {"small-7b"}})
              .empty());
}

TEST_CASE("a streamed answer without its last event is cut off")
{
    const std::string tokens = "event: token\ndata: {\"text\":\" The\"}\n\n"
                               "event: token\ndata: {\"text\":\" end\"}\n\n";
    const std::string outcome =
        "event: outcome\ndata: "
        "{\"request\":\"r\",\"outcome\":\"answered\",\"reason\":\"none\"}\n\n";
    CHECK_FALSE(parseStream(tokens).answer.has_value());
    CHECK_FALSE(parseStream(tokens + outcome.substr(0, outcome.size() - 1)).answer.has_value());
    const auto whole = parseStream(tokens + outcome);
    CHECK(whole.text == " The end");
    REQUIRE(whole.answer.has_value());
    CHECK(whole.answer->end == caller_end::Answered);
}
