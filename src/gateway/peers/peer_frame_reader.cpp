#include "gateway/peers/board_state_codec.h"
#include "gateway/peers/peer_frame_kind.h"
#include "gateway/peers/peer_frames.h"

// Keeps msgpack from depending on Boost.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace orchidlead::gateway {

namespace {

constexpr std::size_t MaxNesting = 8;

/// Reads the fields of one array in order. After the first invalid field all further reads fail.
class field_reader
{
public:
    explicit field_reader(const msgpack::object &object)
        : m_good(object.type == msgpack::type::ARRAY)
    {
        if (m_good)
            m_array = object.via.array;
    }

    [[nodiscard]] bool good() const { return m_good; }

    template <class Value>
    Value read()
    {
        Value value{};
        if (const auto *object = next()) {
            try {
                object->convert(value);
            } catch (const msgpack::type_error &) {
                m_good = false;
            }
        }
        return value;
    }
    /// Reads a value, or nil as an empty optional.
    template <class Value>
    std::optional<Value> optional()
    {
        if (m_good && m_index < m_array.size && m_array.ptr[m_index].is_nil()) {
            ++m_index;
            return std::nullopt;
        }
        return read<Value>();
    }
    milliseconds duration() { return milliseconds{read<std::int64_t>()}; }

    const msgpack::object *next()
    {
        m_good = m_good && m_index < m_array.size;
        return m_good ? &m_array.ptr[m_index++] : nullptr;
    }
    [[nodiscard]] bool atEnd() const { return m_index >= m_array.size; }
    void fail() { m_good = false; }

private:
    msgpack::object_array m_array{};
    std::uint32_t m_index = 0;
    bool m_good;
};

pool_key readPool(field_reader &in)
{
    pool_key pool;
    pool.service = service_id(in.read<std::string>());
    pool.dataCenter = data_center_id(in.read<std::string>());
    pool.region = region_id(in.read<std::string>());
    return pool;
}

stage_rank readRank(field_reader &in)
{
    stage_rank rank;
    rank.priority = in.read<std::uint32_t>();
    rank.routePriority = in.read<std::uint32_t>();
    return rank;
}

request_digest readRequestDigest(field_reader &in)
{
    const auto bytes = in.read<std::vector<char>>();
    request_digest digest;
    if (bytes.size() == digest.bytes.size())
        std::ranges::copy(bytes, digest.bytes.begin());
    else
        in.fail();
    return digest;
}

submit_piece_frame readPiece(field_reader &in)
{
    submit_piece_frame frame;
    frame.token = in.read<piece_token>();
    frame.pool = readPool(in);
    frame.request.attempt = in.read<std::string>();
    frame.request.stage = in.read<std::uint32_t>();
    frame.request.piece = in.read<std::uint32_t>();
    frame.request.key = in.read<std::string>();
    frame.request.inputs = in.read<std::vector<std::string>>();
    frame.rank = readRank(in);
    frame.softDeadlineLeft = in.duration();
    frame.deadlineLeft = in.duration();
    frame.preferredDataCenter = data_center_id(in.read<std::string>());
    frame.inputBytes = in.read<std::uint64_t>();
    frame.resultBytes = in.read<std::uint64_t>();
    frame.request.digest = readRequestDigest(in);
    if (in.atEnd()) // from an older version, which doesn't know redirection
        return frame;
    frame.mayBeRedirected = in.read<bool>();
    frame.redirectedFrom = data_center_id(in.read<std::string>());
    if (!in.atEnd())
        frame.submitter.vm = vm_id(in.read<std::string>());
    if (!in.atEnd()) // an older version doesn't state its start
        frame.submitter.start = in.read<incarnation>();
    return frame;
}

/// Reads all elements of a list. Each call of `readItem` reads one item of one or more elements.
template <class Take>
void readList(field_reader &in, Take readItem)
{
    const auto *list = in.next();
    if (!list || list->type != msgpack::type::ARRAY) {
        in.fail();
        return;
    }
    field_reader items(*list);
    while (items.good() && !items.atEnd())
        readItem(items);
    if (!items.good())
        in.fail();
}

/// Reads a list of names into a container.
template <class Names>
Names readNames(field_reader &in)
{
    Names names;
    readList(in, [&](field_reader &items) {
        names.insert(names.end(), typename Names::value_type(items.read<std::string>()));
    });
    return names;
}

placement_query readQuery(field_reader &in)
{
    placement_query query;
    query.pool = readPool(in);
    query.rank = readRank(in);
    query.clientTimeout = in.duration();
    query.admitted = in.read<bool>();
    query.preferredDataCenter = data_center_id(in.read<std::string>());
    query.transferBytes = in.read<std::uint64_t>();
    readList(in, [&](field_reader &items) {
        auto id = items.read<std::string>();
        query.prompt.push_back({std::move(id), items.read<std::uint32_t>()});
    });
    query.exclude = readNames<std::vector<backend_server_id>>(in);
    if (auto version = in.optional<std::string>())
        query.version = software_version(std::move(*version));
    const bool isRestricted = in.read<bool>(); // to some regions
    auto regions = readNames<std::set<region_id>>(in);
    if (isRestricted)
        query.allowed = residency(std::move(regions));
    return query;
}

// Rejects limits that are negative or not finite: they would make the receiver's request rate NaN.
std::optional<double> readLimit(field_reader &in)
{
    const auto limit = in.optional<double>();
    if (limit && !(std::isfinite(*limit) && *limit >= 0))
        in.fail();
    return limit;
}

place_frame readPlace(field_reader &in)
{
    place_frame frame;
    frame.id = in.read<placement_id>();
    frame.query = readQuery(in);
    if (!in.atEnd()) // an older version doesn't offer its parts
        frame.offeredParts = in.read<std::uint32_t>();
    return frame;
}

admission_request readAdmissionRequest(field_reader &in)
{
    admission_request frame;
    frame.id = in.read<placement_id>();
    frame.query = readQuery(in);
    return frame;
}

admission_answer readAdmissionAnswer(field_reader &in)
{
    admission_answer frame;
    frame.id = in.read<placement_id>();
    frame.admissionDecision.granted = in.read<bool>();
    frame.admissionDecision.retryDelay = in.duration();
    frame.admissionDecision.allRateLimited = in.read<bool>();
    return frame;
}

server_start readStart(field_reader &in)
{
    server_start start;
    start.id = backend_server_id(in.read<std::string>());
    start.startedAt = in.optional<std::uint64_t>();
    return start;
}

leaving_servers_frame readLeavingServers(field_reader &in)
{
    leaving_servers_frame frame;
    readList(in, [&](field_reader &items) { frame.servers.push_back(readStart(items)); });
    return frame;
}

brittle_servers_frame readBrittleServers(field_reader &in)
{
    brittle_servers_frame frame;
    readList(in, [&](field_reader &items) {
        auto &reported = frame.servers.emplace_back();
        reported.server = readStart(items);
        reported.refusalsPerSecond = items.read<std::uint32_t>();
    });
    return frame;
}

rate_limits_frame readRateLimits(field_reader &in)
{
    rate_limits_frame frame;
    readList(in, [&](field_reader &items) {
        auto &reported = frame.limits.emplace_back();
        reported.server = readStart(items);
        reported.perSecond = readLimit(items);
        reported.ago = items.duration();
    });
    return frame;
}

placed_frame readPlaced(field_reader &in)
{
    placed_frame frame;
    frame.id = in.read<placement_id>();
    frame.server = backend_server_id(in.read<std::string>());
    frame.wait = in.duration();
    frame.allRateLimited = in.read<bool>();
    if (in.atEnd())
        return frame; // sent by a version that doesn't report repeated parts
    const auto cause = in.read<std::uint64_t>();
    if (cause > 0 && cause <= enumNames<prefill_cause>.size())
        frame.repeated.cause = enumNames<prefill_cause>[cause - 1].value;
    frame.repeated.tokens = in.read<std::uint32_t>();
    frame.repeated.unkeptTokens = in.read<std::uint32_t>();
    if (!in.atEnd())
        frame.wantsParts = in.read<bool>();
    return frame;
}

reported_brittleness readBrittleness(field_reader &in)
{
    reported_brittleness reported;
    reported.valid = in.read<bool>();
    reported.refusalsPerSecond = in.optional<std::uint32_t>();
    return reported;
}

placement_progress_frame readProgress(field_reader &in)
{
    placement_progress_frame frame;
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
        return frame; // sent by a version that doesn't report the time
    frame.timePercent = in.optional<std::uint32_t>();
    frame.timePercentAge = in.duration();
    return frame;
}

piece_outcome_frame readOutcome(field_reader &in)
{
    piece_outcome_frame frame;
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
    const auto *failure = std::get_if<piece_failure>(&frame.report.result);
    if (failure && *failure == piece_failure::Redirected && !frame.report.pool)
        in.fail();
    return frame;
}

published_server readServer(field_reader &in)
{
    server_record server;
    server.id = backend_server_id(in.read<std::string>());
    server.service = service_id(in.read<std::string>());
    server.address.ip = in.read<std::string>();
    server.address.port = in.read<std::uint16_t>();
    server.dataCenter = data_center_id(in.read<std::string>());
    server.slots = in.read<std::uint32_t>();
    server.leaving = in.read<bool>();
    server.startedAt = in.optional<std::uint64_t>();
    server.version = software_version(in.read<std::string>());
    return {server, in.duration()};
}

publication_frame readPublication(field_reader &in)
{
    publication_frame frame;
    frame.configurationVersion = in.read<std::uint64_t>();
    frame.current = in.read<bool>();
    frame.age = in.duration();
    frame.fullSync = in.read<bool>();
    frame.listedParts = in.read<std::vector<std::uint32_t>>();
    frame.revision = in.read<std::uint64_t>();
    readList(in, [&](field_reader &items) { frame.servers.push_back(readServer(items)); });
    frame.removed = readNames<std::vector<backend_server_id>>(in);
    frame.removalsDeferred = in.duration();
    frame.evacuations.revision = in.read<std::uint64_t>();
    frame.evacuations.dataCenters = readNames<std::set<data_center_id>>(in);
    return frame;
}

// msgpack's own conversion to std::array also accepts arrays that are too short.
list_digest readDigest(field_reader &in)
{
    const auto parts = in.read<std::vector<std::uint32_t>>();
    list_digest digest{};
    if (parts.size() == digest.size())
        std::ranges::copy(parts, digest.begin());
    else
        in.fail();
    return digest;
}

publication_request readPublicationRequest(field_reader &in)
{
    publication_request frame;
    frame.configurationVersion = in.read<std::uint64_t>();
    frame.known = readDigest(in);
    return frame;
}

follow_frame readFollow(field_reader &in)
{
    follow_frame frame;
    frame.subscribes = in.read<bool>();
    frame.revision = in.read<std::uint64_t>();
    frame.known = readDigest(in);
    return frame;
}

list_digest_frame readCompare(field_reader &in)
{
    list_digest_frame frame;
    frame.revision = in.read<std::uint64_t>();
    frame.known = readDigest(in);
    return frame;
}

configuration_frame readConfiguration(field_reader &in)
{
    configuration_frame frame;
    frame.version = in.read<std::uint64_t>();
    frame.text.length = in.read<std::uint64_t>();
    frame.text.bytes = in.read<std::string>();
    return frame;
}

server_crashes_frame readServerEnds(field_reader &in)
{
    server_crashes_frame frame;
    readList(in, [&](field_reader &items) {
        auto &crash = frame.serverCrashes.emplace_back();
        crash.server = backend_server_id(items.read<std::string>());
        crash.ago = items.duration();
        readList(items, [&](field_reader &subjects) {
            auto &subject = crash.subjects.emplace_back();
            subject.digest = readRequestDigest(subjects);
            subject.sentAgo = subjects.duration();
            subject.breadth = subjects.read<std::uint8_t>();
            subject.shared = readRequestDigest(subjects);
        });
    });
    return frame;
}

quarantine_frame readQuarantine(field_reader &in)
{
    quarantine_frame frame;
    frame.host = vm_id(in.read<std::string>());
    readList(in, [&](field_reader &items) {
        auto &entry = frame.entries.emplace_back();
        entry.request = readRequestDigest(items);
        const auto level = items.read<std::uint64_t>();
        if (level >= enumNames<quarantine_level>.size())
            items.fail();
        entry.level = static_cast<quarantine_level>(level);
        entry.version = items.read<std::uint64_t>();
        entry.remaining = items.duration();
        entry.quarantineCount = items.read<std::uint32_t>();
        entry.isPart = items.read<bool>();
        entry.disputableAgo = items.duration();
    });
    return frame;
}

trial_answer readTrialAnswer(field_reader &in)
{
    trial_answer frame;
    frame.request = readRequestDigest(in);
    frame.granted = in.read<bool>();
    return frame;
}

stream_origin readOrigin(field_reader &in)
{
    stream_origin origin;
    origin.service = service_id(in.read<std::string>());
    origin.version = software_version(in.read<std::string>());
    return origin;
}

stream_origin_frame readStreamOrigins(field_reader &in)
{
    stream_origin_frame frame;
    readList(in, [&](field_reader &items) {
        auto &record = frame.records.emplace_back();
        record.stream = readRequestDigest(items);
        record.origin = readOrigin(items);
        record.lifetime = items.duration();
    });
    return frame;
}

stream_origin_query readStreamOriginQuery(field_reader &in)
{
    stream_origin_query frame;
    frame.id = in.read<std::uint64_t>();
    frame.stream = readRequestDigest(in);
    frame.service = service_id(in.read<std::string>());
    frame.maxAge = in.duration();
    return frame;
}

stream_origin_answer readStreamOriginAnswer(field_reader &in)
{
    stream_origin_answer frame;
    frame.id = in.read<std::uint64_t>();
    frame.severalVersions = in.read<bool>();
    frame.covered = in.read<bool>();
    readList(in, [&](field_reader &items) { frame.origin = readOrigin(items); });
    return frame;
}

milliseconds readReservationTime(field_reader &in)
{
    const auto time = in.duration();
    if (time > MaxReservationTime || time < -MaxReservationTime)
        in.fail();
    return time;
}

reserve_stage_frame readReserveStage(field_reader &in)
{
    reserve_stage_frame frame;
    auto &query = frame.query;
    query.id = in.read<reservation_id>();
    frame.pool = readPool(in);
    query.attempt = in.read<std::string>();
    query.digest = readRequestDigest(in);
    query.customer = customer_id(in.read<std::string>());
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
    return frame;
}

stage_reserved_frame readStageReserved(field_reader &in)
{
    stage_reserved_frame frame;
    frame.id = in.read<reservation_id>();
    frame.answer.granted = in.read<bool>();
    frame.answer.wait = readReservationTime(in);
    frame.answer.retryAfter = readReservationTime(in);
    frame.answer.waitingAhead = in.read<std::uint32_t>();
    frame.answer.reservedAhead = in.read<std::uint32_t>();
    const auto cause = in.read<std::uint64_t>();
    if (cause >= enumNames<refusal_cause>.size())
        in.fail();
    frame.answer.cause = static_cast<refusal_cause>(cause);
    frame.answer.turnHeld = in.read<bool>();
    return frame;
}

pool_load_frame readPoolLoad(field_reader &in)
{
    const auto *object = in.next();
    // The conversion itself accepts an array that ends early.
    if (object && object->type == msgpack::type::ARRAY
        && object->via.array.size >= std::tuple_size_v<pool_load_fields>) {
        try {
            if (auto frame = poolLoadFrameOf(object->as<pool_load_fields>()))
                return *std::move(frame);
        } catch (const msgpack::type_error &) {
            in.fail();
        }
    }
    in.fail();
    return {};
}

/// Reads a frame about the origins of streams.
peer_frame readOriginFrame(frame_kind kind, field_reader &in)
{
    switch (kind) {
    case frame_kind::StreamOrigins:
        return readStreamOrigins(in);
    case frame_kind::StreamOriginQuery:
        return readStreamOriginQuery(in);
    case frame_kind::StreamOriginAnswer:
        return readStreamOriginAnswer(in);
    default:
        break;
    }
    in.fail();
    return ping_frame{};
}

/// Reads a frame about admission or load.
peer_frame readLoadFrame(frame_kind kind, field_reader &in)
{
    switch (kind) {
    case frame_kind::ReserveStage:
        return readReserveStage(in);
    case frame_kind::StageReserved:
        return readStageReserved(in);
    case frame_kind::ReleaseReservation:
        return release_reservation_frame{in.read<reservation_id>()};
    case frame_kind::PoolLoad:
        return readPoolLoad(in);
    case frame_kind::BoardState:
        return readBoardState(in, readPool,
                              [](field_reader &list, auto readItem) { readList(list, readItem); });
    default:
        break;
    }
    in.fail();
    return ping_frame{};
}

peer_frame readFrame(frame_kind kind, field_reader &in)
{
    switch (kind) {
    case frame_kind::SubmitPiece:
        return readPiece(in);
    case frame_kind::CancelPiece:
        return cancel_piece_frame{in.read<piece_token>()};
    case frame_kind::PieceOutcome:
        return readOutcome(in);
    case frame_kind::Ping:
        return ping_frame{};
    case frame_kind::Pong:
        return pong_frame{};
    case frame_kind::PublicationRequest:
        return readPublicationRequest(in);
    case frame_kind::Publication:
        return readPublication(in);
    case frame_kind::Place:
        return readPlace(in);
    case frame_kind::Placed:
        return readPlaced(in);
    case frame_kind::PlacementProgress:
        return readProgress(in);
    case frame_kind::Follow:
        return readFollow(in);
    case frame_kind::ListDigest:
        return readCompare(in);
    case frame_kind::ConfigurationRequest:
        return configuration_request{in.read<std::uint64_t>()};
    case frame_kind::Configuration:
        return readConfiguration(in);
    case frame_kind::FreeResults:
        return free_results_frame{in.read<std::vector<std::string>>()};
    case frame_kind::ServerCrashes:
        return readServerEnds(in);
    case frame_kind::Quarantine:
        return readQuarantine(in);
    case frame_kind::TrialRequest:
        return trial_request{readRequestDigest(in)};
    case frame_kind::TrialAnswer:
        return readTrialAnswer(in);
    case frame_kind::TrialEnd:
        return trial_end{readRequestDigest(in)};
    case frame_kind::AdmissionRequest:
        return readAdmissionRequest(in);
    case frame_kind::AdmissionAnswer:
        return readAdmissionAnswer(in);
    case frame_kind::RateLimits:
        return readRateLimits(in);
    case frame_kind::LeavingServers:
        return readLeavingServers(in);
    case frame_kind::LostDataCenter:
        return lost_data_center_frame{data_center_id(in.read<std::string>())};
    case frame_kind::BrittleServers:
        return readBrittleServers(in);
    case frame_kind::StreamOrigins:
    case frame_kind::StreamOriginQuery:
    case frame_kind::StreamOriginAnswer:
        return readOriginFrame(kind, in);
    case frame_kind::ReserveStage:
    case frame_kind::StageReserved:
    case frame_kind::ReleaseReservation:
    case frame_kind::PoolLoad:
    case frame_kind::BoardState:
        return readLoadFrame(kind, in);
    case frame_kind::Compressed: // not allowed inside a compressed frame
        break;
    }
    in.fail();
    return ping_frame{};
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i)
        length = (length << BitsPerByte) | static_cast<unsigned char>(bytes[i]);
    return length;
}

/// Whether a frame may be a compressed one that wraps another frame.
enum class nesting { MayBeCompressed, Plain };

result<peer_frame, frame_error> decodeFrame(std::string_view bytes, nesting allowed);

result<peer_frame, frame_error> decodeCompressed(field_reader &in)
{
    compressed_text text;
    text.length = in.read<std::uint64_t>();
    const auto bytes = in.read<std::vector<char>>();
    text.bytes.assign(bytes.begin(), bytes.end());
    if (!in.good())
        return frame_error{"compressed frame has a missing or mistyped field"};
    const auto plain = decompress(text, MaxFrameBytes);
    if (!plain)
        return frame_error{"cannot decompress frame: " + plain.error().what};
    return decodeFrame(plain.value(), nesting::Plain);
}

result<peer_frame, frame_error> decodeFrame(std::string_view bytes, nesting allowed)
{
    try {
        // No list or string can have more elements than the frame has bytes.
        const auto maxItems = bytes.size();
        const msgpack::unpack_limit limit(maxItems, maxItems, maxItems, maxItems, maxItems,
                                          MaxNesting);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        field_reader in(handle.get());
        const auto kind = static_cast<frame_kind>(in.read<std::uint8_t>());
        if (kind == frame_kind::Compressed && allowed == nesting::MayBeCompressed)
            return decodeCompressed(in);
        auto frame = readFrame(kind, in);
        if (!in.good())
            return frame_error{"frame has a missing or mistyped field"};
        return frame;
    } catch (const msgpack::unpack_error &error) {
        return frame_error{error.what()};
    }
}

} // namespace

result<peer_frame, frame_error> decodeFrame(std::string_view bytes)
{
    return decodeFrame(bytes, nesting::MayBeCompressed);
}

result<std::vector<peer_frame>, frame_error> frame_splitter::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<peer_frame> frames;
    std::size_t begin = 0;
    while (m_buffer.size() - begin >= FrameHeaderBytes) {
        const auto length = readLength(std::string_view(m_buffer).substr(begin));
        if (length > MaxFrameBytes)
            return frame_error{"frame exceeds the size limit"};
        if (m_buffer.size() - begin < FrameHeaderBytes + length)
            break;
        auto frame =
            decodeFrame(std::string_view(m_buffer).substr(begin + FrameHeaderBytes, length));
        if (!frame)
            return std::move(frame).error();
        frames.push_back(std::move(frame).value());
        begin += FrameHeaderBytes + length;
    }
    m_buffer.erase(0, begin);
    return frames;
}

} // namespace orchidlead::gateway
