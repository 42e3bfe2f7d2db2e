#include "daemon/answer_json.h"
#include "wire/json_text.h"

#include <orchidlead/enum_names.h>

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::daemon;

TEST_CASE("an unknown fate has a status that balancers don't send again")
{
    for (const auto &row : enumNames<refusal_reason>) {
        CAPTURE(row.name);
        const int status = httpStatus(outcome::Unknown, row.value);
        CHECK(status >= 500);
        CHECK((status < 502 || status > 504));
    }
}

TEST_CASE("only an answered request has the status of success")
{
    for (const auto &end : enumNames<outcome>) {
        for (const auto &reason : enumNames<refusal_reason>) {
            CAPTURE(end.name, reason.name);
            CHECK((httpStatus(end.value, reason.value) == 200) == (end.value == outcome::Answered));
        }
    }
}

TEST_CASE("an answer is JSON, and its output isn't touched")
{
    final_answer answer;
    answer.request = request_id{"vm-1-a-1"};
    answer.outcome = outcome::Answered;
    answer.detail = "quote \" and\nline";
    answer.output = std::make_shared<const std::string>(R"({"n":1.10})");
    answer.stages.resize(2);
    const std::string text = writeAnswer(answer);
    INFO(text);
    const auto parsed = wire::parseJson(text);
    REQUIRE(parsed.has_value());
    CHECK(parsed.value()["detail"].asString() == answer.detail);
    CHECK(parsed.value()["stages"].size() == 2);
    CHECK_THAT(text, Catch::Contains(R"("output":{"n":1.10})"));
}

TEST_CASE("an output is given with an answer alone")
{
    final_answer answer;
    answer.outcome = outcome::Failed;
    answer.output = std::make_shared<const std::string>(R"("half")");
    CHECK_THAT(writeAnswer(answer), Catch::Contains(R"("output":null)"));
}

TEST_CASE("the time to come back is rounded up to whole seconds")
{
    const auto headers = answerHeaders(refusal(refusal_reason::Overloaded, "", milliseconds{1001}));
    REQUIRE(headers.size() == 2);
    CHECK(headers[1].name == "retry-after");
    CHECK(headers[1].value == "2");
}

TEST_CASE("a line break in an event's data doesn't end the event")
{
    CHECK(writeEvent("outcome", "{\n\"a\": 1}") == "event: outcome\ndata: {\ndata: \"a\": 1}\n\n");
}
