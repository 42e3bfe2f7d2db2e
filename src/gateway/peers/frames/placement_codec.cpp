#include "gateway/peers/frames/frame_codecs.h"

namespace orchidlead::gateway {

namespace {

// Number of fields of a `placement_query`, which are packed into the array of its frame.
constexpr std::uint32_t QueryFields = 14;

/// Packs a frame that begins with an id and a query; `furtherFields` follow.
template <class Frame>
void packQuery(packer &out, frame_kind kind, const Frame &frame, std::uint32_t furtherFields = 0)
{
    constexpr std::uint32_t PartFields = 2;
    packKind(out, kind, 1 + QueryFields + furtherFields);
    out.pack(frame.id);
    const placement_query &query = frame.query;
    packPool(out, query.pool);
    packRank(out, query.rank);
    packDuration(out, query.clientTimeout);
    out.pack(query.admitted);
    out.pack(query.preferredDataCenter.value);
    out.pack(query.transferBytes);
    packList(out, PartFields, query.prompt, [&](const auto &part) {
        out.pack(part.id);
        out.pack(part.tokens);
    });
    packNames(out, query.exclude);
    packOptional(out, query.version ? std::optional(query.version->value) : std::nullopt);
    out.pack(query.allowed.restricted());
    packNames(out, query.allowed.regions());
}

template <class Frame>
void readQuery(field_reader &in, Frame &frame)
{
    frame.id = in.read<placement_id>();
    placement_query &query = frame.query;
    query.pool = readPool(in);
    query.rank = readRank(in);
    query.clientTimeout = in.duration();
    query.admitted = in.read<bool>();
    query.preferredDataCenter = in.id<data_center_id>();
    query.transferBytes = in.read<std::uint64_t>();
    readList(in, [&](field_reader &items) {
        auto id = items.read<std::string>();
        query.prompt.push_back({std::move(id), items.read<std::uint32_t>()});
    });
    readNames(in, query.exclude);
    if (auto version = in.optional<std::string>())
        query.version = software_version(std::move(*version));
    const bool isRestricted = in.read<bool>(); // to some regions
    std::set<region_id> regions;
    readNames(in, regions);
    if (isRestricted)
        query.allowed = residency(std::move(regions));
}

reported_brittleness readBrittleness(field_reader &in)
{
    reported_brittleness reported;
    reported.valid = in.read<bool>();
    reported.refusalsPerSecond = in.optional<std::uint32_t>();
    return reported;
}

/// Reads one part. A part that was sent in the future can't be dated, so the reader fails.
placed_part readPlacedPart(field_reader &in)
{
    placed_part part;
    part.engine = readStart(in);
    part.id = in.read<std::string>();
    part.tokens = in.read<std::uint32_t>();
    part.ago = in.duration();
    if (part.ago < milliseconds{0})
        in.fail();
    return part;
}

} // namespace

void pack(packer &out, const place_frame &frame)
{
    packQuery(out, frame_kind::Place, frame, 1);
    out.pack(frame.offeredParts);
}

void read(field_reader &in, place_frame &frame)
{
    readQuery(in, frame);
    if (!in.atEnd()) // an older version doesn't offer its parts
        frame.offeredParts = in.read<std::uint32_t>();
}

void pack(packer &out, const placed_frame &frame)
{
    packKind(out, frame_kind::Placed, 8);
    out.pack(frame.id);
    out.pack(frame.server.value);
    packDuration(out, frame.wait);
    out.pack(frame.allRateLimited);
    // The position in the table of names + 1, as names may be added.
    const auto &repeated = frame.repeated;
    out.pack(repeated.cause ? static_cast<std::uint64_t>(*repeated.cause) + 1 : std::uint64_t{0});
    out.pack(repeated.tokens);
    out.pack(repeated.unkeptTokens);
    out.pack(frame.wantsParts);
}

void read(field_reader &in, placed_frame &frame)
{
    frame.id = in.read<placement_id>();
    frame.server = in.id<backend_server_id>();
    frame.wait = in.duration();
    frame.allRateLimited = in.read<bool>();
    if (in.atEnd())
        return; // sent by a version that doesn't report repeated parts
    const auto cause = in.read<std::uint64_t>();
    if (cause > 0 && cause <= enumNames<prefill_cause>.size())
        frame.repeated.cause = enumNames<prefill_cause>[cause - 1].value;
    frame.repeated.tokens = in.read<std::uint32_t>();
    frame.repeated.unkeptTokens = in.read<std::uint32_t>();
    if (!in.atEnd())
        frame.wantsParts = in.read<bool>();
}

void pack(packer &out, const placement_progress_frame &frame)
{
    packKind(out, frame_kind::PlacementProgress, 12);
    out.pack(frame.id);
    out.pack(static_cast<std::uint64_t>(frame.kind));
    out.pack(frame.signals.rateLimit.valid);
    packOptional(out, frame.signals.rateLimit.perSecond);
    out.pack(frame.signals.leaving);
    out.pack(frame.signals.refused);
    out.pack(frame.signals.accepted);
    out.pack(frame.signals.brittleness.valid);
    packOptional(out, frame.signals.brittleness.refusalsPerSecond);
    packOptional(out, frame.timePercent);
    packDuration(out, frame.timePercentAge);
    out.pack(frame.serverFailed);
}

void read(field_reader &in, placement_progress_frame &frame)
{
    frame.id = in.read<placement_id>();
    const auto kind = in.read<std::uint64_t>();
    if (kind > static_cast<std::uint64_t>(placement_progress_frame::event_type::Ended))
        in.fail();
    frame.kind = static_cast<placement_progress_frame::event_type>(kind);
    frame.signals.rateLimit.valid = in.read<bool>();
    frame.signals.rateLimit.perSecond = readLimit(in);
    frame.signals.leaving = in.read<bool>();
    frame.signals.refused = in.read<bool>();
    frame.signals.accepted = in.read<bool>();
    frame.signals.brittleness = in.atEnd() ? NoSignals.brittleness : readBrittleness(in);
    if (in.atEnd())
        return; // sent by a version that doesn't report the time
    frame.timePercent = in.optional<std::uint32_t>();
    frame.timePercentAge = in.duration();
    frame.serverFailed = !in.atEnd() && in.read<bool>();
}

void pack(packer &out, const admission_request &frame)
{
    packQuery(out, frame_kind::AdmissionRequest, frame);
}

void read(field_reader &in, admission_request &frame)
{
    readQuery(in, frame);
}

void pack(packer &out, const admission_answer &frame)
{
    packKind(out, frame_kind::AdmissionAnswer, 4);
    out.pack(frame.id);
    out.pack(frame.admissionDecision.granted);
    packDuration(out, frame.admissionDecision.retryDelay);
    out.pack(frame.admissionDecision.allRateLimited);
}

void read(field_reader &in, admission_answer &frame)
{
    frame.id = in.read<placement_id>();
    frame.admissionDecision.granted = in.read<bool>();
    frame.admissionDecision.retryDelay = in.duration();
    frame.admissionDecision.allRateLimited = in.read<bool>();
}

void pack(packer &out, const board_state_frame &frame)
{
    constexpr std::uint32_t PartFields = 5;
    packKind(out, frame_kind::BoardState, 4);
    packPool(out, frame.pool);
    packList(out, PartFields, frame.parts, [&](const placed_part &each) {
        packStart(out, each.engine);
        out.pack(each.id);
        out.pack(each.tokens);
        packDuration(out, each.ago);
    });
}

// A frame with too many parts is rejected.
void read(field_reader &in, board_state_frame &frame)
{
    frame.pool = readPool(in);
    readList(in, [&](field_reader &items) { frame.parts.push_back(readPlacedPart(items)); });
    if (frame.parts.size() > recent_prompt_parts::MaxParts)
        in.fail();
}

} // namespace orchidlead::gateway
