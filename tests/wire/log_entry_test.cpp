#include "wire/log_entry.h"
#include "wire/log_line.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::wire;

namespace {

const wall_time Noon = wall_time{} + std::chrono::hours{12} + milliseconds{345};

std::string makeLine(log_format format)
{
    log_line line(format, Noon, log_level::Info, "request");
    line.add("vm", "edge-1").add("request", "a b\"c\\").add("ms", 17).add("stream", true);
    line.addList("servers", std::vector<std::string>{"s-1", "s-2"},
                 [](const std::string &each) -> std::string_view { return each; });
    return line.finish();
}

} // namespace

TEST_CASE("a line of either format is read back as it was written")
{
    for (const auto format : {log_format::KeyValue, log_format::Json}) {
        const auto text = makeLine(format);
        INFO(text);
        const auto entry = parseLogLine(text);
        REQUIRE(entry);
        CHECK(entry->time == Noon);
        CHECK(entry->event == "request");
        CHECK(entry->field("vm") == "edge-1");
        CHECK(entry->field("request") == "a b\"c\\");
        CHECK(entry->field("ms") == "17");
        CHECK(entry->field("stream") == "true");
        CHECK(entry->field("nothing").empty());
    }
}

TEST_CASE("what a collector puts before a line, and the line's end, are passed over")
{
    const auto entry = parseLogLine("  36.4343 edge-1 " + makeLine(log_format::KeyValue) + "\r\n");
    REQUIRE(entry);
    CHECK(entry->field("vm") == "edge-1");
}

TEST_CASE("a cut or stray line isn't taken for a whole one")
{
    const std::vector<std::string> wrong{
        "",
        "service            servers arrivals",
        "time=",
        "time=2026-12-02T18:13:52.123Z",
        "time=2026-12-02T18:13:52.1 level=info event=request",
        "time=2026-1x-02T18:13:52.123Z level=info event=request",
        "time=2026-12-02T18:13:52.123Z level=info event=request vm=\"edge",
        "time=2026-12-02T18:13:52.123Z level=info event=request v",
        "time=2026-12-02T18:13:52.123Z level=info event=request vm=\"a\"b",
        R"({"time":"2026-12-02T18:13:52.123Z","event":"requ)",
        R"({"time":5,"event":"request"})",
    };
    for (const auto &text : wrong) {
        INFO(text);
        CHECK_FALSE(parseLogLine(text));
    }
}
