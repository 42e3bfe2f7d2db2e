#include "http/head.h"

#include <catch2/catch.hpp>

using namespace orchidlead::http;

TEST_CASE("field names are compared without regard to case")
{
    const field_list fields{{"Content-Type", "text/plain"}, {"X-Id", "7"}};
    CHECK(findField(fields, "content-type") == "text/plain");
    CHECK(findField(fields, "X-ID") == "7");
    CHECK_FALSE(findField(fields, "x-i"));
}

TEST_CASE("hop-by-hop fields and those listed in Connection are not forwarded")
{
    const field_list fields{{"Host", "a"},       {"Connection", "close, X-Hop"},   {"X-Hop", "1"},
                            {"Keep-Alive", "3"}, {"Transfer-Encoding", "chunked"}, {"x-END", "2"}};
    const auto forwarded = forwardedFields(fields);
    REQUIRE(forwarded.size() == 2);
    CHECK(forwarded[0].name == "Host");
    CHECK(forwarded[1].name == "x-END");
}

TEST_CASE("a head is serialized with the spelling of its fields unchanged")
{
    request_head head;
    head.method = "PUT";
    head.target = "/a/b?c=%20";
    head.fields = {{"hOST", "x"}, {"X-A", "b  c"}};
    CHECK(formatHead(head) == "PUT /a/b?c=%20 HTTP/1.1\r\nhOST: x\r\nX-A: b  c\r\n\r\n");
}

TEST_CASE("a status has its standard reason phrase")
{
    CHECK(statusText(404) == "Not Found");
    CHECK(statusText(503) == "Service Unavailable");
}
