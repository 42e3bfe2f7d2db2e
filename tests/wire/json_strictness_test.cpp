#include "wire/json_text.h"

#include <catch2/catch.hpp>

#include <string>

using namespace orchidlead::wire;

TEST_CASE("text that jsoncpp alone would accept isn't JSON")
{
    const std::string text = GENERATE(
        as<std::string>{}, "[01]", "[-01]", "[1.]", "[1.e3]", "[-]", "[+1]", "[00]",
        R"({"a":1 /*x*/})", "{/*x*/\"a\":1}", "{\"a\":1 //x\n}", "[\"a\nb\"]", "[\"a\x01\"]",
        "\xef\xbb\xbf[1]", "[\"\xff\"]", "[\"\xc0\xaf\"]", "[\"\xed\xa0\x80\"]", R"(["\udc00"])",
        R"(["\ud800"])", R"(["\ud800\ud800"])", R"(["\ud800\n"])");
    CAPTURE(text);
    CHECK(parseJson(text).has_error());
}

TEST_CASE("strict JSON is accepted, however it is written")
{
    const std::string text =
        GENERATE(as<std::string>{}, "[0, -0, 10, 1.5, -1.25e+10, 1E5, 0.0]",
                 R"({"a/b": "//", "c": "/*", "d": "+1 \" 01"})", "\t\r\n[true,false,null]\n",
                 R"(["\\", "\"", "\u00e4", "\ud800\udf48", "\\ud800", "ö€𐍈"])");
    CAPTURE(text);
    CHECK(parseJson(text).has_value());
}
