#include "ctl/request_history.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace orchidlead::ctl {
namespace {

/// A line at so many milliseconds after 12:00:00.
std::string at(int ms, const std::string &rest)
{
    const auto digits = std::to_string(1000 + ms % 1000).substr(1);
    const auto second = std::to_string(100 + ms / 1000).substr(1);
    return "time=2026-12-02T12:00:" + second + "." + digits + "Z level=info " + rest;
}

request_history find(const std::string &request, const std::vector<std::string> &lines)
{
    history_finder finder(request);
    for (const auto &line : lines)
        finder.add(line);
    return finder.finish();
}

std::vector<std::string> eventsOf(const request_history &history)
{
    std::vector<std::string> events;
    for (const auto &line : history.lines)
        events.push_back(line.entry.event);
    return events;
}

} // namespace

TEST_CASE("a request's lines of several nodes are told in the order of time")
{
    const auto history =
        find("r1",
             {at(900, "event=request vm=a request=r1 outcome=stage_late told=503"),
              at(700, "event=pieces_given_up vm=b request=r1 stage=0 service=s waiting=90"),
              at(100, "event=request_taken vm=a request=r1"),
              at(110, "event=stage_submitted vm=a request=r1 stage=0 service=s host=b"),
              at(120, "event=request_taken vm=a request=r2")});
    CHECK(eventsOf(history)
          == std::vector<std::string>{"request_taken", "stage_submitted", "pieces_given_up",
                                      "request"});
    CHECK(history.outcome == "stage_late");
    CHECK(history.cause.find("couldn't be done in time") != std::string::npos);
    CHECK(history.lines.back().at == milliseconds{800});
}

TEST_CASE("the cause of a request that wasn't admitted names what was ahead at each pool")
{
    const auto history =
        find("r1",
             {at(100, "event=request_taken vm=a request=r1"),
              at(105,
                 "event=admission_refused vm=a request=r1 service=s host=b waiting_ahead=12 "
                 "reserved_ahead=30 retry_after_ms=700"),
              at(105,
                 "event=admission_refused vm=a request=r1 service=t host=c waiting_ahead=0 "
                 "reserved_ahead=8 retry_after_ms=90"),
              at(106, "event=request vm=a request=r1 outcome=not_admitted told=503")});
    CHECK(history.cause
          == "refused on arrival, not run: a stage had no place for its pieces in time; ahead of "
             "it: 12 waiting and 30 reserved pieces of s at b, 0 waiting and 8 reserved pieces of "
             "t at c");
}

TEST_CASE("what a request met is told beside it, and what it didn't meet is not")
{
    const auto history =
        find("r1",
             {at(2000, "event=request_taken vm=a request=r1"),
              at(2010, "event=stage_submitted vm=a request=r1 service=s host=b"),
              at(2500, "event=request vm=a request=r1 outcome=server_failed server=x"),
              at(2100, "event=stage_pool vm=b service=s waiting=40"),
              at(2100, "event=stage_pool vm=b service=other waiting=1"),
              at(2200, "event=server_avoided vm=c server=x"),
              at(2200, "event=server_avoided vm=c server=y"), at(2300, "event=store_lost vm=a"),
              at(2300, "event=store_lost vm=c"), at(2300, "event=pause_noticed vm=b"),
              at(9000, "event=store_regained vm=a")});
    CHECK(eventsOf(history)
          == std::vector<std::string>{"request_taken", "stage_submitted", "stage_pool",
                                      "server_avoided", "store_lost", "pause_noticed", "request"});
}

TEST_CASE("a request whose process was killed is told from one that is still open")
{
    const std::vector<std::string> open{at(100, "event=request_taken vm=a request=r1"),
                                        at(300, "event=starting vm=b")};
    CHECK(find("r1", open).cause.find("still open") != std::string::npos);
    auto killed = open;
    killed.push_back(at(1300, "event=starting vm=a"));
    CHECK(find("r1", killed).cause.find("started again") != std::string::npos);
    CHECK(find("r1", killed).outcome.empty());
}

TEST_CASE("what was decided on a request's content is told with it, however long before")
{
    const auto history = find(
        "r9",
        {at(1'000, "event=quarantine_changed vm=b digest=aa11 level=quarantined servers_ended=s1"),
         at(1'100, "event=quarantine_changed vm=b digest=bb22 level=suspected servers_ended=s2"),
         at(50'000, "event=request_taken vm=a request=r9 route=r"),
         at(50'001, "event=request vm=a request=r9 outcome=ends_servers told=503 digest=aa11")});
    CHECK(eventsOf(history)
          == std::vector<std::string>{"quarantine_changed", "request_taken", "request"});
    CHECK(history.lines.front().entry.field("digest") == "aa11");
    CHECK(history.cause.find("servers ended under it") != std::string::npos);
}

TEST_CASE("stray and cut lines are counted and stop nothing")
{
    history_finder finder("r1");
    finder.add("");
    finder.add("service    servers arrivals");
    finder.add("time=2026-12-02T12:00:00.1");
    finder.add(at(1, "event=request vm=a request=r1 outcome=answered"));
    CHECK(finder.unreadable() == 3);
    CHECK(finder.finish().outcome == "answered");
    CHECK(history_finder("r2").finish().lines.empty());
}

} // namespace orchidlead::ctl
