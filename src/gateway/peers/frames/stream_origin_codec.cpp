#include "gateway/peers/frames/frame_codecs.h"

namespace orchidlead::gateway {

namespace {

void packOrigin(packer &out, const stream_origin &origin)
{
    out.pack(origin.service.value);
    out.pack(origin.version.value);
}

stream_origin readOrigin(field_reader &in)
{
    stream_origin origin;
    origin.service = in.id<service_id>();
    origin.version = in.id<software_version>();
    return origin;
}

} // namespace

void pack(packer &out, const stream_origin_frame &frame)
{
    constexpr std::uint32_t RecordFields = 4;
    packKind(out, frame_kind::StreamOrigins, 1);
    packList(out, RecordFields, frame.records, [&](const stream_origin_record &each) {
        packDigest(out, each.stream);
        packOrigin(out, each.origin);
        packDuration(out, each.lifetime);
    });
}

void read(field_reader &in, stream_origin_frame &frame)
{
    readList(in, [&](field_reader &items) {
        auto &record = frame.records.emplace_back();
        record.stream = readDigest(items);
        record.origin = readOrigin(items);
        record.lifetime = items.duration();
    });
}

void pack(packer &out, const stream_origin_query &frame)
{
    packKind(out, frame_kind::StreamOriginQuery, 5);
    out.pack(frame.id);
    packDigest(out, frame.stream);
    out.pack(frame.service.value);
    packDuration(out, frame.maxAge);
    packDigest(out, frame.run);
}

void read(field_reader &in, stream_origin_query &frame)
{
    frame.id = in.read<std::uint64_t>();
    frame.stream = readDigest(in);
    frame.service = in.id<service_id>();
    frame.maxAge = in.duration();
    if (!in.atEnd())
        frame.run = readDigest(in);
}

void pack(packer &out, const stream_origin_answer &frame)
{
    constexpr std::uint32_t OriginFields = 2;
    packKind(out, frame_kind::StreamOriginAnswer, 8);
    out.pack(frame.id);
    out.pack(frame.severalVersions);
    out.pack(frame.covered);
    out.pack_array(frame.origin ? OriginFields : 0);
    if (frame.origin)
        packOrigin(out, *frame.origin);
    packOptional(out, frame.computed ? std::optional(frame.computed->value) : std::nullopt);
    out.pack(frame.revision);
    out.pack(frame.readyRevision);
    out.pack(frame.inContact);
}

void read(field_reader &in, stream_origin_answer &frame)
{
    frame.id = in.read<std::uint64_t>();
    frame.severalVersions = in.read<bool>();
    frame.covered = in.read<bool>();
    readList(in, [&](field_reader &items) { frame.origin = readOrigin(items); });
    if (!in.atEnd()) {
        if (auto computed = in.optional<std::string>())
            frame.computed = software_version(std::move(*computed));
    }
    // A node of an earlier version computes nothing, or doesn't state how late its list may be, so
    // what it knows can't show that the version is uncertain.
    if (in.atEnd()) {
        frame.covered = false;
        frame.inContact = true;
        return;
    }
    frame.revision = in.read<std::uint64_t>();
    frame.readyRevision = in.read<std::uint64_t>();
    frame.inContact = in.read<bool>();
}

} // namespace orchidlead::gateway
