#include "daemon/configuration_parser.h"
#include "net/net_test_support.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace orchidlead;
using namespace orchidlead::daemon;

TEST_CASE("a document is parsed beside the loop and its outcome is there when the loop hears of it")
{
    net::test_loop loop;
    configuration_parser parser(*loop);
    std::optional<std::string> parsed;
    parser.parse(3, "format: 1\n", [&](std::string content) { parsed = std::move(content); });
    CHECK_FALSE(parsed.has_value());
    REQUIRE(loop.runUntil([&] { return parsed.has_value(); }));
    const auto outcome = parser.resultOf(3, *parsed);
    REQUIRE(outcome.has_error());
    CHECK_FALSE(outcome.error().empty());
}

TEST_CASE("a parser that ends calls nobody any more")
{
    net::test_loop loop;
    bool called = false;
    {
        configuration_parser parser(*loop);
        for (int count = 0; count < 20; ++count)
            parser.parse(1, "format: 1\n", [&](const std::string &) { called = true; });
    }
    loop.runFor(std::chrono::milliseconds{20});
    CHECK_FALSE(called);
}
