#pragma once

#include "gateway/peers/board_state_frame.h"

#include <cstdint>
#include <string>

/// Fields of a `board_state_frame`, for the writer and the reader of peer frames only.
namespace orchidlead::gateway {

inline constexpr std::uint32_t BoardStateFields = 4;

/// Packs the fields that follow the kind of the frame. The parts form one flat array.
template <class Packer>
void packBoardState(Packer &out, const board_state_frame &frame)
{
    constexpr std::uint32_t PartFields = 5;
    out.pack(frame.pool.service.value);
    out.pack(frame.pool.dataCenter.value);
    out.pack(frame.pool.region.value);
    out.pack_array(PartFields * static_cast<std::uint32_t>(frame.parts.size()));
    for (const auto &each : frame.parts) {
        out.pack(each.engine.id.value);
        if (each.engine.startedAt)
            out.pack(*each.engine.startedAt);
        else
            out.pack_nil();
        out.pack(each.id);
        out.pack(each.tokens);
        out.pack(static_cast<std::int64_t>(each.ago.count()));
    }
}

/// Reads one part. A part that was sent in the future can't be dated, so the reader fails.
template <class Reader>
placed_part readPlacedPart(Reader &in)
{
    placed_part part;
    part.engine.id = backend_server_id(in.template read<std::string>());
    part.engine.startedAt = in.template optional<std::uint64_t>();
    part.id = in.template read<std::string>();
    part.tokens = in.template read<std::uint32_t>();
    part.ago = in.duration();
    if (part.ago < milliseconds{0})
        in.fail();
    return part;
}

/// Reads the fields that follow the kind of the frame. `readPool` reads a `pool_key`; `readList`
/// calls a function for each item of a list. A frame with too many parts is rejected.
template <class Reader, class ReadPool, class ReadList>
board_state_frame readBoardState(Reader &in, ReadPool readPool, ReadList readList)
{
    board_state_frame frame;
    frame.pool = readPool(in);
    readList(in, [&](Reader &items) { frame.parts.push_back(readPlacedPart(items)); });
    if (frame.parts.size() > recent_prompt_parts::MaxParts)
        in.fail();
    return frame;
}

} // namespace orchidlead::gateway
