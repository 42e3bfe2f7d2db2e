#include "wire/server_news_json.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace orchidlead;
using namespace orchidlead::wire;

TEST_CASE("news of many servers fit datagrams and come back whole")
{
    constexpr std::size_t MaxBytes = 1100;
    std::vector<leaving_update> news;
    for (int count = 0; count < 200; ++count)
        news.push_back({backend_server_id{"runner-\"" + std::to_string(count)}, count % 3 != 0});
    std::vector<leaving_update> back;
    for (const auto &datagram : writeServerNews(news, MaxBytes)) {
        CHECK(datagram.size() <= MaxBytes);
        const auto read = readServerNews(datagram);
        REQUIRE(read.has_value());
        back.insert(back.end(), read->begin(), read->end());
    }
    CHECK(std::is_permutation(news.begin(), news.end(), back.begin(), back.end()));
}

TEST_CASE("datagrams of another form are dropped whole")
{
    const std::string text =
        GENERATE(as<std::string>{}, "", "[]", "x", R"({"leaving":"r"})", R"({"leaving":["r",7]})",
                 R"({"leaving":[""]})", R"({"back":{}})");
    CAPTURE(text);
    const auto read = readServerNews(text);
    CHECK((!read || read->empty()));
}
