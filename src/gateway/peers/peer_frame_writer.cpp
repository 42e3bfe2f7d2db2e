#include "gateway/peers/board_state_codec.h"
#include "gateway/peers/peer_frame_kind.h"
#include "gateway/peers/peer_frames.h"

// Keeps msgpack from depending on Boost.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace orchidlead::gateway {

namespace {

using buffer = msgpack::sbuffer;
using packer = msgpack::packer<buffer>;

// Smallest publication that is compressed: whole server lists are repetitive, changes of a few
// servers are not.
constexpr std::size_t MinCompressedBytes = 4096;

void packKind(packer &out, frame_kind kind, std::uint32_t fields)
{
    out.pack_array(fields + 1);
    out.pack(static_cast<std::uint64_t>(kind));
}

void packDuration(packer &out, milliseconds duration)
{
    out.pack(static_cast<std::int64_t>(duration.count()));
}

/// Packs a value, or nil if there is none.
template <class Value>
void packOptional(packer &out, const std::optional<Value> &value)
{
    if (value)
        out.pack(*value);
    else
        out.pack_nil();
}

/// Packs the start of a server, with nil where the server does not publish its start time.
void packStart(packer &out, const server_start &start)
{
    out.pack(start.id.value);
    packOptional(out, start.startedAt);
}

/// Number of fields per server. The fields of all servers form one flat array.
constexpr std::uint32_t ServerFields = 10;

void packServer(packer &out, const published_server &announced)
{
    const auto &server = announced.record;
    out.pack(server.id.value);
    out.pack(server.service.value);
    out.pack(server.address.ip);
    out.pack(server.address.port);
    out.pack(server.dataCenter.value);
    out.pack(server.slots);
    out.pack(server.leaving);
    packOptional(out, server.startedAt);
    out.pack(server.version.value);
    packDuration(out, announced.coldTimeLeft);
}

void packDigest(packer &out, const request_digest &digest)
{
    out.pack_bin(request_digest::Size);
    out.pack_bin_body(reinterpret_cast<const char *>(digest.bytes.data()), request_digest::Size);
}

/// Packs a list of identifiers: of servers, regions or data centres.
template <class Names>
void packNames(packer &out, const Names &names)
{
    out.pack_array(static_cast<std::uint32_t>(names.size()));
    for (const auto &each : names)
        out.pack(each.value);
}

void packPool(packer &out, const pool_key &pool)
{
    out.pack(pool.service.value);
    out.pack(pool.dataCenter.value);
    out.pack(pool.region.value);
}

void packRank(packer &out, const stage_rank &rank)
{
    out.pack(rank.priority);
    out.pack(rank.routePriority);
}

void pack(packer &out, const submit_piece_frame &frame)
{
    packKind(out, frame_kind::SubmitPiece, 21);
    out.pack(frame.token);
    packPool(out, frame.pool);
    out.pack(frame.request.attempt);
    out.pack(frame.request.stage);
    out.pack(frame.request.piece);
    out.pack(frame.request.key);
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
}

void pack(packer &out, const free_results_frame &frame)
{
    packKind(out, frame_kind::FreeResults, 1);
    out.pack(frame.handles);
}

void pack(packer &out, const cancel_piece_frame &frame)
{
    packKind(out, frame_kind::CancelPiece, 1);
    out.pack(frame.token);
}

void pack(packer &out, const piece_outcome_frame &frame)
{
    constexpr std::uint32_t Fields = 4;
    constexpr std::uint32_t FieldsOfRedirected = 7;
    packKind(out, frame_kind::PieceOutcome, frame.report.pool ? FieldsOfRedirected : Fields);
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
}

/// Number of fields of a `placement_query`, which are packed into the array of its frame.
constexpr std::uint32_t QueryFields = 14;

void packQuery(packer &out, const placement_query &query)
{
    packPool(out, query.pool);
    packRank(out, query.rank);
    packDuration(out, query.clientTimeout);
    out.pack(query.admitted);
    out.pack(query.preferredDataCenter.value);
    out.pack(query.transferBytes);
    out.pack_array(static_cast<std::uint32_t>(2 * query.prompt.size()));
    for (const auto &part : query.prompt) {
        out.pack(part.id);
        out.pack(part.tokens);
    }
    packNames(out, query.exclude);
    packOptional(out, query.version ? std::optional(query.version->value) : std::nullopt);
    out.pack(query.allowed.restricted());
    packNames(out, query.allowed.regions());
}

void pack(packer &out, const place_frame &frame)
{
    packKind(out, frame_kind::Place, 2 + QueryFields);
    out.pack(frame.id);
    packQuery(out, frame.query);
    out.pack(frame.offeredParts);
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

void pack(packer &out, const placement_progress_frame &frame)
{
    packKind(out, frame_kind::PlacementProgress, 11);
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
}

void pack(packer &out, const board_state_frame &frame)
{
    packKind(out, frame_kind::BoardState, BoardStateFields);
    packBoardState(out, frame);
}

void pack(packer &out, const admission_request &frame)
{
    packKind(out, frame_kind::AdmissionRequest, 1 + QueryFields);
    out.pack(frame.id);
    packQuery(out, frame.query);
}

void pack(packer &out, const admission_answer &frame)
{
    packKind(out, frame_kind::AdmissionAnswer, 4);
    out.pack(frame.id);
    out.pack(frame.admissionDecision.granted);
    packDuration(out, frame.admissionDecision.retryDelay);
    out.pack(frame.admissionDecision.allRateLimited);
}

void pack(packer &out, const rate_limits_frame &frame)
{
    constexpr std::uint32_t LimitFields = 4;
    packKind(out, frame_kind::RateLimits, 1);
    out.pack_array(LimitFields * static_cast<std::uint32_t>(frame.limits.size()));
    for (const auto &each : frame.limits) {
        packStart(out, each.server);
        packOptional(out, each.perSecond);
        packDuration(out, each.ago);
    }
}

void pack(packer &out, const leaving_servers_frame &frame)
{
    constexpr std::uint32_t StartFields = 2;
    packKind(out, frame_kind::LeavingServers, 1);
    out.pack_array(StartFields * static_cast<std::uint32_t>(frame.servers.size()));
    for (const auto &each : frame.servers)
        packStart(out, each);
}

void pack(packer &out, const brittle_servers_frame &frame)
{
    constexpr std::uint32_t BrittleFields = 3;
    packKind(out, frame_kind::BrittleServers, 1);
    out.pack_array(BrittleFields * static_cast<std::uint32_t>(frame.servers.size()));
    for (const auto &each : frame.servers) {
        packStart(out, each.server);
        out.pack(each.refusalsPerSecond);
    }
}

void packOrigin(packer &out, const stream_origin &origin)
{
    out.pack(origin.service.value);
    out.pack(origin.version.value);
}

void pack(packer &out, const stream_origin_frame &frame)
{
    constexpr std::uint32_t RecordFields = 4;
    packKind(out, frame_kind::StreamOrigins, 1);
    out.pack_array(RecordFields * static_cast<std::uint32_t>(frame.records.size()));
    for (const auto &each : frame.records) {
        packDigest(out, each.stream);
        packOrigin(out, each.origin);
        packDuration(out, each.lifetime);
    }
}

void pack(packer &out, const stream_origin_query &frame)
{
    packKind(out, frame_kind::StreamOriginQuery, 4);
    out.pack(frame.id);
    packDigest(out, frame.stream);
    out.pack(frame.service.value);
    packDuration(out, frame.maxAge);
}

void pack(packer &out, const stream_origin_answer &frame)
{
    constexpr std::uint32_t OriginFields = 2;
    packKind(out, frame_kind::StreamOriginAnswer, 4);
    out.pack(frame.id);
    out.pack(frame.severalVersions);
    out.pack(frame.covered);
    out.pack_array(frame.origin ? OriginFields : 0);
    if (frame.origin)
        packOrigin(out, *frame.origin);
}

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
    out.pack_array(StageFields * static_cast<std::uint32_t>(query.stages.size()));
    for (const auto &each : query.stages) {
        out.pack(each.stage);
        out.pack(each.pieces);
        out.pack(each.resultBytes);
        packDuration(out, each.startsIn);
        packDuration(out, each.latestStart);
    }
    packDuration(out, query.maxRetryAfter);
}

void pack(packer &out, const stage_reserved_frame &frame)
{
    packKind(out, frame_kind::StageReserved, 8);
    out.pack(frame.id);
    out.pack(frame.answer.granted);
    packDuration(out, frame.answer.wait);
    packDuration(out, frame.answer.retryAfter);
    out.pack(frame.answer.waitingAhead);
    out.pack(frame.answer.reservedAhead);
    out.pack(static_cast<std::uint64_t>(frame.answer.cause));
    out.pack(frame.answer.turnHeld);
}

void pack(packer &out, const release_reservation_frame &frame)
{
    packKind(out, frame_kind::ReleaseReservation, 1);
    out.pack(frame.id);
}

void pack(packer &out, const lost_data_center_frame &frame)
{
    packKind(out, frame_kind::LostDataCenter, 1);
    out.pack(frame.dataCenter.value);
}

void pack(packer &out, const ping_frame & /*frame*/)
{
    packKind(out, frame_kind::Ping, 0);
}

void pack(packer &out, const pong_frame & /*frame*/)
{
    packKind(out, frame_kind::Pong, 0);
}

void pack(packer &out, const publication_request &frame)
{
    packKind(out, frame_kind::PublicationRequest, 2);
    out.pack(frame.configurationVersion);
    out.pack(frame.known);
}

void pack(packer &out, const publication_frame &frame)
{
    packKind(out, frame_kind::Publication, 11);
    out.pack(frame.configurationVersion);
    out.pack(frame.current);
    packDuration(out, frame.age);
    out.pack(frame.fullSync);
    out.pack(frame.listedParts);
    out.pack(frame.revision);
    out.pack_array(ServerFields * static_cast<std::uint32_t>(frame.servers.size()));
    for (const auto &each : frame.servers)
        packServer(out, each);
    packNames(out, frame.removed);
    packDuration(out, frame.removalsDeferred);
    out.pack(frame.evacuations.revision);
    packNames(out, frame.evacuations.dataCenters);
}

void pack(packer &out, const follow_frame &frame)
{
    packKind(out, frame_kind::Follow, 3);
    out.pack(frame.subscribes);
    out.pack(frame.revision);
    out.pack(frame.known);
}

void pack(packer &out, const list_digest_frame &frame)
{
    packKind(out, frame_kind::ListDigest, 2);
    out.pack(frame.revision);
    out.pack(frame.known);
}

void pack(packer &out, const configuration_request &frame)
{
    packKind(out, frame_kind::ConfigurationRequest, 1);
    out.pack(frame.version);
}

void pack(packer &out, const configuration_frame &frame)
{
    packKind(out, frame_kind::Configuration, 3);
    out.pack(frame.version);
    out.pack(static_cast<std::uint64_t>(frame.text.length));
    out.pack(frame.text.bytes);
}

void pack(packer &out, const server_crashes_frame &frame)
{
    constexpr std::uint32_t CrashFields = 3;
    constexpr std::uint32_t SubjectFields = 4;
    packKind(out, frame_kind::ServerCrashes, 1);
    out.pack_array(CrashFields * static_cast<std::uint32_t>(frame.serverCrashes.size()));
    for (const auto &crash : frame.serverCrashes) {
        out.pack(crash.server.value);
        packDuration(out, crash.ago);
        out.pack_array(SubjectFields * static_cast<std::uint32_t>(crash.subjects.size()));
        for (const auto &subject : crash.subjects) {
            packDigest(out, subject.digest);
            packDuration(out, subject.sentAgo);
            out.pack(subject.breadth);
            packDigest(out, subject.shared);
        }
    }
}

void pack(packer &out, const quarantine_frame &frame)
{
    constexpr std::uint32_t EntryFields = 7;
    packKind(out, frame_kind::Quarantine, 2);
    out.pack(frame.host.value);
    out.pack_array(EntryFields * static_cast<std::uint32_t>(frame.entries.size()));
    for (const auto &entry : frame.entries) {
        packDigest(out, entry.request);
        out.pack(static_cast<std::uint64_t>(entry.level));
        out.pack(entry.version);
        packDuration(out, entry.remaining);
        out.pack(entry.quarantineCount);
        out.pack(entry.isPart);
        packDuration(out, entry.disputableAgo);
    }
}

void pack(packer &out, const trial_request &frame)
{
    packKind(out, frame_kind::TrialRequest, 1);
    packDigest(out, frame.request);
}

void pack(packer &out, const trial_answer &frame)
{
    packKind(out, frame_kind::TrialAnswer, 2);
    packDigest(out, frame.request);
    out.pack(frame.granted);
}

void pack(packer &out, const trial_end &frame)
{
    packKind(out, frame_kind::TrialEnd, 1);
    packDigest(out, frame.request);
}

void pack(packer &out, const pool_load_frame &frame)
{
    packKind(out, frame_kind::PoolLoad, 1);
    out.pack(toFields(frame));
}

/// Replaces the frame in the buffer by a compressed frame that wraps it.
void packCompressed(buffer &body)
{
    const auto text = compress({body.data(), body.size()});
    body.clear();
    packer out(body);
    packKind(out, frame_kind::Compressed, 2);
    out.pack(static_cast<std::uint64_t>(text.length));
    out.pack_bin(static_cast<std::uint32_t>(text.bytes.size()));
    out.pack_bin_body(text.bytes.data(), static_cast<std::uint32_t>(text.bytes.size()));
}

} // namespace

std::string encodeFrame(const peer_frame &frame)
{
    buffer body;
    packer out(body);
    std::visit([&](const auto &each) { pack(out, each); }, frame);
    if (std::holds_alternative<publication_frame>(frame) && body.size() >= MinCompressedBytes)
        packCompressed(body);
    std::string bytes;
    bytes.reserve(FrameHeaderBytes + body.size());
    for (std::size_t i = FrameHeaderBytes; i > 0; --i)
        bytes.push_back(static_cast<char>((body.size() >> (BitsPerByte * (i - 1))) & 0xffU));
    bytes.append(body.data(), body.size());
    return bytes;
}

} // namespace orchidlead::gateway
