#include "wire/attempt_header.h"
#include "wire/completion_wire.h"
#include "wire/json_stage_wire.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace orchidlead::wire {
namespace {

payload text(std::string value)
{
    return std::make_shared<const std::string>(std::move(value));
}

send_attempt sampleAttempt()
{
    send_attempt attempt;
    attempt.key = {request_id{"vm1-5f3a-17"}, 2, 3};
    attempt.stage.id = stage_id{"rerank"};
    attempt.customer = customer_id{"say \"hi\"\n"};
    attempt.input = text(R"({"text":"1.10","n":1.10})");
    attempt.previous = {{stage_id{"encode"}, text("[1,2]")}, {stage_id{"find"}, text("\"x\"")}};
    return attempt;
}

send_attempt engineAttempt(bool stream)
{
    auto attempt = sampleAttempt();
    attempt.stage.kind = service_kind::Engine;
    attempt.stage.model = "small-7b";
    attempt.stage.maxTokens = 8;
    attempt.stream = stream;
    return attempt;
}

result<wire_answer, wire_error> decodePool(const std::string &body, const wire_bounds &bounds = {})
{
    json_stage_wire::decoder decoder(sampleAttempt(), bounds);
    const auto progress = decoder.feed(body);
    if (!progress)
        return failure(progress.error());
    return decoder.finish();
}

std::string streamEvent(const std::string &id, const std::string &word, const std::string &rest)
{
    return R"(data: {"id":")" + id + R"(","choices":[{"index":0,"text":")" + word
        + R"(","finish_reason":)" + rest + "}\n\n";
}

const std::string OwnId = "cmpl-vm1-5f3a-17/2/3";
const std::string First = streamEvent(OwnId, "a", "null}]");
const std::string Last =
    streamEvent(OwnId, " b", R"("stop"}],"usage":{"completion_tokens":2},"busy_ms":5)");
const std::string Done = "data: [DONE]\n\n";

TEST_CASE("A pool call carries the payloads byte for byte inside valid JSON")
{
    const auto attempt = sampleAttempt();
    const std::string body = json_stage_wire::composeBody(attempt, milliseconds{950});
    CAPTURE(body);
    const auto parsed = parseJson(body);
    REQUIRE(parsed.has_value());
    const Json::Value &call = parsed.value();
    CHECK(call["customer"].asString() == attempt.customer.value);
    CHECK(call["deadline_ms"].asInt() == 950);
    CHECK(sourceText(body, call["input"]) == *attempt.input);
    CHECK(sourceText(body, call["previous"]["encode"]) == "[1,2]");
}

TEST_CASE("A pool answer gives its own key, and its output byte for byte")
{
    const auto answer = decodePool(R"({"request":"other","stage_index":2,"attempt":9,)"
                                   R"("output":{"big":12345678901234567890.10},"busy_ms":12,)"
                                   R"("load":{"running":3,"queued":1,"capacity":8}})");
    REQUIRE(answer.has_value());
    CHECK(answer.value().echoed == attempt_key{request_id{"other"}, 2, 9});
    CHECK(answer.value().output == R"({"big":12345678901234567890.10})");
    CHECK(answer.value().busy == milliseconds{12});
    REQUIRE(answer.value().load.has_value());
    CHECK(answer.value().load->running == 3);
}

TEST_CASE("A pool answer that isn't whole, is doubled, too deep or names nothing is refused")
{
    const std::string good = R"({"request":"r","stage_index":0,"attempt":1,"output":1})";
    REQUIRE(decodePool(good).has_value());
    const std::string deep = R"({"request":"r","stage_index":0,"attempt":1,"output":)"
        + std::string(100000, '[') + std::string(100000, ']') + "}";
    const std::vector<std::string> bad{
        "",
        "null",
        good.substr(0, good.size() - 1),
        good + good,
        deep,
        R"({"request":"r","stage_index":0,"attempt":1})",
        R"({"request":"r","stage_index":0,"output":1})",
        R"({"request":7,"stage_index":0,"attempt":1,"output":1})",
        R"({"request":"r","stage_index":-1,"attempt":1,"output":1})",
        R"({"request":"r","stage_index":4294967296,"attempt":1,"output":1})",
        R"({"request":"r","request":"s","stage_index":0,"attempt":1,"output":1})",
    };
    for (const auto &body : bad) {
        CAPTURE(body.substr(0, 80));
        const auto answer = decodePool(body);
        REQUIRE(answer.has_error());
        CHECK(answer.error() == wire_error::Malformed);
    }
}

TEST_CASE("A pool answer is refused at the byte that passes the bound")
{
    wire_bounds bounds;
    bounds.json.maxBytes = 10;
    const auto answer = decodePool("[1,2,3,4,5]", bounds);
    REQUIRE(answer.has_error());
    CHECK(answer.error() == wire_error::TooLarge);
}

TEST_CASE("An engine call holds the texts of its inputs as the prompt")
{
    const auto parsed =
        parseJson(completion_wire::composeBody(engineAttempt(true), milliseconds{7}));
    REQUIRE(parsed.has_value());
    CHECK(parsed.value()["prompt"].asString() == "1.10\n[1,2]\nx");
    CHECK(parsed.value()["stream"].asBool());
    CHECK(parsed.value()["max_tokens"].asInt() == 8);
}

TEST_CASE("A streamed answer is whole only with its finish reason and its end mark")
{
    const auto attempt = engineAttempt(true);
    completion_wire::decoder decoder(attempt, wire_bounds{});
    const auto first = decoder.feed(First);
    REQUIRE(first.has_value());
    CHECK(first.value().chunks == std::vector<std::string>{"a"});
    CHECK_FALSE(first.value().whole);
    CHECK(decoder.finish().error() == wire_error::Incomplete);

    REQUIRE(decoder.feed(Last).has_value());
    CHECK(decoder.finish().error() == wire_error::Incomplete);
    const auto end = decoder.feed(Done + First);
    REQUIRE(end.has_value());
    CHECK(end.value().whole);
    CHECK(end.value().chunks.empty());

    const auto answer = decoder.finish();
    REQUIRE(answer.has_value());
    CHECK(answer.value().output == R"({"text":"a b","finish_reason":"stop"})");
    CHECK(answer.value().tokens == 2);
    CHECK(answer.value().echoed == attempt.key);

    completion_wire::decoder early(attempt, wire_bounds{});
    CHECK(early.feed(First + Done).error() == wire_error::Malformed);
}

TEST_CASE("No text of a stream that names another attempt is handed on")
{
    completion_wire::decoder decoder(engineAttempt(true), wire_bounds{});
    const auto progress = decoder.feed(First + streamEvent("cmpl-vm1-5f3a-17/2/4", "x", "null}]"));
    REQUIRE(progress.has_error());
    CHECK(progress.error() == wire_error::Foreign);
}

TEST_CASE("The generated text is bounded over all events")
{
    wire_bounds bounds;
    bounds.maxTextBytes = 1;
    completion_wire::decoder decoder(engineAttempt(true), bounds);
    REQUIRE(decoder.feed(First).has_value());
    CHECK(decoder.feed(First).error() == wire_error::TooLarge);
}

TEST_CASE("An answer in one piece gives the key that its id names")
{
    completion_wire::decoder decoder(engineAttempt(false), wire_bounds{});
    REQUIRE(decoder
                .feed(R"({"id":"cmpl-other/0/1","choices":[{"index":0,"text":"hi",)"
                      R"("finish_reason":"length"}],"usage":{"completion_tokens":64}})")
                .has_value());
    const auto answer = decoder.finish();
    REQUIRE(answer.has_value());
    CHECK(answer.value().echoed == attempt_key{request_id{"other"}, 0, 1});
    CHECK(answer.value().tokens == 64);
}

TEST_CASE("Only what formatAttemptKey writes is read as an attempt's key")
{
    const attempt_key key{request_id{"a/b"}, 7, 1};
    CHECK(parseAttemptKey(formatAttemptKey(key)) == key);
    for (const char *bad : {"", "a", "a/1", "/1/2", "a/1/", "a/-1/2", "a/1/2 ", "a/1/4294967296"}) {
        CAPTURE(bad);
        CHECK_FALSE(parseAttemptKey(bad).has_value());
    }
}

TEST_CASE("Bytes that aren't UTF-8 and control bytes never reach a JSON string")
{
    std::string out;
    appendJsonString(out, "a\"\\\n\x01\x7f\xc0\xaf\xed\xa0\x80\xe2\x82\xac\xf0\x9f\x98\x80\xf4");
    CHECK(out
          == "\"a\\\"\\\\\\n\\u0001\\u007f\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd"
             "\xef\xbf\xbd\xe2\x82\xac\xf0\x9f\x98\x80\xef\xbf\xbd\"");
}

} // namespace
} // namespace orchidlead::wire
