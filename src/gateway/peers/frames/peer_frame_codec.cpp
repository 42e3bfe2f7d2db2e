#include "gateway/peers/frames/frame_codecs.h"

#include <array>
#include <variant>

namespace orchidlead::gateway {

namespace {

constexpr unsigned BitsPerByte = 8;
constexpr std::size_t MaxNesting = 8;
// Smallest publication that is compressed: whole server lists are repetitive, changes of a few
// servers are not.
constexpr std::size_t MinCompressedBytes = 4096;

using read_function = peer_frame (*)(field_reader &);

template <class Frame>
peer_frame readAs(field_reader &in)
{
    Frame frame;
    read(in, frame);
    return frame;
}

struct frame_type
{
    frame_kind kind;
    read_function read;
};

/// All frames except compressed ones, which wrap one of these.
constexpr std::array FrameTypes{
    frame_type{frame_kind::SubmitPiece, &readAs<submit_piece_frame>},
    frame_type{frame_kind::CancelPiece, &readAs<cancel_piece_frame>},
    frame_type{frame_kind::PieceOutcome, &readAs<piece_outcome_frame>},
    frame_type{frame_kind::Ping, &readAs<ping_frame>},
    frame_type{frame_kind::Pong, &readAs<pong_frame>},
    frame_type{frame_kind::PublicationRequest, &readAs<publication_request>},
    frame_type{frame_kind::Publication, &readAs<publication_frame>},
    frame_type{frame_kind::FreeResults, &readAs<free_results_frame>},
    frame_type{frame_kind::Place, &readAs<place_frame>},
    frame_type{frame_kind::Placed, &readAs<placed_frame>},
    frame_type{frame_kind::PlacementProgress, &readAs<placement_progress_frame>},
    frame_type{frame_kind::Follow, &readAs<follow_frame>},
    frame_type{frame_kind::ConfigurationRequest, &readAs<configuration_request>},
    frame_type{frame_kind::Configuration, &readAs<configuration_frame>},
    frame_type{frame_kind::ListDigest, &readAs<list_digest_frame>},
    frame_type{frame_kind::ServerCrashes, &readAs<server_crashes_frame>},
    frame_type{frame_kind::Quarantine, &readAs<quarantine_frame>},
    frame_type{frame_kind::TrialRequest, &readAs<trial_request>},
    frame_type{frame_kind::TrialAnswer, &readAs<trial_answer>},
    frame_type{frame_kind::TrialEnd, &readAs<trial_end>},
    frame_type{frame_kind::AdmissionRequest, &readAs<admission_request>},
    frame_type{frame_kind::AdmissionAnswer, &readAs<admission_answer>},
    frame_type{frame_kind::RateLimits, &readAs<rate_limits_frame>},
    frame_type{frame_kind::LeavingServers, &readAs<leaving_servers_frame>},
    frame_type{frame_kind::LostDataCenter, &readAs<lost_data_center_frame>},
    frame_type{frame_kind::BrittleServers, &readAs<brittle_servers_frame>},
    frame_type{frame_kind::StreamOrigins, &readAs<stream_origin_frame>},
    frame_type{frame_kind::StreamOriginQuery, &readAs<stream_origin_query>},
    frame_type{frame_kind::StreamOriginAnswer, &readAs<stream_origin_answer>},
    frame_type{frame_kind::ReserveStage, &readAs<reserve_stage_frame>},
    frame_type{frame_kind::StageReserved, &readAs<stage_reserved_frame>},
    frame_type{frame_kind::ReleaseReservation, &readAs<release_reservation_frame>},
    frame_type{frame_kind::PoolLoad, &readAs<pool_load_frame>},
    frame_type{frame_kind::BoardState, &readAs<board_state_frame>},
};
static_assert(FrameTypes.size() == std::variant_size_v<peer_frame>);

/// By kind; null for kinds that are not in `FrameTypes`: 0 and that of compressed frames.
constexpr auto ReadFunctions = [] {
    std::array<read_function, FrameTypes.size() + 2> table{};
    for (const auto &each : FrameTypes)
        table.at(static_cast<std::size_t>(each.kind)) = each.read;
    return table;
}();

peer_frame readFrame(frame_kind kind, field_reader &in)
{
    const auto index = static_cast<std::size_t>(kind);
    if (index < ReadFunctions.size() && ReadFunctions[index])
        return ReadFunctions[index](in);
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

/// Replaces the frame in the buffer by a compressed frame that wraps it.
void packCompressed(frame_buffer &body)
{
    const auto text = compress({body.data(), body.size()});
    body.clear();
    packer out(body);
    packKind(out, frame_kind::Compressed, 2);
    out.pack(static_cast<std::uint64_t>(text.length));
    out.pack_bin(static_cast<std::uint32_t>(text.bytes.size()));
    out.pack_bin_body(text.bytes.data(), static_cast<std::uint32_t>(text.bytes.size()));
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

std::string encodeFrame(const peer_frame &frame)
{
    frame_buffer body;
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
