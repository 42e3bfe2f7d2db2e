#include "gateway/publication/text_compression.h"

#include <catch2/catch.hpp>

#include <random>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr std::size_t Most = 1U << 20U;

/// Routes as a configuration has them: alike but for names and numbers.
std::string manyRoutes(int count)
{
    std::string text = "{\"routes\":[";
    for (int i = 0; i < count; ++i)
        text += R"({"name":"route-)" + std::to_string(i * 7919 % 100'003)
            + R"(","service":"orchid","type":"safe","timeout_ms":)" + std::to_string(500 + i)
            + R"(,"max_attempts":2,"priority":1},)";
    return text + "]}";
}

} // namespace

TEST_CASE("a compressed text comes back as it was")
{
    for (const auto &text : {std::string(), std::string("x"), manyRoutes(800)}) {
        const auto back = decompress(compress(text), Most);
        REQUIRE(back);
        CHECK(back.value() == text);
    }
}

TEST_CASE("a configuration of many routes takes an eighth of its length at most")
{
    const auto text = manyRoutes(800);
    INFO(text.size() << " bytes become " << compress(text).bytes.size());
    CHECK(compress(text).bytes.size() * 8 <= text.size());
}

TEST_CASE("a text beyond the bound, or of another length than it says, is an error")
{
    auto made = compress(manyRoutes(100));
    CHECK_FALSE(decompress(made, made.length - 1));
    made.length += 1;
    CHECK_FALSE(decompress(made, Most));
    made.length -= 2;
    CHECK_FALSE(decompress(made, Most));
}

TEST_CASE("damaged bytes are an error or, by chance, the text")
{
    const auto text = manyRoutes(50);
    const auto whole = compress(text);
    std::mt19937 random(20261202);
    for (int i = 0; i < 2000; ++i) {
        auto damaged = whole;
        damaged.bytes[random() % damaged.bytes.size()] = static_cast<char>(random());
        if (const auto back = decompress(damaged, Most))
            CHECK(back.value() == text);
    }
}
