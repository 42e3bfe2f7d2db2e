#include "wire/sse_parser.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace orchidlead::wire {
namespace {

constexpr std::size_t EventBound = 64;

const std::string Stream = ": comment\r\ndata: one\r\n\r\nevent: note\ndata: two\ndata:three\n\n"
                           "data\n\nid: 7\n\ndata: cut off";

std::vector<std::string> feedInPieces(std::size_t pieceBytes)
{
    sse_parser parser(EventBound);
    std::vector<std::string> seen;
    for (std::size_t at = 0; at < Stream.size(); at += pieceBytes) {
        const auto events = parser.feed(std::string_view{Stream}.substr(at, pieceBytes));
        REQUIRE(events.has_value());
        for (const auto &event : events.value())
            seen.push_back(event.type + "=" + event.data);
    }
    return seen;
}

TEST_CASE("A stream of events reads the same in pieces of every size")
{
    const std::vector<std::string> expected{"=one", "note=two\nthree", "="};
    for (std::size_t pieceBytes = 1; pieceBytes <= Stream.size(); ++pieceBytes) {
        CAPTURE(pieceBytes);
        CHECK(feedInPieces(pieceBytes) == expected);
    }
}

TEST_CASE("An event larger than the bound is an error, in one line or in many")
{
    sse_parser oneLine(EventBound);
    CHECK(oneLine.feed("data: " + std::string(EventBound, 'x')).has_error());

    sse_parser manyLines(EventBound);
    bool refused = false;
    for (std::size_t line = 0; line < EventBound && !refused; ++line)
        refused = manyLines.feed("data: xx\n").has_error();
    CHECK(refused);
}

} // namespace
} // namespace orchidlead::wire
