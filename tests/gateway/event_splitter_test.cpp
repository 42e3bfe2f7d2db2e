#include "gateway/exchange/event_splitter.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>
#include <string>

using orchidlead::gateway::event_splitter;
using orchidlead::gateway::MaxRepeatedEvents;
using orchidlead::gateway::stream_defect;

namespace {
constexpr std::size_t Bound = 100;
}

TEST_CASE("event_splitter: complete events are returned unchanged, partial ones are held back")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.hasPartialEvent());
    CHECK(splitter.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastEvent() == 2);
    CHECK_FALSE(splitter.hasPartialEvent());
}

TEST_CASE("event_splitter: a stream continued elsewhere drops its partial event and repeats none")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("id: 1\n\nid: 2\n\nid: 3\nda") == "id: 1\n\nid: 2\n\n");
    splitter.restart();
    CHECK(splitter.feed("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
    CHECK_FALSE(splitter.isUnusable());
}

TEST_CASE("event_splitter: a gap in the event numbers makes the stream unusable")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("id: 1\n\n") == "id: 1\n\n");
    CHECK(splitter.feed("id: 3\n\n").empty());
    CHECK(splitter.isUnusable());
}

TEST_CASE("event_splitter: events without numbers are returned")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("data: x\n\n: comment\n\n") == "data: x\n\n: comment\n\n");
    CHECK_FALSE(splitter.lastEvent());
}

// Guards against numbers that are misread, so that events are repeated or left out.
TEST_CASE("event_splitter: the number of an event is that of its last id line alone")
{
    event_splitter splitter(Bound);
    std::uint64_t expected = 0;
    for (const std::string event :
         {"data: id: 7\nid: 1\n\n", "x-weight-versions: 9\nid: 2\ndata: a\n\n",
          "data: a\nid:3 \n\n", "id: 9\nid: 4\n\n"}) {
        CHECK(splitter.feed(event) == event);
        CHECK(splitter.lastEvent() == ++expected);
    }
    CHECK(splitter.isContinuable());
    for (const auto *unreadable : {"id: 5x\n\n", "id: -1\n\n", "id: 99999999999999999999\n\n",
                                   "ID: 5\n\n", "id\n\n", "id:\n\n", "data: a\n\n"}) {
        CHECK(splitter.feed(unreadable) == unreadable);
        CHECK(splitter.lastEvent() == 4);
        CHECK_FALSE(splitter.isContinuable());
    }
    CHECK_FALSE(splitter.feed("id: 5\n\n: comment\n\n").empty());
    CHECK(splitter.isContinuable());
}

// Guards against events without a number that a continued stream brings again.
TEST_CASE("event_splitter: events without a number behind a repeated one are left out")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("id: 1\n\ndata: a\n\nid: 2\n\n").size() == 23);
    splitter.restart();
    CHECK(splitter.feed("id: 1\n\ndata: a\n\nid: 2\n\ndata: b\n\n") == "data: b\n\n");
    CHECK(splitter.leftOut() == 3);
}

TEST_CASE("event_splitter: an event over the size limit makes the stream unusable")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed(std::string(Bound + 1, 'x')).empty());
    CHECK(splitter.isUnusable());
}

TEST_CASE("an answer that follows a stream is no event of it")
{
    event_splitter splitter(1000);
    const std::string own = "id: 1\ndata: a\n\n";
    CHECK(splitter.feed(own + "HTTP/1.1 200 OK\r\nX: y\r\n\r\nid: 2\ndata: b\n\n") == own);
    CHECK(splitter.isUnusable());
    CHECK(splitter.lastEvent() == 1);
    splitter.restart();
    CHECK_FALSE(splitter.isUnusable());
}

// Guards against logs that don't tell a server that begins at another event from one that repeats
// or leaves out events.
TEST_CASE("event_splitter: where a stream began, what was left out and its defect are known")
{
    event_splitter splitter(Bound);
    CHECK(splitter.feed("id: 4\n\nid: 5\n\n") == "id: 4\n\nid: 5\n\n");
    CHECK(splitter.firstOfStream() == 4);
    CHECK(splitter.leftOut() == 0);
    splitter.restart();
    CHECK_FALSE(splitter.firstOfStream());
    CHECK(splitter.feed("id: 2\n\nid: 3\n\nid: 8\n\n").empty());
    CHECK(splitter.firstOfStream() == 2);
    CHECK(splitter.leftOut() == 2);
    CHECK(splitter.defect() == stream_defect::MissingEvents);
    splitter.restart();
    CHECK_FALSE(splitter.defect());
    for (std::size_t i = 0; i <= MaxRepeatedEvents + 1; ++i)
        CHECK(splitter.feed("id: 5\n\n").empty());
    CHECK(splitter.defect() == stream_defect::RepeatedEvents);
    splitter.restart();
    CHECK(splitter.feed(std::string(Bound + 1, 'x')).empty());
    CHECK(splitter.defect() == stream_defect::EventTooLarge);
    splitter.restart();
    CHECK(splitter.feed("HTTP/1.1 200 OK\n\n").empty());
    CHECK(splitter.defect() == stream_defect::OtherAnswer);
}

// Guards against numbers that go back, or a gap, behind the last event of a client that resumes.
TEST_CASE("event_splitter: a stream goes on behind the last event of its client")
{
    event_splitter splitter(Bound);
    splitter.continueAfter(2);
    CHECK(splitter.lastEvent() == 2);
    CHECK(splitter.feed("id: 1\n\nid: 2\n\nid: 3\n\n") == "id: 3\n\n");
    CHECK_FALSE(splitter.isUnusable());
    event_splitter gap(Bound);
    gap.continueAfter(2);
    CHECK(gap.feed("id: 4\n\n").empty());
    CHECK(gap.defect() == stream_defect::MissingEvents);
    event_splitter highest(Bound);
    highest.continueAfter(std::numeric_limits<std::uint64_t>::max());
    CHECK(highest.feed("id: 0\n\nid: 1\n\n").empty());
}
