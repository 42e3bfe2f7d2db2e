#include "gateway/peers/peer_frames.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

result<peer_frame, frame_error> decoded(const board_state_frame &frame)
{
    return decodeFrame(encodeFrame(frame).substr(FrameHeaderBytes));
}

placed_part makePart(std::string id, std::optional<std::uint64_t> startedAt)
{
    return {{backend_server_id("e1"), startedAt}, std::move(id), 13'000, milliseconds{250}};
}

} // namespace

TEST_CASE("board_state_frame: the pool and the parts are kept")
{
    const board_state_frame frame{{service_id("s"), data_center_id("a"), region_id("r")},
                                  {makePart("system", 17), makePart("document", std::nullopt)}};
    const auto read = decoded(frame);
    REQUIRE(read);
    const auto *state = std::get_if<board_state_frame>(&read.value());
    REQUIRE(state);
    CHECK(state->pool == frame.pool);
    CHECK(state->parts == frame.parts);
}

// Guards against a node that reports more than a host needs, or a time that can't be true.
TEST_CASE("board_state_frame: a frame with too many parts or a future time is rejected")
{
    board_state_frame frame;
    frame.parts.assign(recent_prompt_parts::MaxParts, makePart("document", 17));
    CHECK(decoded(frame));
    frame.parts.push_back(makePart("document", 17));
    CHECK_FALSE(decoded(frame));
    frame.parts = {makePart("document", 17)};
    frame.parts.front().ago = milliseconds{-1};
    CHECK_FALSE(decoded(frame));
}

TEST_CASE("board_state_frame: a truncated frame is rejected")
{
    const auto bytes =
        encodeFrame(board_state_frame{{service_id("s"), {}, {}}, {makePart("document", 17)}})
            .substr(FrameHeaderBytes);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeFrame(std::string_view(bytes).substr(0, length)));
}

TEST_CASE("a placed frame keeps the repeated parts and their cause")
{
    placed_frame frame{3, backend_server_id("e1")};
    frame.repeated = {prefill_cause::EngineGone, 13'000, 14'000};
    const auto read = decodeFrame(encodeFrame(frame).substr(FrameHeaderBytes));
    REQUIRE(read);
    CHECK(std::get<placed_frame>(read.value()).repeated == frame.repeated);
}

// Guards against an offer that a host doesn't see, and against a host that never asks.
TEST_CASE("a place frame keeps the offered parts, and a placed frame the request for them")
{
    const auto offer = decodeFrame(encodeFrame(place_frame{3, {}, 17}).substr(FrameHeaderBytes));
    REQUIRE(offer);
    CHECK(std::get<place_frame>(offer.value()).offeredParts == 17);
    placed_frame frame{3, backend_server_id("e1")};
    frame.wantsParts = true;
    const auto answer = decodeFrame(encodeFrame(frame).substr(FrameHeaderBytes));
    REQUIRE(answer);
    CHECK(std::get<placed_frame>(answer.value()).wantsParts);
}
