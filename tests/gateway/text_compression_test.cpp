#include "gateway/publication/text_compression.h"

#include <catch2/catch.hpp>

#include <random>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr std::size_t MaxBytes = 1U << 20U;

/// Routes as in a real configuration: identical except for names and numbers.
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

TEST_CASE("decompress restores the compressed text")
{
    for (const auto &text : {std::string(), std::string("x"), manyRoutes(800)}) {
        const auto back = decompress(compress(text), MaxBytes);
        REQUIRE(back);
        CHECK(back.value() == text);
    }
}

TEST_CASE("a configuration of many routes compresses to at most an eighth of its length")
{
    const auto text = manyRoutes(800);
    INFO(text.size() << " bytes become " << compress(text).bytes.size());
    CHECK(compress(text).bytes.size() * 8 <= text.size());
}

TEST_CASE("decompress rejects a text above the size limit or with a wrong length")
{
    auto compressed = compress(manyRoutes(100));
    CHECK_FALSE(decompress(compressed, compressed.length - 1));
    compressed.length += 1;
    CHECK_FALSE(decompress(compressed, MaxBytes));
    compressed.length -= 2;
    CHECK_FALSE(decompress(compressed, MaxBytes));
}

TEST_CASE("corrupt compressed bytes result in an error or in the original text")
{
    const auto text = manyRoutes(50);
    const auto whole = compress(text);
    std::mt19937 random(20261202);
    for (int i = 0; i < 2000; ++i) {
        auto damaged = whole;
        damaged.bytes[random() % damaged.bytes.size()] = static_cast<char>(random());
        if (const auto back = decompress(damaged, MaxBytes))
            CHECK(back.value() == text);
    }
}
