#include "daemon/caller_request_json.h"

#include <catch2/catch.hpp>

#include <string>

using namespace orchidlead;
using namespace orchidlead::daemon;

namespace {

/// A body with one more member before the end.
std::string bodyWith(const std::string &member)
{
    return R"({"customer": "saare", "pipeline": "minutes", "input": {"a": 1})" + member + "}";
}

struct bad_body
{
    std::string body;
    std::string detail; ///< what the error must name
};

} // namespace

TEST_CASE("a request is read with all its fields")
{
    const auto parsed = parseCallerRequest(
        bodyWith(R"(, "deadline_ms": 4000, "repeatable": false, "ticket": "t.1", "stream": true)"));
    REQUIRE(parsed.has_value());
    const caller_request &request = parsed.value();
    CHECK(request.customer.value == "saare");
    CHECK(request.pipeline.value == "minutes");
    CHECK(request.deadline == milliseconds{4000});
    CHECK(request.repeatable == false);
    CHECK(request.ticket == "t.1");
    CHECK_FALSE(request.idempotencyKey.has_value());
    CHECK(request.stream);
}

TEST_CASE("the input is handed on byte for byte")
{
    const std::string input = R"({ "n": 12345678901234567890123.10, "t":"\u00e4ö" })";
    const auto parsed =
        parseCallerRequest(R"({"customer":"c","input":)" + input + R"(,"pipeline":"p"})");
    REQUIRE(parsed.has_value());
    CHECK(*parsed.value().input == input);
}

TEST_CASE("each fault of a request is named")
{
    const std::string deep = std::string(100, '[') + std::string(100, ']');
    const auto bad = GENERATE_COPY(values<bad_body>({
        {"", "body: malformed JSON"},
        {"{", "body: malformed JSON"},
        {"[]", "body: expected a JSON object"},
        {"17", "body: malformed JSON"},
        {bodyWith("") + "x", "body: malformed JSON"},
        {bodyWith(", /* c */ \"stream\": true"), "body: malformed JSON"},
        {"\xef\xbb\xbf" + bodyWith(""), "byte order mark"},
        {bodyWith(R"(, "ticket": ")"
                  "\xff"
                  "\""),
         "body: malformed JSON: not UTF-8"},
        {bodyWith(", \"ticket\": \"a\nb\""), "control character"},
        {bodyWith(", \"x\": " + deep), "body: malformed JSON"},
        {R"({"customer":"c","pipeline":"p","input":)" + deep + "}", "body: malformed JSON"},
        {bodyWith(R"(, "input": 2)"), "body: malformed JSON"},
        {bodyWith(R"(, "Stream": true)"), "unknown field \"Stream\""},
        {R"({"pipeline":"p","input":1})", "customer: missing"},
        {R"({"customer":"c","input":1})", "pipeline: missing"},
        {R"({"customer":"c","pipeline":"p"})", "input: missing"},
        {R"({"customer":7,"pipeline":"p","input":1})", "customer: expected a string"},
        {R"({"customer":"","pipeline":"p","input":1})", "customer: expected 1 to"},
        {R"({"customer":"a\u0000b","pipeline":"p","input":1})", "customer: expected Unicode"},
        {R"({"customer":"\udc00","pipeline":"p","input":1})", "half a surrogate pair"},
        {bodyWith(R"(, "deadline_ms": 0)"), "deadline_ms: expected"},
        {bodyWith(R"(, "deadline_ms": -5)"), "deadline_ms: expected"},
        {bodyWith(R"(, "deadline_ms": 1.5)"), "deadline_ms: expected"},
        {bodyWith(R"(, "deadline_ms": 1e3)"), "deadline_ms: expected"},
        {bodyWith(R"(, "deadline_ms": "100")"), "deadline_ms: expected"},
        {bodyWith(R"(, "deadline_ms": 3600001)"), "deadline_ms: expected"},
        {bodyWith(R"(, "deadline_ms": 99999999999999999999)"), "deadline_ms: expected"},
        {bodyWith(R"(, "deadline_ms": null)"), "deadline_ms: expected"},
        {bodyWith(R"(, "repeatable": "no")"), "repeatable: expected true or false"},
        {bodyWith(R"(, "stream": 1)"), "stream: expected true or false"},
        {bodyWith(R"(, "ticket": "t", "idempotency_key": "k")"), "not together with ticket"},
        {bodyWith(R"(, "ticket": ")" + std::string(513, 't') + "\""), "ticket: expected 1 to"},
    }));
    CAPTURE(bad.body);
    const auto parsed = parseCallerRequest(bad.body);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().reason == refusal_reason::InvalidRequest);
    CHECK_THAT(parsed.error().detail, Catch::Contains(bad.detail));
}

TEST_CASE("a body above its bound has a reason of its own")
{
    caller_bounds bounds;
    bounds.maxBodyBytes = 32;
    const auto parsed = parseCallerRequest(bodyWith(""), bounds);
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().reason == refusal_reason::TooLarge);
}
