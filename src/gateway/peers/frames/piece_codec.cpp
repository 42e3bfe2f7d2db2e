#include "gateway/peers/frames/frame_codecs.h"

namespace orchidlead::gateway {

namespace {

/// Code of an outcome that has a result; other codes are failures.
constexpr std::uint64_t SuccessCode = 0;

} // namespace

void pack(packer &out, const submit_piece_frame &frame)
{
    constexpr std::uint32_t Fields = 22;
    packKind(out, frame_kind::SubmitPiece, frame.version ? Fields + 1 : Fields);
    out.pack(frame.token);
    packPool(out, frame.pool);
    out.pack(frame.request.attempt);
    out.pack(frame.request.stage);
    out.pack(frame.request.piece);
    packOptional(out, frame.request.key);
    out.pack(frame.request.inputs);
    packRank(out, frame.rank);
    packDuration(out, frame.softDeadlineLeft);
    packDuration(out, frame.deadlineLeft);
    out.pack(frame.preferredDataCenter.value);
    out.pack(frame.inputBytes);
    out.pack(frame.resultBytes);
    packDigest(out, frame.request.digest);
    out.pack(frame.mayBeRedirected);
    out.pack(frame.redirectedFrom.value);
    out.pack(frame.submitter.vm.value);
    out.pack(frame.submitter.start);
    out.pack(frame.mayBeHedged);
    if (frame.version)
        out.pack(frame.version->value);
}

void read(field_reader &in, submit_piece_frame &frame)
{
    frame.token = in.read<piece_token>();
    frame.pool = readPool(in);
    frame.request.attempt = in.read<std::string>();
    frame.request.stage = in.read<std::uint32_t>();
    frame.request.piece = in.read<std::uint32_t>();
    frame.request.key = in.optional<std::string>();
    frame.request.inputs = in.read<std::vector<std::string>>();
    // An older version sends an empty key with the inputs.
    if (frame.request.key == "" && !frame.request.inputs.empty())
        frame.request.key.reset();
    frame.rank = readRank(in);
    frame.softDeadlineLeft = in.duration();
    frame.deadlineLeft = in.duration();
    frame.preferredDataCenter = in.id<data_center_id>();
    frame.inputBytes = in.read<std::uint64_t>();
    frame.resultBytes = in.read<std::uint64_t>();
    frame.request.digest = readDigest(in);
    if (in.atEnd()) // from an older version, which doesn't know redirection
        return;
    frame.mayBeRedirected = in.read<bool>();
    frame.redirectedFrom = in.id<data_center_id>();
    if (!in.atEnd())
        frame.submitter.vm = in.id<vm_id>();
    if (!in.atEnd()) // an older version doesn't state its start
        frame.submitter.start = in.read<incarnation>();
    if (!in.atEnd())
        frame.mayBeHedged = in.read<bool>();
    if (!in.atEnd())
        frame.version = in.id<software_version>();
}

void pack(packer &out, const cancel_piece_frame &frame)
{
    packKind(out, frame_kind::CancelPiece, 1);
    out.pack(frame.token);
}

void read(field_reader &in, cancel_piece_frame &frame)
{
    frame.token = in.read<piece_token>();
}

void pack(packer &out, const piece_outcome_frame &frame)
{
    constexpr std::uint32_t Fields = 4;
    constexpr std::uint32_t FieldsWithPool = 7;
    const bool hasVersion = frame.report.pool && frame.report.version;
    packKind(out, frame_kind::PieceOutcome,
             (frame.report.pool ? FieldsWithPool : Fields) + (hasVersion ? 1 : 0));
    out.pack(frame.token);
    if (const auto *handle = std::get_if<std::string>(&frame.report.result)) {
        out.pack(SuccessCode);
        out.pack(*handle);
    } else {
        out.pack(static_cast<std::uint64_t>(std::get<piece_failure>(frame.report.result)) + 1);
        out.pack(std::string());
    }
    packDuration(out, frame.report.wait);
    if (frame.report.pool)
        packPool(out, *frame.report.pool);
    if (hasVersion)
        out.pack(frame.report.version->value);
}

void read(field_reader &in, piece_outcome_frame &frame)
{
    frame.token = in.read<piece_token>();
    const auto code = in.read<std::uint64_t>();
    auto handle = in.read<std::string>();
    if (code == SuccessCode)
        frame.report.result = std::move(handle);
    else if (code <= enumNames<piece_failure>.size())
        frame.report.result = enumNames<piece_failure>[code - 1].value;
    else
        in.fail();
    frame.report.wait = in.duration();
    if (!in.atEnd())
        frame.report.pool = readPool(in);
    if (!in.atEnd())
        frame.report.version = in.id<software_version>();
    const auto *failure = std::get_if<piece_failure>(&frame.report.result);
    if (failure && *failure == piece_failure::Redirected && !frame.report.pool)
        in.fail();
}

void pack(packer &out, const free_results_frame &frame)
{
    packKind(out, frame_kind::FreeResults, 1);
    out.pack(frame.handles);
}

void read(field_reader &in, free_results_frame &frame)
{
    frame.handles = in.read<std::vector<std::string>>();
}

void pack(packer &out, const ping_frame & /*frame*/)
{
    packKind(out, frame_kind::Ping, 0);
}

void read(field_reader & /*in*/, ping_frame & /*frame*/) { }

void pack(packer &out, const pong_frame & /*frame*/)
{
    packKind(out, frame_kind::Pong, 0);
}

void read(field_reader & /*in*/, pong_frame & /*frame*/) { }

} // namespace orchidlead::gateway
