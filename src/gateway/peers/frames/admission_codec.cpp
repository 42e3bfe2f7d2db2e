#include "gateway/peers/frames/frame_codecs.h"

namespace orchidlead::gateway {

namespace {

milliseconds readReservationTime(field_reader &in)
{
    const auto time = in.duration();
    if (time > MaxReservationTime || time < -MaxReservationTime)
        in.fail();
    return time;
}

} // namespace

void pack(packer &out, const reserve_stage_frame &frame)
{
    constexpr std::uint32_t StageFields = 5;
    packKind(out, frame_kind::ReserveStage, 11);
    const auto &query = frame.query;
    out.pack(query.id);
    packPool(out, frame.pool);
    out.pack(query.attempt);
    packDigest(out, query.digest);
    out.pack(query.customer.value);
    packRank(out, query.rank);
    packList(out, StageFields, query.stages, [&](const auto &each) {
        out.pack(each.stage);
        out.pack(each.pieces);
        out.pack(each.resultBytes);
        packDuration(out, each.startsIn);
        packDuration(out, each.latestStart);
    });
    packDuration(out, query.maxRetryAfter);
}

void read(field_reader &in, reserve_stage_frame &frame)
{
    auto &query = frame.query;
    query.id = in.read<reservation_id>();
    frame.pool = readPool(in);
    query.attempt = in.read<std::string>();
    query.digest = readDigest(in);
    query.customer = in.id<customer_id>();
    query.rank = readRank(in);
    readList(in, [&](field_reader &items) {
        auto &wanted = query.stages.emplace_back();
        wanted.stage = items.read<std::uint32_t>();
        wanted.pieces = items.read<std::uint32_t>();
        wanted.resultBytes = items.read<std::uint64_t>();
        wanted.startsIn = readReservationTime(items);
        wanted.latestStart = readReservationTime(items);
    });
    query.maxRetryAfter = readReservationTime(in);
}

void pack(packer &out, const stage_reserved_frame &frame)
{
    packKind(out, frame_kind::StageReserved, 9);
    out.pack(frame.id);
    out.pack(frame.answer.granted);
    packDuration(out, frame.answer.wait);
    packDuration(out, frame.answer.retryAfter);
    out.pack(frame.answer.waitingAhead);
    out.pack(frame.answer.reservedAhead);
    out.pack(static_cast<std::uint64_t>(frame.answer.cause));
    out.pack(frame.answer.turnHeld);
    out.pack(frame.answer.decided);
}

void read(field_reader &in, stage_reserved_frame &frame)
{
    frame.id = in.read<reservation_id>();
    frame.answer.granted = in.read<bool>();
    frame.answer.wait = readReservationTime(in);
    frame.answer.retryAfter = readReservationTime(in);
    frame.answer.waitingAhead = in.read<std::uint32_t>();
    frame.answer.reservedAhead = in.read<std::uint32_t>();
    frame.answer.cause = readEnum<refusal_cause>(in);
    frame.answer.turnHeld = in.read<bool>();
    if (!in.atEnd()) // an older version doesn't send it
        frame.answer.decided = in.read<bool>();
}

void pack(packer &out, const release_reservation_frame &frame)
{
    packKind(out, frame_kind::ReleaseReservation, frame.stage ? 2 : 1);
    out.pack(frame.id);
    if (frame.stage)
        out.pack(*frame.stage);
}

void read(field_reader &in, release_reservation_frame &frame)
{
    frame.id = in.read<reservation_id>();
    if (!in.atEnd())
        frame.stage = in.read<std::uint32_t>();
}

} // namespace orchidlead::gateway
