#include "http/head.h"

#include <catch2/catch.hpp>

using namespace orchidlead::http;

TEST_CASE("a field is found in any case of its letters")
{
    const field_list fields{{"Content-Type", "text/plain"}, {"X-Id", "7"}};
    CHECK(findField(fields, "content-type") == "text/plain");
    CHECK(findField(fields, "X-ID") == "7");
    CHECK_FALSE(findField(fields, "x-i"));
}

TEST_CASE("fields of one connection, and those that it names, aren't passed on")
{
    const field_list fields{{"Host", "a"},       {"Connection", "close, X-Hop"},   {"X-Hop", "1"},
                            {"Keep-Alive", "3"}, {"Transfer-Encoding", "chunked"}, {"x-END", "2"}};
    const auto kept = forwardedFields(fields);
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].name == "Host");
    CHECK(kept[1].name == "x-END");
}

TEST_CASE("a head is written with its fields as they are spelled")
{
    request_head head;
    head.method = "PUT";
    head.target = "/a/b?c=%20";
    head.fields = {{"hOST", "x"}, {"X-A", "b  c"}};
    CHECK(formatHead(head) == "PUT /a/b?c=%20 HTTP/1.1\r\nhOST: x\r\nX-A: b  c\r\n\r\n");
}

TEST_CASE("the usual text of a status is known")
{
    CHECK(statusText(404) == "Not Found");
    CHECK(statusText(503) == "Service Unavailable");
}
