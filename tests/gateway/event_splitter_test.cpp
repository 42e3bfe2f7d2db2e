#include "gateway/exchange/event_splitter.h"

#include <catch2/catch.hpp>

#include <string>

using orchidlead::gateway::event_splitter;

namespace {
constexpr std::size_t Bound = 100;
}

TEST_CASE("whole events are given byte for byte, half ones are kept back")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.amidEvent());
    CHECK(splitter.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastEvent() == 2);
    CHECK_FALSE(splitter.amidEvent());
}

TEST_CASE("a stream that goes on elsewhere drops its half event and repeats none")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("id: 1\n\nid: 2\n\nid: 3\nda") == "id: 1\n\nid: 2\n\n");
    splitter.restart();
    CHECK(splitter.feed("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
    CHECK_FALSE(splitter.broken());
}

TEST_CASE("a gap in the numbers of events makes the stream unusable")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("id: 1\n\n") == "id: 1\n\n");
    CHECK(splitter.feed("id: 3\n\n").empty());
    CHECK(splitter.broken());
}

TEST_CASE("events without numbers pass")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("data: x\n\n: comment\n\n") == "data: x\n\n: comment\n\n");
    CHECK_FALSE(splitter.lastEvent());
}

TEST_CASE("an event beyond the bound makes the stream unusable")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed(std::string(Bound + 1, 'x')).empty());
    CHECK(splitter.broken());
}
