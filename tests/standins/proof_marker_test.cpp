#include "standins/proof_marker.h"

#include <catch2/catch.hpp>

using namespace orchidlead::standins;

TEST_CASE("markers are found in running text, each once and in order")
{
    const proof_marker encode{"encode", "0123456789abcdef", contentDigest("x")};
    const proof_marker model{"small-7b", "0123456789abcdef", contentDigest("y")};
    const std::string text =
        "{\"text\":\"" + toText(encode) + " " + toText(model) + " w3\"} " + toText(encode);
    CHECK(findMarkers(text) == std::vector{encode, model});
}

TEST_CASE("text that only resembles a marker isn't one")
{
    const std::string text =
        GENERATE("proof:", "proof:encode", "proof:encode:ab", "proof::ab:0123456789abcdef",
                 "proof:encode:ab:0123456789abcde", "proof:encode:ab:0123456789ABCDEF");
    CAPTURE(text);
    CHECK(findMarkers(text).empty());
}

TEST_CASE("the first whole nonce of a text is found")
{
    CHECK(findNonce("nonce:xyz nonce:00ff00ff00ff00ff rest") == "00ff00ff00ff00ff");
    CHECK(findNonce("nothing here") == "none");
    CHECK(findNonce("a " + nonceText(toHex(255))) == "00000000000000ff");
}
